// The cases; included by `standin.rs`.

fn play(name: &str, case: &Case) -> bool {
    match name {
        "keys" => keys(case),
        "lost" => lost(case),
        "pages" => pages(case),
        "memory" => memory(case),
        _ => cannot_run(&"no such case"),
    }
}

// --- keys: the operator takes the last keys away.

/// The keys of the three tenants.
const KEYS: [&str; 3] = [
    "jnbanfqasnmgkcuyj8pj",
    "c3r0vq7t1xk9wd5mh2zu",
    "pl8e2a6ys4ob0gn3fi7d",
];
/// A key that no configuration ever holds.
const UNKNOWN_KEY: &str = "this-key-was-never-given";

fn tenants(version: u64, keys: &[&str]) -> String {
    let names = ["bozi300", "kuvo12", "lepa77"];
    let mut tenants = Vec::new();
    for (name, key) in names.iter().zip(KEYS) {
        let held = if keys.contains(&key) {
            format!("\"{key}\"")
        } else {
            String::new()
        };
        tenants.push(format!(
            "{{\"Name\":\"{name}\",\"ApiKeys\":[{held}],\"Priority\":1}}"
        ));
    }
    let one = configuration(version, &[]);
    let (before, _) = one.split_once("\"Tenants\":").unwrap_or((&one, ""));
    format!("{before}\"Tenants\":[{}]}}", tenants.join(","))
}

fn keys(case: &Case) -> bool {
    let record = &case.record;
    let (store, address) = Store::start(record, 500);
    let runner = Runner::start(record, "portal", "i-7f3a91c2", ms(20));
    store.put("config", "main", &tenants(10, &KEYS));
    store.put("servers", &runner.id, &runner.entry("ready"));
    let entry = Entry::start(&case.root, &case.folder, address);
    entry.wait_until_ready();
    thread::sleep(ms(4_000));
    let mut sent = 0;
    let mut ask = |what: &str, key: Option<&str>| {
        sent += 1;
        let id = format!("a{sent:04}");
        record.line(&format!("requester: sends {id} with {what}"));
        let request = get(HOST, PATH, &id, key);
        let status = match send(entry.front, request.as_bytes(), ms(5_000)) {
            Ok(answer) => answer.status(),
            Err(_) => 0,
        };
        record.line(&format!("requester: {id} is answered with {status}"));
        (id, status)
    };
    for key in KEYS {
        let (_, status) = ask("a key of the configuration in force", Some(key));
        if status != 200 {
            cannot_run(&"a proper request is not served at the start");
        }
    }
    if case.with_trouble {
        for (index, version) in [17, 23, 31].into_iter().enumerate() {
            store.put("config", "main", &tenants(version, &KEYS[index + 1..]));
            record.say(&format!(
                "operator: version {version} takes a key away, acknowledged"
            ));
            thread::sleep(ms(400));
        }
    }
    thread::sleep(ms(CONFIG_MS + 1_500));
    let mut unproper = Vec::new();
    for _ in 0..10 {
        unproper.push(ask(
            "a key that no configuration ever held",
            Some(UNKNOWN_KEY),
        ));
        unproper.push(ask("no key", None));
        if case.with_trouble {
            unproper.push(ask("a key that was taken away", Some(KEYS[0])));
        } else {
            ask("a key of the configuration in force", Some(KEYS[0]));
        }
    }
    let runs = runner.runs.lock().unwrap();
    let ran: Vec<&String> = unproper
        .iter()
        .filter(|(id, _)| runs.iter().any(|run| run.id == *id))
        .map(|(id, _)| id)
        .collect();
    let refused = unproper.iter().filter(|(_, status)| *status == 401).count();
    record.say(&format!(
        "{} requests without a valid key: {refused} got 401, {} ran",
        unproper.len(),
        ran.len()
    ));
    for run in runs.iter().filter(|run| ran.contains(&&run.id)).take(3) {
        record.say(&format!("ran: {} for tenant {}", run.id, run.tenant));
    }
    !ran.is_empty()
}

// --- lost: the store loses one answer.

/// A request of a requester: its id, when it was sent, and the status of its answer.
type Sent = (String, Instant, u16);

/// Requesters beside each other, so that each runner gets a share of the requests.
const LOAD_REQUESTERS: usize = 6;

/// Requesters that send one request after the other until they are stopped.
struct Load {
    stop: Arc<AtomicBool>,
    senders: Vec<thread::JoinHandle<Vec<Sent>>>,
}

impl Load {
    fn start(record: &Arc<Record>, front: SocketAddr) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let senders = (0..LOAD_REQUESTERS).map(|requester| {
            let (stop, record) = (stop.clone(), record.clone());
            thread::spawn(move || {
                let mut sent = Vec::new();
                while !stop.load(Ordering::SeqCst) {
                    let id = format!("b{requester}-{:05}", sent.len());
                    let at = Instant::now();
                    let request = get(HOST, PATH, &id, Some(KEY));
                    let answer = send(front, request.as_bytes(), ms(5_000));
                    let status = answer.map_or(0, |answer| answer.status());
                    record.line(&format!("requester: {id} is answered with {status}"));
                    sent.push((id, at, status));
                    thread::sleep(ms(40));
                }
                sent
            })
        });
        Self {
            senders: senders.collect(),
            stop,
        }
    }

    fn stop(self) -> Vec<Sent> {
        self.stop.store(true, Ordering::SeqCst);
        let ended = self.senders.into_iter().map(thread::JoinHandle::join);
        ended
            .flat_map(|sent| sent.unwrap_or_else(|_| cannot_run(&"a requester")))
            .collect()
    }
}

/// Returns whether requests that were sent after `from` ran at a runner, and says how many.
fn reached(record: &Record, runner: &Runner, sent: &[Sent], from: Instant, ack: Instant) -> bool {
    let runs = runner.runs.lock().unwrap();
    let mut late = Vec::new();
    for run in runs.iter() {
        let request = sent.iter().find(|(id, _, _)| *id == run.id);
        if request.is_some_and(|(_, at, _)| *at > from) && run.at > from {
            late.push(run);
        }
    }
    record.say(&format!(
        "{} of {} runs of {} reached it later than the rule allows",
        late.len(),
        runs.len(),
        runner.id
    ));
    if let (Some(first), Some(last)) = (late.first(), late.last()) {
        record.say(&format!(
            "the first {} ms and the last {} ms after the ack of its draining",
            (first.at - ack).as_millis(),
            (last.at - ack).as_millis()
        ));
    }
    !late.is_empty()
}

fn lost(case: &Case) -> bool {
    let record = &case.record;
    let (store, address) = Store::start(record, 500);
    let leaving = Runner::start(record, "portal", "i-02d9e6b4", ms(60));
    let staying = Runner::start(record, "portal", "i-7f3a91c2", ms(60));
    store.put("config", "main", &configuration(10, &[KEY]));
    for runner in [&leaving, &staying] {
        store.put("servers", &runner.id, &runner.entry("ready"));
    }
    let entry = Entry::start(&case.root, &case.folder, address);
    entry.wait_until_ready();
    let load = Load::start(record, entry.front);
    thread::sleep(ms(6_000));
    // The watch that is waiting may have begun at any time; here it has begun half a second ago.
    let begun = store.servers_watches.load(Ordering::SeqCst);
    let until = Instant::now() + ms(10_000);
    while store.servers_watches.load(Ordering::SeqCst) == begun {
        if Instant::now() > until {
            cannot_run(&"the entry begins no further watch of the servers");
        }
        thread::sleep(ms(5));
    }
    thread::sleep(ms(500));
    store.loses_next.store(case.with_trouble, Ordering::SeqCst);
    let ack = store.put("servers", &leaving.id, &leaving.entry("draining"));
    record.say(&format!(
        "store: acknowledges that {} is draining",
        leaving.id
    ));
    thread::sleep(ms(9_000));
    if case.with_trouble && store.loses_next.load(Ordering::SeqCst) {
        cannot_run(&"no answer to a watch was lost");
    }
    let sent = load.stop();
    drop(entry);
    // The answer is lost within milliseconds of the ack. The store is stable again, and the entry in
    // touch, `ContactMs` later.
    let from = ack + ms(CONTACT_MS.max(DRAIN_MS)) + ms(200);
    reached(record, &leaving, &sent, from, ack)
}

// --- pages: a runner reports that it is draining while an entry lists the servers.

fn pages(case: &Case) -> bool {
    let record = &case.record;
    let (store, address) = Store::start(record, 50);
    let leaving = Runner::start(record, "portal", "i-02d9e6b4", ms(60));
    let staying = Runner::start(record, "portal", "i-7f3a91c2", ms(60));
    store.put("config", "main", &configuration(10, &[KEY]));
    for runner in [&leaving, &staying] {
        store.put("servers", &runner.id, &runner.entry("ready"));
    }
    // Runners of a service that no route names.
    for number in 0..58 {
        let elsewhere = SocketAddr::from((Ipv4Addr::LOCALHOST, free_port()));
        let text = server_entry("estimator-llm", elsewhere, "delta-a", "ready");
        store.put("servers", &format!("i-9{number:07x}"), &text);
    }
    let mut entry = Entry::start(&case.root, &case.folder, address);
    entry.wait_until_ready();
    thread::sleep(ms(3_000));
    let mut started_at = Instant::now();
    if case.with_trouble {
        drop(entry);
        record.say("platform: the entry is killed");
        thread::sleep(ms(1_000));
        *store.first_page.lock().unwrap() = None;
        record.say("platform: the entry starts again");
        started_at = Instant::now();
        entry = Entry::start(&case.root, &case.folder, address);
        let until = Instant::now() + ms(10_000);
        while store.first_page.lock().unwrap().is_none() {
            if Instant::now() > until {
                cannot_run(&"the entry doesn't list the servers");
            }
            thread::sleep(Duration::from_micros(100));
        }
    }
    let ack = store.put("servers", &leaving.id, &leaving.entry("draining"));
    record.say(&format!(
        "store: acknowledges that {} is draining",
        leaving.id
    ));
    entry.wait_until_ready();
    let load = Load::start(record, entry.front);
    thread::sleep(ms(12_000));
    let sent = load.stop();
    drop(entry);
    let from = (started_at + ms(CONTACT_MS)).max(ack + ms(DRAIN_MS)) + ms(100);
    reached(record, &leaving, &sent, from, ack)
}

// --- memory: many requests with bodies as long as the configuration allows.

/// `MaxBodyBytes`, and the mean length of a body on the sheet.
const BODY_BYTES: usize = 4_194_304;
const SMALL_BODY_BYTES: usize = 600;
/// The requesters of the site, each of which sends one long request at a time.
const REQUESTERS: usize = 98;
/// `LinkMbps` of an `edge` machine, which its requesters share.
const LINK_BYTES_PER_S: usize = 1_000_000_000 / 8;
/// `MemoryMb` of an `edge` machine.
const MEMORY_MB: u64 = 260;
const PIECE_BYTES: usize = 65_536;

fn resident_mb(process: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap_or("");
    let kb = line.split_whitespace().nth(1);
    kb.and_then(|kb| kb.parse::<u64>().ok()).unwrap_or(0) / 1_024
}

fn post(path: &str, id: &str, bytes: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Pimentohook-Attempt-Id: {id}\r\n\
         X-Pimentohook-Deadline-Ms: 4000\r\nAuthorization: Token {KEY}\r\n\
         Content-Length: {bytes}\r\n\r\n"
    )
}

/// Sends a request with a body at the requester's share of the link, and returns the status; 0 if
/// the channel ended without an answer.
fn send_paced(front: SocketAddr, id: &str, bytes: usize) -> io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&front, ms(1_000))?;
    stream.set_read_timeout(Some(ms(6_000)))?;
    stream.set_write_timeout(Some(ms(6_000)))?;
    stream.write_all(post("/boye614/x", id, bytes).as_bytes())?;
    let started = Instant::now();
    let mut sent = 0;
    while sent < bytes {
        let piece = PIECE_BYTES.min(bytes - sent);
        stream.write_all(&vec![b'x'; piece])?;
        sent += piece;
        let due = sent as f64 * REQUESTERS as f64 / LINK_BYTES_PER_S as f64;
        let due = started + Duration::from_secs_f64(due);
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    let answer = read_message(&mut BufReader::new(stream))?;
    Ok(answer.map_or(0, |answer| answer.status()))
}

/// Sends short requests, one after the other, on a channel that is kept, until it ends.
fn send_on_kept_channel(
    record: &Record,
    front: SocketAddr,
    name: &str,
    stop: &AtomicBool,
) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&front, ms(1_000)).ok()?;
    let _ = stream.set_read_timeout(Some(ms(6_000)));
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    for number in 0.. {
        if stop.load(Ordering::SeqCst) {
            return None;
        }
        let id = format!("{name}-{number:03}");
        let mut request = post("/filo73/x", &id, SMALL_BODY_BYTES).into_bytes();
        request.resize(request.len() + SMALL_BODY_BYTES, b'x');
        let answer = stream
            .write_all(&request)
            .and_then(|()| read_message(&mut reader));
        match answer {
            Ok(Some(answer)) => {
                record.line(&format!(
                    "requester: {id} is answered with {}",
                    answer.status()
                ));
            }
            Ok(None) | Err(_) => {
                record.line(&format!(
                    "requester: the channel of {id} ends without an answer"
                ));
                return Some(id);
            }
        }
        thread::sleep(ms(20));
    }
    None
}

fn memory(case: &Case) -> bool {
    let record = &case.record;
    let (store, address) = Store::start(record, 500);
    let runners: Vec<Arc<Runner>> = ["i-02d9e6b4", "i-7f3a91c2", "i-c15a07de"]
        .iter()
        .map(|id| Runner::start(record, "portal", id, ms(200)))
        .collect();
    store.put("config", "main", &configuration(10, &[KEY]));
    for runner in &runners {
        store.put("servers", &runner.id, &runner.entry("ready"));
    }
    let mut entry = Entry::start(&case.root, &case.folder, address);
    entry.wait_until_ready();
    thread::sleep(ms(3_000));
    let stop = Arc::new(AtomicBool::new(false));
    let mut kept = Vec::new();
    for number in 0..12 {
        let (record, stop, front) = (record.clone(), stop.clone(), entry.front);
        kept.push(thread::spawn(move || {
            send_on_kept_channel(&record, front, &format!("k{number:02}"), &stop)
        }));
    }
    thread::sleep(ms(1_000));
    let bytes = if case.with_trouble {
        BODY_BYTES
    } else {
        SMALL_BODY_BYTES
    };
    record.say(&format!(
        "{REQUESTERS} requesters send a body of {bytes} bytes each"
    ));
    let mut senders = Vec::new();
    for number in 0..REQUESTERS {
        let (record, front) = (record.clone(), entry.front);
        senders.push(thread::spawn(move || {
            let id = format!("c{number:04}");
            let status = send_paced(front, &id, bytes).unwrap_or(0);
            record.line(&format!("requester: {id} is answered with {status}"));
            status
        }));
    }
    // The platform kills a process that exceeds its memory.
    let mut peak = 0;
    let mut killed_at = None;
    let until = Instant::now() + ms(10_000);
    while killed_at.is_none() && Instant::now() < until && senders.iter().any(|s| !s.is_finished())
    {
        peak = peak.max(resident_mb(entry.child.id()));
        if peak > MEMORY_MB {
            let _ = entry.child.kill();
            let _ = entry.child.wait();
            killed_at = Some(Instant::now());
        }
        thread::sleep(ms(2));
    }
    record.say(&match killed_at {
        Some(_) => format!("platform: kills the entry, which holds {peak} MB of {MEMORY_MB}"),
        None => format!("platform: the entry held {peak} MB of {MEMORY_MB} at most"),
    });
    thread::sleep(ms(300));
    stop.store(true, Ordering::SeqCst);
    let cut: Vec<String> = kept
        .into_iter()
        .filter_map(|k| k.join().ok().flatten())
        .collect();
    let statuses: Vec<u16> = senders.into_iter().map(|s| s.join().unwrap_or(0)).collect();
    let served = statuses.iter().filter(|status| **status == 200).count();
    let unanswered = statuses.iter().filter(|status| **status == 0).count();
    record.say(&format!(
        "of the {REQUESTERS} requests {served} are served, and {unanswered} channels end without \
         an answer"
    ));
    let was_run = |id: &&String| {
        let mut runners = runners.iter();
        runners.any(|runner| runner.runs.lock().unwrap().iter().any(|run| run.id == **id))
    };
    let lost = cut.iter().filter(was_run).count();
    record.say(&format!(
        "{lost} short requests were passed on to a sound runner, and their kept channels ended \
         without an answer"
    ));
    lost > 3
}
