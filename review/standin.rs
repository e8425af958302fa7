//! Stand-ins and drivers for the script cases of the review; built by `review/build.sh` with the
//! standard library alone.
//!
//! `standin CASE FOLDER` plays a case: it starts the entry with the command of the deploy file, a
//! store, runners and requesters on loopback, writes `record.txt` into the folder, and exits with 1
//! if the rule was broken, 0 if it held and 2 if the case could not run.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio, exit};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

// ---------------------------------------------------------------------------------------------
// The record of a play.

struct Record {
    started: Instant,
    file: Mutex<fs::File>,
}

impl Record {
    fn create(folder: &Path) -> Arc<Self> {
        let file = fs::File::create(folder.join("record.txt")).unwrap_or_else(|e| cannot_run(&e));
        Arc::new(Self {
            started: Instant::now(),
            file: Mutex::new(file),
        })
    }

    fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {text}");
    }

    fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

fn cannot_run(error: &dyn std::fmt::Display) -> ! {
    eprintln!("the case can't run: {error}");
    exit(2)
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

// ---------------------------------------------------------------------------------------------
// HTTP/1.1, as much as the stand-ins need.

struct Message {
    first_line: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter();
        found
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }

    fn status(&self) -> u16 {
        let mut words = self.first_line.split(' ');
        words.nth(1).and_then(|w| w.parse().ok()).unwrap_or(0)
    }
}

/// Reads one request or response; `None` at a clean end of the channel.
fn read_message<R: BufRead>(reader: &mut R) -> io::Result<Option<Message>> {
    let mut first_line = String::new();
    if reader.read_line(&mut first_line)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_string(), value.trim().to_string()));
        }
    }
    let mut message = Message {
        first_line: first_line.trim_end().to_string(),
        headers,
        body: Vec::new(),
    };
    if let Some(length) = message.header("content-length") {
        let length: usize = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        message.body.resize(length, 0);
        reader.read_exact(&mut message.body)?;
    } else if message.header("transfer-encoding").is_some() {
        loop {
            let mut size = String::new();
            reader.read_line(&mut size)?;
            let size =
                usize::from_str_radix(size.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    Ok(Some(message))
}

fn write_response(
    stream: &mut TcpStream,
    status: &str,
    headers: &str,
    body: &[u8],
) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Serves each channel on a thread of its own.
fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(TcpStream) + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            let _ = stream.set_nodelay(true);
            thread::spawn(move || handle(stream));
        }
    });
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap_or_else(|e| cannot_run(&e));
    let address = listener.local_addr().unwrap_or_else(|e| cannot_run(&e));
    (listener, address)
}

fn free_port() -> u16 {
    listen().1.port()
}

// ---------------------------------------------------------------------------------------------
// JSON, as much as the stand-ins need: the value of a member, as text.

fn member(text: &str, name: &str) -> Option<String> {
    let inner = text.trim().strip_prefix('{')?.strip_suffix('}')?;
    let (mut depth, mut in_string, mut escaped, mut start) = (0, false, false, 0);
    let mut parts = Vec::new();
    for (i, byte) in inner.bytes().enumerate() {
        if escaped {
            escaped = false;
            continue;
        }
        match byte {
            b'\\' if in_string => escaped = true,
            b'"' => in_string = !in_string,
            b'{' | b'[' if !in_string => depth += 1,
            b'}' | b']' if !in_string => depth -= 1,
            b',' if !in_string && depth == 0 => {
                parts.push(&inner[start..i]);
                start = i + 1;
            }
            _ => {}
        }
    }
    parts.push(&inner[start..]);
    parts.iter().find_map(|part| {
        let (key, value) = part.split_once(':')?;
        (key.trim().trim_matches('"') == name).then(|| value.trim().to_string())
    })
}

// ---------------------------------------------------------------------------------------------
// The platform's metadata store.

#[derive(Clone)]
struct Object {
    revision: u64,
    spec: String,
}

#[derive(Clone)]
struct Event {
    revision: u64,
    kind: String,
    name: String,
    spec: String,
    deleted: bool,
}

#[derive(Default)]
struct Objects {
    revision: u64,
    by_kind: BTreeMap<String, BTreeMap<String, Object>>,
    events: Vec<Event>,
}

struct Store {
    record: Arc<Record>,
    objects: Mutex<Objects>,
    changed: Condvar,
    /// At most so many objects in an answer to a list.
    page: usize,
    /// Whether the next answer to a watch that reports changes of the servers is lost.
    loses_next: AtomicBool,
    /// How many watches of the servers have begun.
    servers_watches: AtomicU64,
    /// When the first page of the servers was answered, and whether more follow.
    first_page: Mutex<Option<(Instant, bool)>>,
}

/// How long each answer takes.
const ANSWER_MS: u64 = 4;

fn object_text(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"Metadata\":{{\"Name\":\"{name}\",\"Revision\":{revision},\"Finalizers\":[],\
         \"DeletionPending\":false}},\"Spec\":{spec},\"Status\":{{}}}}"
    )
}

impl Store {
    fn start(record: &Arc<Record>, page: usize) -> (Arc<Self>, SocketAddr) {
        let (listener, address) = listen();
        let store = Arc::new(Self {
            record: record.clone(),
            objects: Mutex::new(Objects {
                revision: 100,
                ..Objects::default()
            }),
            changed: Condvar::new(),
            page,
            loses_next: AtomicBool::new(false),
            servers_watches: AtomicU64::new(0),
            first_page: Mutex::new(None),
        });
        let serving = store.clone();
        serve(listener, move |stream| {
            let _ = serving.serve_channel(stream);
        });
        (store, address)
    }

    /// Writes an object as the operator or a runner does; returns when the store has accepted it.
    fn put(&self, kind: &str, name: &str, spec: &str) -> Instant {
        let mut objects = self.objects.lock().unwrap();
        objects.revision += 1;
        let revision = objects.revision;
        let object = Object {
            revision,
            spec: spec.to_string(),
        };
        let of_kind = objects.by_kind.entry(kind.to_string()).or_default();
        of_kind.insert(name.to_string(), object);
        objects.events.push(Event {
            revision,
            kind: kind.to_string(),
            name: name.to_string(),
            spec: spec.to_string(),
            deleted: false,
        });
        drop(objects);
        self.changed.notify_all();
        Instant::now()
    }

    fn delete(&self, kind: &str, name: &str) {
        let mut objects = self.objects.lock().unwrap();
        let of_kind = objects.by_kind.entry(kind.to_string()).or_default();
        let Some(object) = of_kind.remove(name) else {
            return;
        };
        objects.revision += 1;
        let revision = objects.revision;
        objects.events.push(Event {
            revision,
            kind: kind.to_string(),
            name: name.to_string(),
            spec: object.spec,
            deleted: true,
        });
        drop(objects);
        self.changed.notify_all();
    }

    fn serve_channel(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = read_message(&mut reader)? {
            let (status, body) = self.answer(&request);
            thread::sleep(ms(ANSWER_MS));
            let reports_servers =
                request.first_line.contains("/servers?Watch=") && !body.contains("\"events\":[]");
            if reports_servers && self.loses_next.swap(false, Ordering::SeqCst) {
                self.record
                    .line("store: loses the answer to a watch of the servers");
                // A channel on which a response is lost returns nothing further.
                loop {
                    thread::sleep(ms(1_000));
                }
            }
            write_response(
                &mut stream,
                status,
                "Content-Type: application/json\r\n",
                body.as_bytes(),
            )?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let mut words = request.first_line.split(' ');
        let method = words.next().unwrap_or_default();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let Some(path) = path.strip_prefix("/-/objects/") else {
            return ("404 Not Found", "{}".to_string());
        };
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        match method {
            "GET" if field("Watch").is_some() => {
                let revision = field("Watch").and_then(|v| v.parse().ok()).unwrap_or(0);
                let wait = field("WaitMs").and_then(|v| v.parse().ok()).unwrap_or(0);
                if kind == "servers" {
                    self.record.line(&format!(
                        "store: watch of servers from {revision} for {wait} ms"
                    ));
                    self.servers_watches.fetch_add(1, Ordering::SeqCst);
                }
                self.watch(kind, revision, ms(wait))
            }
            "GET" if name.is_empty() => self.list(kind, field("After").unwrap_or("")),
            "GET" => {
                let objects = self.objects.lock().unwrap();
                let found = objects.by_kind.get(kind).and_then(|k| k.get(name));
                match found {
                    Some(found) => ("200 OK", object_text(name, found.revision, &found.spec)),
                    None => ("404 Not Found", "{}".to_string()),
                }
            }
            "POST" | "PUT" => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let metadata = member(&body, "Metadata").unwrap_or_default();
                let name = member(&metadata, "Name").unwrap_or_default();
                let name = name.trim_matches('"').to_string();
                let expected: Option<u64> =
                    member(&metadata, "Revision").and_then(|text| text.parse().ok());
                let spec = member(&body, "Spec").unwrap_or_else(|| "null".to_string());
                let objects = self.objects.lock().unwrap();
                let found = objects
                    .by_kind
                    .get(kind)
                    .and_then(|k| k.get(&name))
                    .cloned();
                drop(objects);
                let conflict = match (&found, method) {
                    (Some(_), "POST") => true,
                    (Some(found), _) => expected.is_some_and(|e| e != found.revision),
                    (None, _) => false,
                };
                if conflict {
                    return ("409 Conflict", "{}".to_string());
                }
                self.put(kind, &name, &spec);
                ("200 OK", "{}".to_string())
            }
            "DELETE" => {
                self.delete(kind, name);
                ("200 OK", "{}".to_string())
            }
            _ => ("400 Bad Request", "{}".to_string()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> (&'static str, String) {
        let objects = self.objects.lock().unwrap();
        let empty = BTreeMap::new();
        let of_kind = objects.by_kind.get(kind).unwrap_or(&empty);
        let mut rest = of_kind.iter().filter(|(name, _)| name.as_str() > after);
        let page: Vec<String> = rest
            .by_ref()
            .take(self.page)
            .map(|(name, object)| object_text(name, object.revision, &object.spec))
            .collect();
        let truncated = rest.next().is_some();
        if kind == "servers" {
            self.record.line(&format!(
                "store: list of servers after {after:?}: {} objects, truncated {truncated}, \
                 CurrentRev {}",
                page.len(),
                objects.revision
            ));
            if page.len() > 0 && after.is_empty() {
                *self.first_page.lock().unwrap() = Some((Instant::now(), truncated));
            }
        }
        let body = format!(
            "{{\"Items\":[{}],\"Truncated\":{truncated},\"CurrentRev\":{}}}",
            page.join(","),
            objects.revision
        );
        ("200 OK", body)
    }

    fn watch(&self, kind: &str, revision: u64, wait: Duration) -> (&'static str, String) {
        let until = Instant::now() + wait;
        let mut objects = self.objects.lock().unwrap();
        loop {
            let mut newest: BTreeMap<u64, String> = BTreeMap::new();
            let is_new = |event: &&Event| event.kind == kind && event.revision > revision;
            for event in objects.events.iter().filter(is_new) {
                let object = object_text(&event.name, event.revision, &event.spec);
                newest.insert(
                    event.revision,
                    format!("{{\"Object\":{object},\"Deleted\":{}}}", event.deleted),
                );
            }
            let left = until.saturating_duration_since(Instant::now());
            if !newest.is_empty() || left.is_zero() {
                let events: Vec<String> = newest.into_values().collect();
                let body = format!(
                    "{{\"events\":[{}],\"CurrentRev\":{}}}",
                    events.join(","),
                    objects.revision
                );
                return ("200 OK", body);
            }
            objects = self.changed.wait_timeout(objects, left).unwrap().0;
        }
    }
}

// ---------------------------------------------------------------------------------------------
// A runner of a plain service.

struct Run {
    at: Instant,
    id: String,
    tenant: String,
}

struct Runner {
    id: String,
    address: SocketAddr,
    zone: &'static str,
    service: &'static str,
    work: Duration,
    runs: Mutex<Vec<Run>>,
    /// The requests that run or are queued, and those that run.
    held: AtomicU64,
    running: Mutex<u64>,
    ended: Condvar,
    record: Arc<Record>,
}

/// `Slots` of the runners of a plain service, and how many requests are queued beside them.
const SLOTS: u64 = 6;
const QUEUE: u64 = 24;

impl Runner {
    fn start(record: &Arc<Record>, service: &'static str, id: &str, work: Duration) -> Arc<Self> {
        let (listener, address) = listen();
        let runner = Arc::new(Self {
            id: id.to_string(),
            address,
            zone: "gulf-a",
            service,
            work,
            runs: Mutex::new(Vec::new()),
            held: AtomicU64::new(0),
            running: Mutex::new(0),
            ended: Condvar::new(),
            record: record.clone(),
        });
        let serving = runner.clone();
        serve(listener, move |stream| {
            let _ = serving.serve_channel(stream);
        });
        runner
    }

    fn entry(&self, state: &str) -> String {
        server_entry(self.service, self.address, self.zone, state)
    }

    fn serve_channel(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = read_message(&mut reader)? {
            let attempt = request.header("X-Pimentohook-Attempt-Id").unwrap_or("");
            let expected = request.header("X-Pimentohook-Expect-Instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let headers = format!(
                    "X-Pimentohook-Instance-Id: {}\r\nX-Pimentohook-Attempt-Id: {attempt}\r\n\
                     X-Pimentohook-Not-Executed: 1\r\n",
                    self.id
                );
                write_response(&mut stream, "421 Misdirected Request", &headers, b"")?;
                continue;
            }
            if self.held.fetch_add(1, Ordering::SeqCst) >= SLOTS + QUEUE {
                self.held.fetch_sub(1, Ordering::SeqCst);
                let headers = format!(
                    "X-Pimentohook-Attempt-Id: {attempt}\r\nX-Pimentohook-Not-Executed: 1\r\n"
                );
                write_response(&mut stream, "503 Service Unavailable", &headers, b"")?;
                continue;
            }
            let mut running = self.running.lock().unwrap();
            while *running >= SLOTS {
                running = self.ended.wait(running).unwrap();
            }
            *running += 1;
            drop(running);
            let tenant = request.header("X-Pimentohook-Tenant").unwrap_or("-");
            self.record.line(&format!(
                "runner {}: runs {attempt} tenant={tenant} {}",
                self.id, request.first_line
            ));
            let index = {
                let mut runs = self.runs.lock().unwrap();
                runs.push(Run {
                    at: Instant::now(),
                    id: attempt.to_string(),
                    tenant: tenant.to_string(),
                });
                runs.len() - 1
            };
            thread::sleep(self.work);
            *self.running.lock().unwrap() -= 1;
            self.held.fetch_sub(1, Ordering::SeqCst);
            self.ended.notify_one();
            let headers = format!(
                "X-Pimentohook-Attempt-Id: {attempt}\r\nX-Pimentohook-Server-Stamp: {}.{index}\r\n",
                self.id
            );
            write_response(&mut stream, "200 OK", &headers, b"the server's bytes")?;
        }
        Ok(())
    }
}

fn server_entry(service: &str, address: SocketAddr, zone: &str, state: &str) -> String {
    format!(
        "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\
         \"Version\":\"v1\",\"Slots\":6,\"State\":\"{state}\",\"ColdLeftMs\":0,\"Seq\":1}}"
    )
}

// ---------------------------------------------------------------------------------------------
// The entry, started with the command of the deploy file.

struct Entry {
    child: Child,
    front: SocketAddr,
    ready: SocketAddr,
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Fills in the template that the deploy file names, as the platform does.
fn settings_of(root: &Path, store: SocketAddr) -> (String, SocketAddr, SocketAddr) {
    let template = fs::read_to_string(root.join("deploy/entry.yaml"));
    let template = template.unwrap_or_else(|e| cannot_run(&e));
    let at = |port: u16| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    let (front, ready) = (at(free_port()), at(free_port()));
    let control = at(free_port());
    let values = [
        ("{{NodeName}}", "edge-gulf-a-1".to_string()),
        ("{{Zone}}", "gulf-a".to_string()),
        ("{{Region}}", "gulf".to_string()),
        ("{{Limits.LinkMbps}}", "1000.0".to_string()),
        ("{{Listen.Front}}", front.to_string()),
        ("{{Listen.Ready}}", ready.to_string()),
        ("{{Listen.Directory}}", at(free_port()).to_string()),
        ("{{Ip}}", "127.0.0.1".to_string()),
        ("{{InternalPorts.0}}", free_port().to_string()),
        ("{{InternalPorts.1}}", free_port().to_string()),
        (
            "{{#Seeds}}\"{{.}}\"{{,}}{{/Seeds}}",
            format!("\"{control}\""),
        ),
        ("{{Platform.Address}}", store.to_string()),
        ("{{Bounds.ConfigMs}}", "2000".to_string()),
        ("{{Bounds.version_ms}}", "8000".to_string()),
        ("{{Bounds.DrainMs}}", DRAIN_MS.to_string()),
        ("{{Bounds.RetrySlack}}", "100".to_string()),
        ("{{Bounds.RetryWindowS}}", "10".to_string()),
    ];
    let mut settings = template;
    for (placeholder, value) in values {
        settings = settings.replace(placeholder, &value);
    }
    if settings.contains("{{") {
        cannot_run(&"the template has a placeholder that is not known here");
    }
    (settings, front, ready)
}

/// The program of a role in the deploy file.
fn program_of(root: &Path, role: &str) -> PathBuf {
    let deploy = fs::read_to_string(root.join("deploy/system.toml"));
    let deploy = deploy.unwrap_or_else(|e| cannot_run(&e));
    let section = format!("[roles.{role}]");
    let section = deploy.split(&section).nth(1).unwrap_or("");
    let run = section
        .lines()
        .find_map(|line| line.strip_prefix("run = \""));
    let program = run.and_then(|run| run.split(' ').next());
    root.join(program.unwrap_or_else(|| cannot_run(&"no such role")))
}

impl Entry {
    fn start(root: &Path, folder: &Path, store: SocketAddr) -> Self {
        let (settings, front, ready) = settings_of(root, store);
        let file = folder.join("node.toml");
        fs::write(&file, settings).unwrap_or_else(|e| cannot_run(&e));
        let log = fs::File::create(folder.join("entry.log")).unwrap_or_else(|e| cannot_run(&e));
        let errors = log.try_clone().unwrap_or_else(|e| cannot_run(&e));
        let child = Command::new(program_of(root, "entry"))
            .arg(&file)
            .current_dir(root)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&e));
        // `run.sh` ends what is left if the play itself is ended.
        let pids = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join("pids"));
        let _ = pids.and_then(|mut pids| writeln!(pids, "{}", child.id()));
        Self {
            child,
            front,
            ready,
        }
    }

    fn is_ready(&self) -> bool {
        let head = "GET /-/readyz HTTP/1.1\r\nHost: ready\r\n\r\n";
        match send(self.ready, head.as_bytes(), ms(1_000)) {
            Ok(answer) => answer.status() == 200,
            Err(_) => false,
        }
    }

    fn wait_until_ready(&self) {
        let until = Instant::now() + ms(10_000);
        while !self.is_ready() {
            if Instant::now() > until {
                cannot_run(&"the entry is not ready after 10 s");
            }
            thread::sleep(ms(20));
        }
    }
}

// ---------------------------------------------------------------------------------------------
// Requesters.

/// Sends a request on a new channel and reads the answer.
fn send(address: SocketAddr, request: &[u8], timeout: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, ms(1_000))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(stream);
    read_message(&mut reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

fn get(host: &str, path: &str, id: &str, key: Option<&str>) -> String {
    let key = key.map_or(String::new(), |key| {
        format!("Authorization: Token {key}\r\n")
    });
    format!(
        "GET {path} HTTP/1.1\r\nHost: {host}\r\nX-Pimentohook-Attempt-Id: {id}\r\n\
         X-Pimentohook-Deadline-Ms: 4000\r\n{key}\r\n"
    )
}

// ---------------------------------------------------------------------------------------------
// What the cases share.

/// `DrainMs`, `ConfigMs` and `ContactMs` of the small sites.
const DRAIN_MS: u64 = 2_000;
const CONFIG_MS: u64 = 2_000;
const CONTACT_MS: u64 = 3_000;

const HOST: &str = "hulo84.example";
const PATH: &str = "/boye614/bo77/2f";
const KEY: &str = "jnbanfqasnmgkcuyj8pj";

fn route(name: &str, prefix: &str, kind: &str) -> String {
    format!(
        "{{\"Name\":\"{name}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"{prefix}\",\
         \"RouteType\":\"{kind}\",\"TimeoutMs\":4000,\"GoalMs\":300,\"Priority\":2,\
         \"Service\":\"portal\",\"MaxAttempts\":2,\"Public\":false,\"Sticky\":false,\
         \"Resumable\":false}}"
    )
}

fn configuration(version: u64, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{},{}],\"Services\":[{{\"Name\":\"portal\",\
         \"HealthPath\":\"/healthz\",\"MaxConns\":48}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":5000,\"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{{\"Name\":\"bozi300\",\"ApiKeys\":[{}],\"Priority\":1}}]}}",
        route("crew-sched", "/boye614/", "idempotent"),
        route("job-status", "/filo73/", "non_idempotent"),
        keys.join(",")
    )
}

struct Case {
    root: PathBuf,
    folder: PathBuf,
    record: Arc<Record>,
    with_trouble: bool,
}

include!("cases.rs");

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let [_, name, folder, scratch, root] = words.as_slice() else {
        cannot_run(&"usage: standin CASE FOLDER SCRATCH ROOT")
    };
    let record = Record::create(Path::new(folder));
    let case = Case {
        root: PathBuf::from(root),
        folder: PathBuf::from(scratch),
        record,
        with_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    // A play that hangs is ended, with the processes that it started, by `run.sh`.
    let is_broken = play(name, &case);
    let word = if is_broken { "BROKEN" } else { "held" };
    case.record.say(&format!("the rule: {word}"));
    exit(i32::from(is_broken));
}
