//! Stand-ins for the second review: the platform's store, model runners, plain servers, the origin of
//! weights and requesters, in one program with the standard library only. It starts the entries and
//! the agents of this project as processes of their own and ends them. `review/build-2.sh` builds it.
//!
//!     standins-2 CASE DIRECTORY    writes DIRECTORY/record.txt; TROUBLE=0 leaves the disruption out
//!
//! It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run. To vary a case,
//! `LOSSES` sets the losses of power before the final one, and `GAP_MS` the time between two crashes.

use std::{
    collections::{BTreeMap, HashMap},
    fs,
    io::{self, BufRead as _, BufReader, Read as _, Write as _},
    net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, ExitCode, Stdio},
    sync::{
        Arc, Condvar, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug, PartialEq)]
enum Json {
    Null,
    Bool(bool),
    /// The text of a number.
    Number(String),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = parser.value()?;
        parser.space();
        (parser.at == parser.bytes.len()).then_some(value)
    }

    fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(members) => members.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    fn number(&self) -> Option<u64> {
        match self {
            Json::Number(text) => text.parse().ok(),
            _ => None,
        }
    }

    fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    fn write(&self, out: &mut String) {
        match self {
            Json::Null => out.push_str("null"),
            Json::Bool(value) => out.push_str(if *value { "true" } else { "false" }),
            Json::Number(text) => out.push_str(text),
            Json::Text(text) => write_text(text, out),
            Json::List(items) => {
                out.push('[');
                for (index, item) in items.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    item.write(out);
                }
                out.push(']');
            }
            Json::Object(members) => {
                out.push('{');
                for (index, (name, value)) in members.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    write_text(name, out);
                    out.push(':');
                    value.write(out);
                }
                out.push('}');
            }
        }
    }

    #[allow(dead_code)]
    fn to_text(&self) -> String {
        let mut out = String::new();
        self.write(&mut out);
        out
    }
}

fn write_text(text: &str, out: &mut String) {
    out.push('"');
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if u32::from(c) < 0x20 => out.push_str(&format!("\\u{:04x}", u32::from(c))),
            c => out.push(c),
        }
    }
    out.push('"');
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.space();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.bytes.get(self.at)? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.string().map(Json::Text),
            _ => {
                let start = self.at;
                while self
                    .bytes
                    .get(self.at)
                    .is_some_and(|b| b.is_ascii_alphanumeric() || b"+-.".contains(b))
                {
                    self.at += 1;
                }
                match std::str::from_utf8(&self.bytes[start..self.at]).ok()? {
                    "null" => Some(Json::Null),
                    "true" => Some(Json::Bool(true)),
                    "false" => Some(Json::Bool(false)),
                    text => text
                        .parse::<f64>()
                        .ok()
                        .map(|_| Json::Number(text.to_owned())),
                }
            }
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut members = Vec::new();
        if self.take(b'}').is_some() {
            return Some(Json::Object(members));
        }
        loop {
            self.space();
            let name = self.string()?;
            self.take(b':')?;
            members.push((name, self.value()?));
            if self.take(b',').is_none() {
                self.take(b'}')?;
                return Some(Json::Object(members));
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut items = Vec::new();
        if self.take(b']').is_some() {
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.take(b',').is_none() {
                self.take(b']')?;
                return Some(Json::List(items));
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            let c = char::from_u32(code).unwrap_or('?');
                            bytes.extend_from_slice(c.to_string().as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }
}

// ---------------------------------------------------------------- SHA-256

fn sha256(message: &[u8]) -> String {
    const K: [u32; 64] = [
        0x428a2f98, 0x71374491, 0xb5c0fbcf, 0xe9b5dba5, 0x3956c25b, 0x59f111f1, 0x923f82a4,
        0xab1c5ed5, 0xd807aa98, 0x12835b01, 0x243185be, 0x550c7dc3, 0x72be5d74, 0x80deb1fe,
        0x9bdc06a7, 0xc19bf174, 0xe49b69c1, 0xefbe4786, 0x0fc19dc6, 0x240ca1cc, 0x2de92c6f,
        0x4a7484aa, 0x5cb0a9dc, 0x76f988da, 0x983e5152, 0xa831c66d, 0xb00327c8, 0xbf597fc7,
        0xc6e00bf3, 0xd5a79147, 0x06ca6351, 0x14292967, 0x27b70a85, 0x2e1b2138, 0x4d2c6dfc,
        0x53380d13, 0x650a7354, 0x766a0abb, 0x81c2c92e, 0x92722c85, 0xa2bfe8a1, 0xa81a664b,
        0xc24b8b70, 0xc76c51a3, 0xd192e819, 0xd6990624, 0xf40e3585, 0x106aa070, 0x19a4c116,
        0x1e376c08, 0x2748774c, 0x34b0bcb5, 0x391c0cb3, 0x4ed8aa4a, 0x5b9cca4f, 0x682e6ff3,
        0x748f82ee, 0x78a5636f, 0x84c87814, 0x8cc70208, 0x90befffa, 0xa4506ceb, 0xbef9a3f7,
        0xc67178f2,
    ];
    let mut h: [u32; 8] = [
        0x6a09e667, 0xbb67ae85, 0x3c6ef372, 0xa54ff53a, 0x510e527f, 0x9b05688c, 0x1f83d9ab,
        0x5be0cd19,
    ];
    let mut padded = message.to_vec();
    padded.push(0x80);
    while padded.len() % 64 != 56 {
        padded.push(0);
    }
    padded.extend_from_slice(&(message.len() as u64 * 8).to_be_bytes());
    for block in padded.chunks(64) {
        let mut w = [0_u32; 64];
        for (index, word) in block.chunks(4).enumerate() {
            w[index] = u32::from_be_bytes([word[0], word[1], word[2], word[3]]);
        }
        for i in 16..64 {
            let s0 = w[i - 15].rotate_right(7) ^ w[i - 15].rotate_right(18) ^ (w[i - 15] >> 3);
            let s1 = w[i - 2].rotate_right(17) ^ w[i - 2].rotate_right(19) ^ (w[i - 2] >> 10);
            w[i] = w[i - 16]
                .wrapping_add(s0)
                .wrapping_add(w[i - 7])
                .wrapping_add(s1);
        }
        let [mut a, mut b, mut c, mut d, mut e, mut f, mut g, mut hh] = h;
        for i in 0..64 {
            let s1 = e.rotate_right(6) ^ e.rotate_right(11) ^ e.rotate_right(25);
            let choice = (e & f) ^ (!e & g);
            let t1 = hh
                .wrapping_add(s1)
                .wrapping_add(choice)
                .wrapping_add(K[i])
                .wrapping_add(w[i]);
            let s0 = a.rotate_right(2) ^ a.rotate_right(13) ^ a.rotate_right(22);
            let majority = (a & b) ^ (a & c) ^ (b & c);
            let t2 = s0.wrapping_add(majority);
            (hh, g, f, e) = (g, f, e, d.wrapping_add(t1));
            (d, c, b, a) = (c, b, a, t1.wrapping_add(t2));
        }
        for (total, value) in h.iter_mut().zip([a, b, c, d, e, f, g, hh]) {
            *total = total.wrapping_add(value);
        }
    }
    h.iter().map(|word| format!("{word:08x}")).collect()
}

// ---------------------------------------------------------------- record

struct Record {
    began: Instant,
    file: Mutex<fs::File>,
}

impl Record {
    fn write(&self, line: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let _ = writeln!(lock(&self.file), "{at:8.3} {line}");
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

// ---------------------------------------------------------------- HTTP

struct Request {
    method: String,
    target: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Request {
    fn header(&self, name: &str) -> Option<&str> {
        let mut found = self
            .headers
            .iter()
            .filter(|(key, _)| key.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("/")
    }

    fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

fn read_line(reader: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        let Some((name, value)) = line.split_once(':') else {
            return Ok(headers);
        };
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Request> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let headers = read_headers(reader)?;
    let mut request = Request {
        method,
        target,
        headers,
        body: Vec::new(),
    };
    let length = request
        .header("content-length")
        .and_then(|text| text.parse::<usize>().ok());
    request.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut request.body)?;
    Ok(request)
}

fn write_response(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

fn json_response(stream: &mut TcpStream, status: &str, body: &str) -> io::Result<()> {
    let kind = ("Content-Type", String::from("application/json"));
    write_response(stream, status, &[kind], body.as_bytes())
}

/// Accepts connections until the program ends, each served by a thread of its own.
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

// ---------------------------------------------------------------- store

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: Json,
}

struct Event {
    revision: u64,
    kind: String,
    object: String,
    is_deleted: bool,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    kinds: HashMap<String, BTreeMap<String, Object>>,
    events: Vec<Event>,
}

#[derive(Default)]
struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
}

fn object_text(name: &str, object: &Object) -> String {
    let mut out = String::from("{\"Metadata\":{\"Name\":");
    write_text(name, &mut out);
    out.push_str(&format!(
        ",\"Revision\":{},\"Created\":{},\"Finalizers\":[],\"DeletionPending\":false}},\"Spec\":",
        object.revision, object.created
    ));
    object.spec.write(&mut out);
    out.push_str(",\"Status\":null}");
    out
}

impl StoreState {
    fn put(&mut self, kind: &str, name: &str, spec: Json) -> String {
        let objects = self.kinds.entry(kind.to_owned()).or_default();
        if let Some(object) = objects.get(name).filter(|object| object.spec == spec) {
            return object_text(name, object);
        }
        self.revision += 1;
        let revision = self.revision;
        let created = objects.get(name).map_or(revision, |object| object.created);
        let object = Object {
            revision,
            created,
            spec,
        };
        let text = object_text(name, &object);
        objects.insert(name.to_owned(), object);
        let (kind, object) = (kind.to_owned(), text.clone());
        self.events.push(Event {
            revision,
            kind,
            object,
            is_deleted: false,
        });
        text
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let objects = self.kinds.entry(kind.to_owned()).or_default();
        if let Some(mut object) = objects.remove(name) {
            self.revision += 1;
            object.revision = self.revision;
            let (revision, kind) = (self.revision, kind.to_owned());
            let object = object_text(name, &object);
            self.events.push(Event {
                revision,
                kind,
                object,
                is_deleted: true,
            });
        }
    }

    fn events_after(&self, kind: &str, revision: u64) -> Vec<String> {
        let events = self.events.iter();
        let events = events.filter(|event| event.kind == kind && event.revision > revision);
        events
            .map(|event| {
                format!(
                    "{{\"Deleted\":{},\"Object\":{}}}",
                    event.is_deleted, event.object
                )
            })
            .collect()
    }
}

impl Store {
    fn put(&self, kind: &str, name: &str, spec: &str) {
        let spec = Json::parse(spec).expect("the specification is JSON");
        lock(&self.state).put(kind, name, spec);
        self.changed.notify_all();
    }

    fn remove(&self, kind: &str, name: &str) {
        lock(&self.state).remove(kind, name);
        self.changed.notify_all();
    }

    fn names(&self, kind: &str) -> Vec<String> {
        let state = lock(&self.state);
        let objects = state.kinds.get(kind).into_iter().flatten();
        objects.map(|(name, _)| name.clone()).collect()
    }

    fn serve_connection(&self, mut stream: TcpStream) {
        let Ok(clone) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(clone);
        while let Ok(request) = read_request(&mut reader) {
            if self.answer(&mut stream, &request).is_err() {
                return;
            }
        }
    }

    fn answer(&self, stream: &mut TcpStream, request: &Request) -> io::Result<()> {
        let path = request.path().trim_start_matches("/-/objects/");
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind, Some(name.trim_end_matches("/status"))),
            None => (path, None),
        };
        if let Some(revision) = request.query("Watch").and_then(|text| text.parse().ok()) {
            let wait_ms = request.query("WaitMs").and_then(|text| text.parse().ok());
            return self.watch(stream, kind, revision, wait_ms.unwrap_or(0));
        }
        let mut state = lock(&self.state);
        match (request.method.as_str(), name) {
            ("GET", None) => {
                let objects = state.kinds.get(kind).into_iter().flatten();
                let items: Vec<String> = objects.map(|(name, o)| object_text(name, o)).collect();
                let body = format!(
                    "{{\"Items\":[{}],\"Truncated\":false,\"CurrentRev\":{}}}",
                    items.join(","),
                    state.revision
                );
                drop(state);
                json_response(stream, "200 OK", &body)
            }
            ("GET", Some(name)) => {
                let object = state.kinds.get(kind).and_then(|objects| objects.get(name));
                match object.map(|object| object_text(name, object)) {
                    Some(text) => json_response(stream, "200 OK", &text),
                    None => json_response(stream, "404 Not Found", "{}"),
                }
            }
            (method, name) => {
                let text = String::from_utf8_lossy(&request.body).into_owned();
                let body = Json::parse(&text).unwrap_or(Json::Null);
                let metadata = body.get("Metadata").cloned().unwrap_or(Json::Null);
                let named = metadata.get("Name").and_then(Json::text).map(str::to_owned);
                let Some(name) = name.map(str::to_owned).or(named) else {
                    return json_response(stream, "400 Bad Request", "{}");
                };
                let present = state
                    .kinds
                    .get(kind)
                    .and_then(|objects| objects.get(&name))
                    .cloned();
                let condition = metadata.get("Revision").and_then(Json::number);
                let query = request.query("Revision").and_then(|text| text.parse().ok());
                let condition = condition.or(query);
                let revision = present.as_ref().map(|object| object.revision);
                let is_conflict = match method {
                    "POST" => present.is_some(),
                    _ => condition.is_some() && present.is_some() && condition != revision,
                };
                if is_conflict {
                    let text = present.map_or_else(String::new, |o| object_text(&name, &o));
                    return json_response(stream, "409 Conflict", &text);
                }
                if method != "POST" && present.is_none() {
                    return json_response(stream, "404 Not Found", "{}");
                }
                let answer = if method == "DELETE" {
                    state.remove(kind, &name);
                    String::from("{}")
                } else {
                    state.put(kind, &name, body.get("Spec").cloned().unwrap_or(Json::Null))
                };
                drop(state);
                self.changed.notify_all();
                json_response(stream, "200 OK", &answer)
            }
        }
    }

    fn watch(&self, stream: &mut TcpStream, kind: &str, from: u64, wait_ms: u64) -> io::Result<()> {
        let deadline = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = lock(&self.state);
        loop {
            let events = state.events_after(kind, from);
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || remaining.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"CurrentRev\":{}}}",
                    events.join(","),
                    state.revision
                );
                drop(state);
                return json_response(stream, "200 OK", &body);
            }
            let waited = self.changed.wait_timeout(state, remaining);
            state = waited.unwrap_or_else(std::sync::PoisonError::into_inner).0;
        }
    }
}

// ---------------------------------------------------------------- weights

const MODEL: &str = "daka510000";
const CHUNK_COUNT: u32 = 64;
const CHUNK_BYTES: usize = 4_096;
const LAYER_COUNT: u32 = 16;

fn chunk(version: u64, number: u32) -> Vec<u8> {
    let text = format!("weights of version {version}, piece {number}; ");
    text.as_bytes()
        .iter()
        .copied()
        .cycle()
        .take(CHUNK_BYTES)
        .collect()
}

fn manifest(version: u64) -> String {
    let digests: Vec<String> = (0..CHUNK_COUNT)
        .map(|number| format!("\"{}\"", sha256(&chunk(version, number))))
        .collect();
    format!(
        "{{\"Model\":\"{MODEL}\",\"Version\":{version},\"ChunkBytes\":{CHUNK_BYTES},\
         \"layers\":{LAYER_COUNT},\"Digests\":[{}]}}",
        digests.join(",")
    )
}

/// Returns a manifest of which one hexadecimal digit has turned into another on the way.
fn corrupted_manifest(version: u64) -> String {
    let sound = manifest(version);
    let digests = sound.find("\"Digests\":[\"").expect("the list of digests");
    let at = digests + "\"Digests\":[\"".len() + 5;
    let digit = if &sound[at..=at] == "0" { "1" } else { "0" };
    format!("{}{digit}{}", &sound[..at], &sound[at + 1..])
}

/// The origin of weights.
#[derive(Default)]
struct Origin {
    /// The number of answers with a manifest that are still to come corrupted.
    corrupted_answers: AtomicU64,
    manifests_sent: AtomicU64,
    pieces_sent: AtomicU64,
    /// Whether its process has crashed, so that connections to it are refused.
    is_down: AtomicBool,
}

impl Origin {
    fn serve_connection(&self, mut stream: TcpStream, record: &Record) {
        let Ok(clone) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(clone);
        while let Ok(request) = read_request(&mut reader) {
            let version = request.query("Version").and_then(|text| text.parse().ok());
            let version: u64 = version.unwrap_or(1);
            let sent = if request.path().starts_with("/-/manifest/") {
                self.manifests_sent.fetch_add(1, Ordering::SeqCst);
                let left = &self.corrupted_answers;
                let is_corrupted = left
                    .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| {
                        left.checked_sub(1)
                    })
                    .is_ok();
                record.write(&format!(
                    "origin: manifest of version {version} sent, corrupted={is_corrupted}"
                ));
                let body = if is_corrupted {
                    corrupted_manifest(version)
                } else {
                    manifest(version)
                };
                json_response(&mut stream, "200 OK", &body)
            } else {
                self.pieces_sent.fetch_add(1, Ordering::SeqCst);
                let number = request
                    .query("Num")
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0);
                thread::sleep(Duration::from_millis(5));
                write_response(&mut stream, "200 OK", &[], &chunk(version, number))
            };
            if sent.is_err() {
                return;
            }
        }
    }
}

/// Serves the origin; while it is down, nobody listens at its address.
fn serve_origin(origin: &Arc<Origin>, address: SocketAddr, record: &Arc<Record>) -> io::Result<()> {
    let (origin, record) = (origin.clone(), record.clone());
    let mut listener = Some(TcpListener::bind(address)?);
    thread::spawn(move || {
        loop {
            if origin.is_down.load(Ordering::SeqCst) {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(address).ok();
            }
            let Some(open) = &listener else {
                thread::sleep(Duration::from_millis(10));
                continue;
            };
            let _ = open.set_nonblocking(true);
            let Ok((stream, _)) = open.accept() else {
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            let (origin, record) = (origin.clone(), record.clone());
            thread::spawn(move || origin.serve_connection(stream, &record));
        }
    });
    Ok(())
}

// ---------------------------------------------------------------- servers

const EVENT_COUNT: u64 = 20;
const EVENT_PAUSE: Duration = Duration::from_millis(40);
const WARM: Duration = Duration::from_millis(300);
const SLOTS: usize = 16;
/// A part of prompts that crashes each runner that begins to write an answer on it.
const CRASHING_PART: &str = "badc0de5";
/// How long a runner reads a prompt before it begins to write.
const PREFILL: Duration = Duration::from_millis(60);
const CRASHED_FOR: Duration = Duration::from_secs(3);

struct ServerState {
    boot: u64,
    born_ms: u64,
    is_up: bool,
    served: Option<u64>,
    busy_until: Option<(Instant, u64)>,
    seq: u64,
    staged: BTreeMap<u32, Vec<u8>>,
    active: usize,
    connections: Vec<TcpStream>,
}

/// What requests with a part that crashes runners did.
#[derive(Default)]
struct Crashes {
    /// When such a request reached a runner that began to work on it, and from which address.
    arrivals: Vec<(Instant, String)>,
    /// When a runner crashed.
    at: Vec<Instant>,
}

/// A model runner, or a plain server.
struct Server {
    index: usize,
    address: SocketAddr,
    service: &'static str,
    zone: String,
    is_engine: bool,
    state: Mutex<ServerState>,
    record: Arc<Record>,
    crashes: Arc<Mutex<Crashes>>,
}

fn unix_ms() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(0)
}

impl Server {
    fn new(
        index: usize,
        address: SocketAddr,
        service: &'static str,
        zone: &str,
        is_engine: bool,
        record: &Arc<Record>,
        crashes: &Arc<Mutex<Crashes>>,
    ) -> Arc<Self> {
        let staged = (0..CHUNK_COUNT).map(|number| (number, chunk(1, number)));
        Arc::new(Self {
            index,
            address,
            service,
            zone: zone.to_owned(),
            is_engine,
            state: Mutex::new(ServerState {
                boot: 1,
                born_ms: unix_ms(),
                is_up: true,
                served: is_engine.then_some(1),
                busy_until: None,
                seq: 0,
                staged: if is_engine {
                    staged.collect()
                } else {
                    BTreeMap::new()
                },
                active: 0,
                connections: Vec::new(),
            }),
            record: record.clone(),
            crashes: crashes.clone(),
        })
    }

    fn id(&self, boot: u64) -> String {
        format!("i-{:04x}{boot:04x}", self.index)
    }

    /// Loses power: all that it held is gone, and its connections end.
    fn lose_power(&self) {
        let mut state = lock(&self.state);
        state.is_up = false;
        state.served = None;
        state.busy_until = None;
        state.seq = 0;
        state.active = 0;
        state.staged.clear();
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Starts again after a loss of power, under another id.
    fn start(&self) {
        let mut state = lock(&self.state);
        state.is_up = true;
        state.boot += 1;
        state.born_ms = unix_ms();
    }

    /// Crashes, and is back after some seconds under another id. What is staged survives.
    fn crash(self: &Arc<Self>) {
        let mut state = lock(&self.state);
        if !state.is_up {
            return;
        }
        state.is_up = false;
        state.served = None;
        state.busy_until = None;
        state.seq = 0;
        state.active = 0;
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.record
            .write(&format!("{}: crashes", self.id(state.boot)));
        lock(&self.crashes).at.push(Instant::now());
        let server = self.clone();
        thread::spawn(move || {
            thread::sleep(CRASHED_FOR);
            let mut state = lock(&server.state);
            state.is_up = true;
            state.boot += 1;
            state.born_ms = unix_ms();
        });
    }

    fn settle_load(state: &mut ServerState) {
        if let Some((_, version)) = state
            .busy_until
            .take_if(|(until, _)| *until <= Instant::now())
        {
            state.served = Some(version);
        }
    }

    fn models(state: &ServerState) -> String {
        state.served.map_or_else(String::new, |version| {
            format!(
                "{{\"Name\":\"{MODEL}\",\"Version\":{version},\"Adapters\":[],\
                 \"layers\":{{\"From\":0,\"To\":{LAYER_COUNT},\"Version\":{version}}}}}"
            )
        })
    }

    fn beat(&self) -> Option<(String, String)> {
        let mut state = lock(&self.state);
        Self::settle_load(&mut state);
        if !state.is_up {
            return None;
        }
        let mut entry = format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\
             \"Slots\":{SLOTS},\"State\":\"ready\",\"ColdLeftMs\":0,\"Seq\":{},\"born\":{}",
            self.service, self.address, self.zone, state.seq, state.born_ms
        );
        if self.is_engine {
            let models = Self::models(&state);
            entry.push_str(&format!(",\"Phase\":\"both\",\"Models\":[{models}]"));
        }
        entry.push('}');
        Some((self.id(state.boot), entry))
    }

    fn serve_connection(self: &Arc<Self>, mut stream: TcpStream) {
        let Ok(clone) = stream.try_clone() else {
            return;
        };
        {
            let mut state = lock(&self.state);
            if !state.is_up {
                return;
            }
            state.connections.push(clone.try_clone().expect("a socket"));
        }
        let mut reader = BufReader::new(clone);
        while let Ok(request) = read_request(&mut reader) {
            if !lock(&self.state).is_up || self.answer(&mut stream, &request).is_err() {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    fn answer(self: &Arc<Self>, stream: &mut TcpStream, request: &Request) -> io::Result<()> {
        let path = request.path();
        if path == "/healthz" {
            let id = self.id(lock(&self.state).boot);
            return write_response(stream, "200 OK", &[("X-Pimentohook-Instance-Id", id)], b"");
        }
        if path == "/-/report" {
            let mut state = lock(&self.state);
            Self::settle_load(&mut state);
            let body = format!(
                "{{\"Phase\":\"both\",\"Models\":[{}],\"Busy\":{},\"Seq\":{},\"Queued\":0,\
                 \"Active\":{},\"KvUsed\":0,\"KvTotal\":90000,\"Handles\":0,\"pace\":1.0,\"born\":{}}}",
                Self::models(&state),
                state.busy_until.is_some(),
                state.seq,
                state.active,
                state.born_ms
            );
            drop(state);
            return json_response(stream, "200 OK", &body);
        }
        let number = request
            .query("Num")
            .and_then(|text| text.parse::<u32>().ok());
        if path.starts_with("/-/stage-put/") {
            let mut state = lock(&self.state);
            state
                .staged
                .insert(number.unwrap_or(0), request.body.clone());
            drop(state);
            return json_response(stream, "200 OK", "{}");
        }
        if path.starts_with("/-/stage-get/") {
            let state = lock(&self.state);
            let Some(number) = number else {
                let held: Vec<String> = state.staged.keys().map(u32::to_string).collect();
                drop(state);
                return json_response(
                    stream,
                    "200 OK",
                    &format!("{{\"held\":[{}]}}", held.join(",")),
                );
            };
            let bytes = state.staged.get(&number).cloned();
            drop(state);
            return match bytes {
                Some(bytes) => write_response(stream, "200 OK", &[], &bytes),
                None => json_response(stream, "404 Not Found", "{}"),
            };
        }
        if path == "/-/order" {
            return self.order(stream, request);
        }
        self.run(stream, request)
    }

    fn order(&self, stream: &mut TcpStream, request: &Request) -> io::Result<()> {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let order = Json::parse(&text).unwrap_or(Json::Null);
        let version = order.get("Version").and_then(Json::number).unwrap_or(0);
        let expected = order.get("Expect").and_then(Json::number);
        let mut state = lock(&self.state);
        Self::settle_load(&mut state);
        let status = if expected.is_some_and(|expected| expected != state.seq)
            || state.busy_until.is_some()
        {
            "409 Conflict"
        } else if state.served == Some(version) {
            "200 OK"
        } else {
            let is_whole = (0..CHUNK_COUNT)
                .all(|number| state.staged.get(&number) == Some(&chunk(version, number)));
            state.seq += 1;
            state.served = None;
            state.busy_until = Some((Instant::now() + WARM, version));
            self.record.write(&format!(
                "{}: order accepted, version {version}, staged pieces whole={is_whole}",
                self.id(state.boot)
            ));
            "202 Accepted"
        };
        drop(state);
        json_response(stream, status, "{}")
    }

    fn run(self: &Arc<Self>, stream: &mut TcpStream, request: &Request) -> io::Result<()> {
        let attempt = request
            .header("X-Pimentohook-Attempt-Id")
            .unwrap_or_default()
            .to_owned();
        let id_header = ("X-Pimentohook-Attempt-Id", attempt.clone());
        let (own_id, served, is_full) = {
            let mut state = lock(&self.state);
            Self::settle_load(&mut state);
            (self.id(state.boot), state.served, state.active >= SLOTS)
        };
        let instance = request.header("X-Pimentohook-Expect-Instance");
        let version = request.header("X-Pimentohook-Expect-Version");
        let is_other = instance.is_some_and(|expected| expected != own_id);
        let is_other_version = self.is_engine
            && (served.is_none() || version.is_some_and(|v| v.parse().ok() != served));
        if is_other || is_other_version {
            let headers = [id_header, ("X-Pimentohook-Instance-Id", own_id)];
            return write_response(stream, "421 Misdirected Request", &headers, b"");
        }
        if is_full {
            let headers = [id_header, ("X-Pimentohook-Not-Executed", String::from("1"))];
            return write_response(stream, "503 Service Unavailable", &headers, b"");
        }
        self.record.write(&format!("{own_id}: runs {attempt}"));
        lock(&self.state).active += 1;
        if self.is_engine {
            thread::sleep(PREFILL);
        }
        let prompt = request
            .header("X-Pimentohook-Prompt-Prefix")
            .unwrap_or_default();
        if self.is_engine && prompt.contains(CRASHING_PART) {
            let from = stream.peer_addr().map_or_else(
                |_| String::from("an ended connection"),
                |peer| peer.ip().to_string(),
            );
            self.record.write(&format!(
                "{own_id}: begins {attempt}, which crashes it, from {from}"
            ));
            lock(&self.crashes).arrivals.push((Instant::now(), from));
            self.crash();
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let result = if self.is_engine {
            Self::stream_events(stream, request, &attempt, served.unwrap_or(0))
        } else {
            thread::sleep(Duration::from_millis(15));
            let stamp = ("X-Pimentohook-Server-Stamp", format!("stamp-{attempt}"));
            write_response(
                stream,
                "200 OK",
                &[id_header, stamp],
                format!("done {attempt}").as_bytes(),
            )
        };
        let mut state = lock(&self.state);
        state.active = state.active.saturating_sub(1);
        result
    }

    fn stream_events(
        stream: &mut TcpStream,
        request: &Request,
        attempt: &str,
        version: u64,
    ) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             X-Pimentohook-Attempt-Id: {attempt}\r\nX-Pimentohook-Server-Stamp: stamp-{attempt}\r\n\
             X-Pimentohook-Weight-Versions: {version}\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        let last = request
            .header("Last-Event-Id")
            .and_then(|text| text.parse::<u64>().ok());
        for event in last.unwrap_or(0) + 1..=EVENT_COUNT {
            thread::sleep(EVENT_PAUSE);
            let text = format!("id: {event}\ndata: event {event} of {attempt}\n\n");
            stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

// ---------------------------------------------------------------- requesters

/// How a request ended for its requester.
#[derive(Clone, Debug)]
struct Ended {
    sent_at: Instant,
    kind: &'static str,
    is_served: bool,
    /// Whether it was served at the first attempt.
    is_served_at_once: bool,
}

struct Answer {
    status: u16,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Answer {
    fn header(&self, name: &str) -> Option<&str> {
        let mut found = self
            .headers
            .iter()
            .filter(|(key, _)| key.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }
}

/// Sends a request on a new connection and reads the whole answer.
fn exchange(address: SocketAddr, request: &str, timeout: Duration) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1).min(timeout))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let line = read_line(&mut reader)?;
    let status = line.split(' ').nth(1).and_then(|code| code.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let mut answer = Answer {
        status,
        headers: read_headers(&mut reader)?,
        body: Vec::new(),
    };
    let length = answer
        .header("content-length")
        .and_then(|text| text.parse::<usize>().ok());
    if let Some(length) = length {
        answer.body = vec![0; length];
        reader.read_exact(&mut answer.body)?;
        return Ok(answer);
    }
    loop {
        let size = usize::from_str_radix(&read_line(&mut reader)?, 16)
            .map_err(|_| io::ErrorKind::InvalidData)?;
        let mut part = vec![0; size + 2];
        reader.read_exact(&mut part)?;
        if size == 0 {
            return Ok(answer);
        }
        answer.body.extend_from_slice(&part[..size]);
    }
}

const STREAM_HOST: &str = "jepu9.example";
const HOOK_HOST: &str = "hulo84.example";
const KEY: &str = "jnbanfqasnmgkcuyj8pj";
const BUDGET: Duration = Duration::from_secs(6);
/// The time from one request of a requester to its next. With so many requesters, streams and hooks come
/// in the proportion of the site's sheet, whether or not they are served.
const PERIOD: Duration = Duration::from_secs(4);
const STREAM_REQUESTERS: usize = 48;
const HOOK_REQUESTERS: usize = 6;

// ---------------------------------------------------------------- the deployment

struct Node {
    name: String,
    program: &'static str,
    settings: PathBuf,
    variables: Vec<(&'static str, String)>,
    child: Option<Child>,
}

impl Node {
    fn start(&mut self, directory: &Path, record: &Record) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(directory.join(format!("{}.log", self.name)))
            .expect("a log file");
        let mut command = Command::new(self.program);
        command
            .arg(&self.settings)
            .env_clear()
            .envs(self.variables.iter().cloned());
        command.env("PIMENTOHOOK_SETTINGS", &self.settings);
        command.stdin(Stdio::null());
        command
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log);
        match command.spawn() {
            Ok(child) => self.child = Some(child),
            Err(error) => record.write(&format!("{} does not start: {error}", self.name)),
        }
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn has_ended(&mut self) -> bool {
        match &mut self.child {
            Some(child) => !matches!(child.try_wait(), Ok(None)),
            None => true,
        }
    }
}

struct Deployment {
    directory: PathBuf,
    record: Arc<Record>,
    store: Arc<Store>,
    origin: Arc<Origin>,
    servers: Vec<Arc<Server>>,
    nodes: Vec<Node>,
    callers: Vec<SocketAddr>,
    directories: Vec<SocketAddr>,
    network: (u8, u8),
    crashes: Arc<Mutex<Crashes>>,
    ended: Arc<Mutex<Vec<Ended>>>,
    stops: Arc<AtomicBool>,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.stops.store(true, Ordering::SeqCst);
        for node in &mut self.nodes {
            node.kill();
        }
    }
}

const PORT_STORE: u16 = 0;
const PORT_ORIGIN: u16 = 1;
const PORT_APP: u16 = 2;
const PORT_PEERS: u16 = 3;
const PORT_CALLERS: u16 = 4;
const PORT_READY: u16 = 5;
const PORT_DIRECTORY: u16 = 6;
const PORT_METRICS: u16 = 7;

impl Deployment {
    fn new(directory: &Path, record: &Arc<Record>, entries: u8, runners: u8) -> io::Result<Self> {
        let seed = unix_ms() ^ u64::from(std::process::id());
        let network = (10 + (seed % 200) as u8, 1 + (seed / 200 % 200) as u8);
        let ip = |host: u8| IpAddr::from([127, network.0, network.1, host]);
        // A free port of the range that the system gives out, with some free ones after it.
        let free = TcpListener::bind((ip(1), 0))?.local_addr()?.port();
        let base = free.min(60_000);
        let at = |host: u8, port: u16| SocketAddr::new(ip(host), base + port);
        let store = Arc::new(Store::default());
        let origin = Arc::new(Origin::default());
        let served = store.clone();
        serve(TcpListener::bind(at(1, PORT_STORE))?, move |stream| {
            served.serve_connection(stream)
        });
        serve_origin(&origin, at(1, PORT_ORIGIN), record)?;
        let zones = ["aarhus-hal", "ballerup-hal", "odense-hal"];
        let regions =
            "{\"aarhus-hal\":\"jylland\",\"ballerup-hal\":\"sjaelland\",\"odense-hal\":\"fyn\"}";
        let region_of = ["jylland", "sjaelland", "fyn"];
        let crashes: Arc<Mutex<Crashes>> = Arc::default();
        let mut servers = Vec::new();
        let mut nodes = Vec::new();
        for index in 0..runners {
            let zone = usize::from(index) % zones.len();
            let host = 50 + index;
            let address = at(host, PORT_APP);
            servers.push(Server::new(
                index.into(),
                address,
                "huvo11a",
                zones[zone],
                true,
                record,
                &crashes,
            ));
            let name = format!("side-{index}");
            let text = format!(
                "vm: {name}\nfailure_domain: {}\nregion: {}\nservice: huvo11a\nengine: {address}\n\
                 peers: {}\nobject_store: {}\nlink_mbps: 7.6\nmetrics: {}\nlog_level: info\n\
                 weights_grace_ms: 8000\n",
                zones[zone],
                region_of[zone],
                at(host, PORT_PEERS),
                at(1, PORT_STORE),
                at(host, PORT_METRICS)
            );
            let settings = directory.join(format!("{name}.yaml"));
            fs::write(&settings, text)?;
            nodes.push(Node {
                name,
                program: "target/release/pimentohook-agent",
                settings,
                variables: vec![
                    ("PIMENTOHOOK_SETTING_MEMORY_MB", String::from("128")),
                    ("PIMENTOHOOK_SETTING_DESCRIPTORS_MAX", String::from("2048")),
                ],
                child: None,
            });
        }
        servers.push(Server::new(
            90,
            at(90, PORT_APP),
            "wuno96b",
            zones[0],
            false,
            record,
            &crashes,
        ));
        for server in &servers {
            let listener = TcpListener::bind(server.address)?;
            let served = server.clone();
            serve(listener, move |stream| served.serve_connection(stream));
        }
        let seeds: Vec<String> = (0..entries)
            .map(|index| format!("\"{}\"", at(10 + index, PORT_PEERS)))
            .collect();
        for index in 0..entries {
            let zone = usize::from(index) % zones.len();
            let host = 10 + index;
            let name = format!("edge-{index}");
            let text = format!(
                "entry: {name}\nfailure_domain: {}\nregion: {}\nlink_mbps: 1000.0\ncallers: {}\n\
                 ready: {}\ndirectory: {}\npeers: {}\nagent_port: {}\nseeds: [{}]\n\
                 object_store: {}\nconfiguration_grace_ms: 2000\nweights_grace_ms: 8000\n\
                 drain_grace_ms: 2000\nretry_burst: 100\nretry_window_s: 10\nmetrics: {}\n\
                 log_level: info\n",
                zones[zone],
                region_of[zone],
                at(host, PORT_CALLERS),
                at(host, PORT_READY),
                at(host, PORT_DIRECTORY),
                at(host, PORT_PEERS),
                base + PORT_PEERS,
                seeds.join(","),
                at(1, PORT_STORE),
                at(host, PORT_METRICS)
            );
            let settings = directory.join(format!("{name}.yaml"));
            fs::write(&settings, text)?;
            nodes.push(Node {
                name,
                program: "target/release/pimentohook-entry",
                settings,
                variables: vec![
                    ("PIMENTOHOOK_SETTING_REGIONS", regions.to_owned()),
                    ("PIMENTOHOOK_SETTING_MEMORY_MB", String::from("260")),
                    ("PIMENTOHOOK_SETTING_DESCRIPTORS_MAX", String::from("4200")),
                ],
                child: None,
            });
        }
        let deployment = Self {
            directory: directory.to_owned(),
            record: record.clone(),
            store,
            origin,
            servers,
            nodes,
            callers: (0..entries)
                .map(|index| at(10 + index, PORT_CALLERS))
                .collect(),
            directories: (0..entries)
                .map(|index| at(10 + index, PORT_DIRECTORY))
                .collect(),
            network,
            crashes,
            ended: Arc::default(),
            stops: Arc::default(),
        };
        deployment.write_configuration(&at(1, PORT_ORIGIN));
        deployment.beat();
        Ok(deployment)
    }

    fn write_configuration(&self, origin: &SocketAddr) {
        let engine = format!(
            "{{\"Slots\":{SLOTS},\"KvCapacity\":317000,\"KvTokenBytes\":262144,\"LinkMbps\":400000.0,\
             \"Stride\":5,\"Models\":[{{\"Name\":\"{MODEL}\",\"pace\":1.0,\"LoadS\":4.0,\"WarmS\":0.3}}],\
             \"SizeMb\":149000.0,\"step_ms\":9.27,\"per_seq_ms\":0.0232,\"context_per_k\":0.0322,\
             \"read_per_s\":20700.0,\"pairs_per_m\":1.18,\"chunk\":2048,\"report_lag_ms\":200.0,\
             \"usual\":{{\"prompt\":979,\"answer\":92}},\"layers\":{LAYER_COUNT},\"layer_mb\":4090.0,\
             \"act_bytes\":16384,\"Chunks\":{CHUNK_COUNT},\"ChunkBytes\":{CHUNK_BYTES}}}"
        );
        let configuration = format!(
            "{{\"Version\":7,\"Routes\":[{{\"Name\":\"r-stream\",\"Host\":\"{STREAM_HOST}\",\
             \"PathPrefix\":\"/lepu270/\",\"RouteType\":\"streaming\",\"TimeoutMs\":6000,\
             \"GoalMs\":500,\"Priority\":1,\"Service\":\"huvo11a\",\"MaxAttempts\":2,\"Public\":false,\
             \"Sticky\":true,\"Resumable\":true,\"GapGoalMs\":400}},{{\"Name\":\"r-hook\",\
             \"Host\":\"{HOOK_HOST}\",\"PathPrefix\":\"/boye614/\",\"RouteType\":\"idempotent\",\
             \"TimeoutMs\":600,\"GoalMs\":100,\"Priority\":2,\"Service\":\"wuno96b\",\
             \"MaxAttempts\":2,\"Public\":false}}],\"Services\":[{{\"Name\":\"huvo11a\",\
             \"HealthPath\":\"/healthz\",\"MaxConns\":264,\"Protocol\":\"h1\",\"Tls\":false,\
             \"Engine\":{engine}}},{{\"Name\":\"kafi81c\",\"Origin\":\"{origin}\",\
             \"Zone\":\"aarhus-hal\",\"LinkMbps\":9.9,\"MaxConns\":48}},{{\"Name\":\"wuno96b\",\
             \"HealthPath\":\"/healthz\",\"MaxConns\":96,\"Protocol\":\"h1\",\"Tls\":false}}],\
             \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
             \"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"bozi300\",\
             \"ApiKeys\":[\"{KEY}\"],\"Priority\":1}}]}}"
        );
        self.store.put("config", "main", &configuration);
    }

    /// Lets the servers register themselves; those that are gone leave the list.
    fn beat(&self) {
        beat(&self.servers, &self.store, &mut Heard::new());
    }

    fn start_beats(&self) {
        let (servers, store) = (self.servers.clone(), self.store.clone());
        let stops = self.stops.clone();
        thread::spawn(move || {
            let mut heard = Heard::new();
            while !stops.load(Ordering::SeqCst) {
                beat(&servers, &store, &mut heard);
                thread::sleep(Duration::from_millis(300));
            }
        });
    }

    fn start_nodes(&mut self) {
        for node in &mut self.nodes {
            node.start(&self.directory, &self.record);
        }
    }

    /// Waits until all entries are ready and all runners report that they serve.
    fn wait_until_ready(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let is_ready = |address: &SocketAddr| {
            let address = SocketAddr::new(address.ip(), address.port() - PORT_CALLERS + PORT_READY);
            let request = "GET /-/readyz HTTP/1.1\r\nHost: ready\r\n\r\n";
            let answer = exchange(address, request, Duration::from_secs(1));
            answer.is_ok_and(|answer| answer.status == 200)
        };
        while Instant::now() < deadline {
            if self.callers.iter().all(is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Starts requesters, each of which sends a request every [`PERIOD`].
    fn start_requesters(&self) {
        let (streams, hooks) = (STREAM_REQUESTERS, HOOK_REQUESTERS);
        for index in 0..streams + hooks {
            let requester = Requester {
                index,
                kind: if index < streams { "stream" } else { "hook" },
                directories: self.directories.clone(),
                known: Vec::new(),
                known_at: None,
                record: self.record.clone(),
                ended: self.ended.clone(),
                stops: self.stops.clone(),
                count: 0,
                crashes: false,
            };
            thread::spawn(move || requester.run());
        }
    }

    /// Returns how many requests were sent and served within a span.
    fn tally(&self, from: Instant, until: Instant, kind: Option<&str>) -> (usize, usize) {
        let ended = lock(&self.ended);
        let of_span = ended.iter().filter(|ended| {
            (from..until).contains(&ended.sent_at) && kind.is_none_or(|kind| kind == ended.kind)
        });
        let of_span: Vec<&Ended> = of_span.collect();
        (
            of_span.len(),
            of_span.iter().filter(|ended| ended.is_served).count(),
        )
    }

    /// Returns how many streams were sent and were served at the first attempt within a span.
    fn tally_at_once(&self, from: Instant, until: Instant) -> (usize, usize) {
        let ended = lock(&self.ended);
        let of_span = ended
            .iter()
            .filter(|ended| (from..until).contains(&ended.sent_at) && ended.kind == "stream");
        let of_span: Vec<&Ended> = of_span.collect();
        let at_once = of_span
            .iter()
            .filter(|ended| ended.is_served_at_once)
            .count();
        (of_span.len(), at_once)
    }

    fn note_own_ends(&mut self) -> bool {
        let mut are_all_up = true;
        for node in &mut self.nodes {
            if node.has_ended() {
                are_all_up = false;
                self.record
                    .write(&format!("{} has ended by itself", node.name));
            }
        }
        are_all_up
    }
}

/// An entry leaves the list after three status report intervals of silence.
const EXPIRY: Duration = Duration::from_millis(3_600);

/// When each server was last heard.
type Heard = HashMap<String, Instant>;

fn beat(servers: &[Arc<Server>], store: &Store, heard: &mut Heard) {
    let now = Instant::now();
    for (name, entry) in servers.iter().filter_map(|server| server.beat()) {
        store.put("servers", &name, &entry);
        heard.insert(name, now);
    }
    for name in store.names("servers") {
        let last = heard.get(&name);
        if last.is_none_or(|at| now.duration_since(*at) > EXPIRY) {
            store.remove("servers", &name);
        }
    }
}

struct Requester {
    index: usize,
    kind: &'static str,
    directories: Vec<SocketAddr>,
    known: Vec<SocketAddr>,
    known_at: Option<Instant>,
    record: Arc<Record>,
    ended: Arc<Mutex<Vec<Ended>>>,
    stops: Arc<AtomicBool>,
    count: u64,
    /// Whether the prompts have a part that crashes runners.
    crashes: bool,
}

impl Requester {
    fn run(mut self) {
        thread::sleep(Duration::from_millis(83 * self.index as u64 % 4_000));
        while !self.stops.load(Ordering::SeqCst) {
            let sent_at = Instant::now();
            let attempt = self.request(sent_at);
            lock(&self.ended).push(Ended {
                sent_at,
                kind: self.kind,
                is_served: attempt.is_some(),
                is_served_at_once: attempt == Some(0),
            });
            thread::sleep(PERIOD.saturating_sub(sent_at.elapsed()));
        }
    }

    fn resolve(&mut self) {
        if self
            .known_at
            .is_some_and(|at| at.elapsed() < Duration::from_secs(2))
        {
            return;
        }
        let count = self.directories.len();
        for step in 0..count.min(3) {
            let address = self.directories[(self.index + step) % count];
            let request = format!(
                "GET /-/resolve?Name={STREAM_HOST}&Region=jylland&Zone=aarhus-hal HTTP/1.1\r\n\
                 Host: directory\r\n\r\n"
            );
            let Ok(answer) = exchange(address, &request, Duration::from_secs(1)) else {
                continue;
            };
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            let body = Json::parse(&text).unwrap_or(Json::Null);
            if let Some(Json::List(addresses)) = body.get("Addresses") {
                let addresses = addresses.iter().filter_map(|a| a.text()?.parse().ok());
                self.known = addresses.collect();
                self.known_at = Some(Instant::now());
                return;
            }
        }
    }

    /// Sends a request, and once more after a refusal or a failure that allows it; returns the number
    /// of the attempt that was served.
    fn request(&mut self, sent_at: Instant) -> Option<usize> {
        let budget = if self.kind == "stream" {
            BUDGET
        } else {
            Duration::from_millis(600)
        };
        let attempts = if self.crashes { 1 } else { 2 };
        for attempt in 0..attempts {
            self.resolve();
            self.count += 1;
            let id = format!("{:04x}{:011x}{attempt}", self.index, self.count);
            let remaining = budget.saturating_sub(sent_at.elapsed());
            if remaining.is_zero() || self.known.is_empty() {
                self.record
                    .write(&format!("requester {}: no address", self.index));
                return None;
            }
            let address = self.known[(self.count as usize + self.index) % self.known.len()];
            let request = self.text(&id, remaining);
            self.record.write(&format!(
                "requester {}: sends {id} ({})",
                self.index, self.kind
            ));
            let answer = exchange(address, &request, remaining);
            let answer = match answer {
                Ok(answer) => answer,
                Err(error) => {
                    self.record
                        .write(&format!("requester {}: {id} fails: {error}", self.index));
                    self.known.retain(|known| *known != address);
                    self.known_at = None;
                    continue;
                }
            };
            let is_stamped = answer.header("X-Pimentohook-Server-Stamp").is_some();
            self.record.write(&format!(
                "requester {}: {id} gets {} of {} bytes, stamped={is_stamped}",
                self.index,
                answer.status,
                answer.body.len()
            ));
            if answer.status == 200 && is_stamped {
                return Some(attempt);
            }
            if answer.status != 503 && answer.status != 429 {
                return None;
            }
            let after = answer
                .header("Retry-After")
                .and_then(|text| text.parse::<f64>().ok());
            let after = Duration::from_secs_f64(after.unwrap_or(0.0).clamp(0.0, 10.0));
            thread::sleep(after.min(remaining / 3));
        }
        None
    }

    fn text(&self, id: &str, remaining: Duration) -> String {
        let remaining_ms = remaining.as_millis();
        if self.kind == "stream" {
            let body = "{\"draft\":true}";
            let bad = if self.crashes {
                format!(",{CRASHING_PART}:40")
            } else {
                String::new()
            };
            return format!(
                "POST /lepu270/2f HTTP/1.1\r\nHost: {STREAM_HOST}\r\nX-Pimentohook-Attempt-Id: {id}\r\n\
                 X-Pimentohook-Model: {MODEL}\r\nX-Pimentohook-Token-Count: 120,20\r\n\
                 X-Pimentohook-Prompt-Prefix: 5c1e07a2:40{bad},{id}:80\r\n\
                 X-Pimentohook-Deadline-Ms: {remaining_ms}\r\nAuthorization: Token {KEY}\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
        }
        format!(
            "GET /boye614/bo77/2f HTTP/1.1\r\nHost: {HOOK_HOST}\r\nX-Pimentohook-Attempt-Id: {id}\r\n\
             X-Pimentohook-Deadline-Ms: {remaining_ms}\r\nAuthorization: Token {KEY}\r\n\r\n"
        )
    }
}

// ---------------------------------------------------------------- cases

/// How a case ended.
enum Outcome {
    Held,
    Broken,
    CouldNotRun(&'static str),
}

const RECOVERY: Duration = Duration::from_secs(12);
const DOWN: Duration = Duration::from_millis(1_500);

/// All machines lose power at the same moment, and are back after a while.
fn lose_all_power(deployment: &mut Deployment) {
    let record = deployment.record.clone();
    record.write("all machines lose power");
    for node in &mut deployment.nodes {
        node.kill();
    }
    for server in deployment.servers.iter().filter(|server| server.is_engine) {
        server.lose_power();
    }
    thread::sleep(DOWN);
    for server in deployment.servers.iter().filter(|server| server.is_engine) {
        server.start();
    }
    deployment.start_nodes();
    record.write("all machines are back");
}

/// What disturbs the origin of weights after the final fault.
#[derive(Clone, Copy, PartialEq, Eq)]
enum OriginTrouble {
    None,
    /// The first answer of the origin, a manifest, comes corrupted.
    CorruptedManifest,
    /// The origin crashes while the weights are downloaded, and is back after some seconds.
    Crash,
}

const ORIGIN_DOWN_FOR: Duration = Duration::from_secs(6);

/// All machines lose power at the end of a day, and the origin of weights is in trouble meanwhile.
fn origin_case(deployment: &mut Deployment, trouble: OriginTrouble) -> Outcome {
    let record = deployment.record.clone();
    deployment.start_nodes();
    if !deployment.wait_until_ready(Duration::from_secs(15)) {
        return Outcome::CouldNotRun("the entries do not become ready");
    }
    deployment.start_requesters();
    thread::sleep(Duration::from_secs(12));
    if !is_served_before(deployment) {
        return Outcome::CouldNotRun("less than a quarter is served before the final fault");
    }
    record.write("the final fault");
    let origin = deployment.origin.clone();
    if trouble == OriginTrouble::CorruptedManifest {
        origin.corrupted_answers.store(1, Ordering::SeqCst);
    }
    let pieces_before = origin.pieces_sent.load(Ordering::SeqCst);
    lose_all_power(deployment);
    let back_at = Instant::now();
    if trouble == OriginTrouble::Crash {
        while origin.pieces_sent.load(Ordering::SeqCst) < pieces_before + 8 {
            if back_at.elapsed() > RECOVERY {
                return Outcome::CouldNotRun("no piece of the weights is asked for");
            }
            thread::sleep(Duration::from_millis(2));
        }
        origin.is_down.store(true, Ordering::SeqCst);
        record.write("the origin crashes");
        thread::sleep(ORIGIN_DOWN_FOR);
        origin.is_down.store(false, Ordering::SeqCst);
        record.write("the origin is back");
    }
    thread::sleep(RECOVERY.saturating_sub(back_at.elapsed()));
    judge_recovery(deployment)
}

/// Returns whether a quarter of the requests or more is served now.
fn is_served_before(deployment: &Deployment) -> bool {
    let until = Instant::now();
    let (from, until) = (
        until - Duration::from_secs(6),
        until - Duration::from_secs(1),
    );
    let (sent, served) = deployment.tally(from, until, None);
    let line = format!("in 5 s before the final fault: {served} of {sent} requests served");
    deployment.record.write(&line);
    served * 4 >= sent && sent > 0
}

/// Judges the requests that are sent from now on, when `RecoveryS` after the final fault is over.
fn judge_recovery(deployment: &mut Deployment) -> Outcome {
    let from = Instant::now();
    thread::sleep(Duration::from_secs(40));
    let until = Instant::now();
    thread::sleep(BUDGET);
    let all = deployment.tally(from, until, None);
    let streams = deployment.tally(from, until, Some("stream"));
    let (manifests, pieces) = (
        &deployment.origin.manifests_sent,
        &deployment.origin.pieces_sent,
    );
    deployment.record.write(&format!(
        "sent from 12 s to 52 s after the machines were back: {} requests, {} served; of these {} \
         streams, {} served; manifests sent {}, pieces sent {}",
        all.0,
        all.1,
        streams.0,
        streams.1,
        manifests.load(Ordering::SeqCst),
        pieces.load(Ordering::SeqCst)
    ));
    if !deployment.note_own_ends() {
        return Outcome::CouldNotRun("a process has ended by itself");
    }
    if all.0 == 0 {
        return Outcome::CouldNotRun("nothing was sent");
    }
    if all.1 * 4 < all.0 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

/// All machines lose power some times in the middle of a day, and once more at its end.
fn power_losses_case(
    deployment: &mut Deployment,
    losses_before: usize,
    has_trouble: bool,
) -> Outcome {
    let record = deployment.record.clone();
    deployment.start_nodes();
    if !deployment.wait_until_ready(Duration::from_secs(15)) {
        return Outcome::CouldNotRun("the entries do not become ready");
    }
    deployment.start_requesters();
    thread::sleep(Duration::from_secs(6));
    for _ in 0..losses_before {
        if has_trouble {
            lose_all_power(deployment);
        }
        thread::sleep(Duration::from_secs(9));
    }
    if !is_served_before(deployment) {
        return Outcome::CouldNotRun("less than a quarter is served before the final fault");
    }
    record.write("the final fault");
    if has_trouble {
        lose_all_power(deployment);
    }
    thread::sleep(RECOVERY);
    judge_recovery(deployment)
}

/// How long after the last crash sound requests are judged.
const JUDGED_AFTER: Duration = Duration::from_secs(20);
const JUDGED_FOR: Duration = Duration::from_secs(30);

/// Requests with a part that crashes runners come now and then, and are held back. Then the runners of
/// the service crash one after the other within half a second, for another reason, and are back soon.
fn crash_series_case(deployment: &mut Deployment, has_trouble: bool) -> Outcome {
    let record = deployment.record.clone();
    deployment.start_nodes();
    if !deployment.wait_until_ready(Duration::from_secs(15)) {
        return Outcome::CouldNotRun("the entries do not become ready");
    }
    deployment.start_requesters();
    thread::sleep(Duration::from_secs(5));
    let mut index = 100;
    for count in [3, 3, 1, 1, 1] {
        for _ in 0..count {
            send_crashing(deployment, index);
            index += 1;
        }
        thread::sleep(Duration::from_millis(4_500));
    }
    let crash_count = lock(&deployment.crashes).at.len();
    record.write(&format!("{crash_count} crashes so far"));
    if crash_count == 0 {
        return Outcome::CouldNotRun("no runner has crashed");
    }
    let until = Instant::now();
    let (from, until) = (
        until - Duration::from_secs(7),
        until - Duration::from_secs(1),
    );
    let before = deployment.tally_at_once(from, until);
    record.write(&format!(
        "sound streams before: {} of {} begin at once",
        before.1, before.0
    ));
    if before.0 < 20 || before.1 * 2 < before.0 {
        return Outcome::CouldNotRun("too little is served before the disruption");
    }
    let gap = std::env::var("GAP_MS")
        .ok()
        .and_then(|text| text.parse().ok());
    let gap = Duration::from_millis(gap.unwrap_or(180));
    let engines = deployment.servers.iter().filter(|server| server.is_engine);
    for engine in engines.filter(|_| has_trouble) {
        engine.crash();
        thread::sleep(gap);
    }
    let crashed_at = Instant::now();
    while crashed_at.elapsed() < JUDGED_AFTER {
        send_crashing(deployment, index);
        index += 1;
        thread::sleep(Duration::from_millis(4_000));
    }
    let from = Instant::now();
    while from.elapsed() < JUDGED_FOR {
        send_crashing(deployment, index);
        index += 1;
        thread::sleep(Duration::from_millis(4_000));
    }
    let until = Instant::now();
    thread::sleep(BUDGET);
    let after = deployment.tally_at_once(from, until);
    record.write(&format!(
        "sound streams sent later than {} s after the last crash: {} of {} begin at once",
        JUDGED_AFTER.as_secs(),
        after.1,
        after.0
    ));
    if !deployment.note_own_ends() {
        return Outcome::CouldNotRun("a process has ended by itself");
    }
    if after.0 < 20 {
        return Outcome::CouldNotRun("too little was sent");
    }
    // Less than half as often as before.
    if after.1 * before.0 * 2 < before.1 * after.0 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

const CONTACT: Duration = Duration::from_secs(3);
const CRASHES_EXCUSED: usize = 5;
const ARRIVALS_MAX: usize = 3;

/// Sends a request with the crashing part, through one entry after the other.
fn send_crashing(deployment: &Deployment, index: usize) {
    let mut requester = Requester {
        index,
        kind: "stream",
        directories: deployment.directories.clone(),
        known: Vec::new(),
        known_at: None,
        record: deployment.record.clone(),
        ended: deployment.ended.clone(),
        stops: deployment.stops.clone(),
        count: 0,
        crashes: true,
    };
    thread::spawn(move || requester.request(Instant::now()));
}

/// Requests with a part that crashes runners come all the time; once the entries hold them back, all
/// processes of the entries are killed at the same moment, and start again.
fn forgotten_crashes_case(deployment: &mut Deployment, has_trouble: bool) -> Outcome {
    let record = deployment.record.clone();
    deployment.start_nodes();
    if !deployment.wait_until_ready(Duration::from_secs(15)) {
        return Outcome::CouldNotRun("the entries do not become ready");
    }
    deployment.start_requesters();
    thread::sleep(Duration::from_secs(5));
    let mut index = 100;
    // Some come at the same moment, the others one after the other.
    for count in [4, 4, 1, 1, 1, 1] {
        for _ in 0..count {
            send_crashing(deployment, index);
            index += 1;
        }
        thread::sleep(Duration::from_millis(4_500));
    }
    let crashed = lock(&deployment.crashes).at.clone();
    record.write(&format!("{} crashes so far", crashed.len()));
    let Some(fifth_at) = crashed.get(CRASHES_EXCUSED - 1).copied() else {
        return Outcome::CouldNotRun("there were fewer than five crashes");
    };
    let mut in_touch_from = fifth_at + CONTACT;
    let counted_before = count_after(deployment, in_touch_from);
    record.write(&format!(
        "requests that reached runners since: {counted_before}"
    ));
    let killed_at = Instant::now();
    if has_trouble {
        record.write("all entries are killed at the same moment");
        for node in &mut deployment.nodes {
            if node.name.starts_with("edge") {
                node.kill();
            }
        }
        thread::sleep(Duration::from_millis(1_000));
        let directory = deployment.directory.clone();
        for node in &mut deployment.nodes {
            if node.child.is_none() {
                node.start(&directory, &record);
            }
        }
        if !deployment.wait_until_ready(Duration::from_secs(10)) {
            return Outcome::CouldNotRun("the entries do not become ready again");
        }
        in_touch_from = in_touch_from.max(Instant::now() + CONTACT);
    }
    thread::sleep(CONTACT + Duration::from_millis(1_500));
    for _ in 0..8 {
        send_crashing(deployment, index);
        index += 1;
        thread::sleep(Duration::from_millis(4_500));
    }
    if !deployment.note_own_ends() {
        return Outcome::CouldNotRun("a process has ended by itself");
    }
    let begun = in_touch_from.max(killed_at);
    let counted = counted_before + count_after(deployment, begun);
    let (sent, served) = deployment.tally(begun, Instant::now() - BUDGET, Some("stream"));
    record.write(&format!(
        "requests with the crashing part that reached runners, sent by machines in touch later than \
         ContactMs after the fifth crash: {counted}; sound streams meanwhile: {sent}, {served} served"
    ));
    if counted > ARRIVALS_MAX {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

/// Returns how many requests with the crashing part reached runners after an instant.
fn count_after(deployment: &Deployment, from: Instant) -> usize {
    let crashes = lock(&deployment.crashes);
    crashes
        .arrivals
        .iter()
        .filter(|(at, _)| *at >= from + PREFILL)
        .count()
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, directory] = arguments.as_slice() else {
        eprintln!("usage: standins-2 CASE DIRECTORY");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let file = fs::File::create(Path::new(directory).join("record.txt")).expect("the record");
    let record = Arc::new(Record {
        began: Instant::now(),
        file: Mutex::new(file),
    });
    record.write(&format!("case {case}, trouble={has_trouble}"));
    let temporary = std::env::temp_dir().join(format!("pimentohook-review-{}", std::process::id()));
    fs::create_dir_all(&temporary).expect("a temporary folder");
    let deployment = Deployment::new(
        &temporary,
        &record,
        2,
        if case == "forgotten-crashes" { 5 } else { 3 },
    );
    let outcome = match deployment {
        Err(_) => Outcome::CouldNotRun("a port is not free"),
        Ok(mut deployment) => {
            record.write(&format!(
                "network 127.{}.{}.0",
                deployment.network.0, deployment.network.1
            ));
            deployment.start_beats();
            match case.as_str() {
                "corrupted-manifest" if has_trouble => {
                    origin_case(&mut deployment, OriginTrouble::CorruptedManifest)
                }
                "origin-crash" if has_trouble => origin_case(&mut deployment, OriginTrouble::Crash),
                "corrupted-manifest" | "origin-crash" => {
                    origin_case(&mut deployment, OriginTrouble::None)
                }
                "crash-series" => crash_series_case(&mut deployment, has_trouble),
                "power-losses" => {
                    let losses = std::env::var("LOSSES")
                        .ok()
                        .and_then(|text| text.parse().ok());
                    power_losses_case(&mut deployment, losses.unwrap_or(3), has_trouble)
                }
                "forgotten-crashes" => forgotten_crashes_case(&mut deployment, has_trouble),
                _ => Outcome::CouldNotRun("there is no such case"),
            }
        }
    };
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = fs::remove_dir_all(&temporary);
    }
    let (line, code) = match outcome {
        Outcome::Held => (String::from("the rule held"), 0),
        Outcome::Broken => (String::from("the rule was broken"), 1),
        Outcome::CouldNotRun(why) => (format!("the case could not run: {why}"), 2),
    };
    record.write(&line);
    println!("{line}");
    ExitCode::from(code)
}
