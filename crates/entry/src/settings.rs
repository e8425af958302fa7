//! Settings of gateway mode.

use std::{fmt, net, path, time};

use indexmap::IndexMap;
use pimentohook_core::{id, report, size};
use pimentohook_runtime::settings;

/// An operator's token; redacted in debug output.
#[derive(Clone)]
pub struct Token(String);

impl Token {
    /// Wraps a token.
    #[must_use]
    pub const fn new(text: String) -> Self {
        Self(text)
    }

    /// Returns the digest that is used to compare tokens.
    #[must_use]
    pub fn digest(&self) -> id::Digest {
        id::Digest::of(self.0.as_bytes())
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(redacted)")
    }
}

/// The address and the failure domain of an entry.
#[derive(Clone, Debug)]
pub struct EntryLocation {
    /// Its address.
    pub address: net::SocketAddr,
    /// Its failure domain.
    pub failure_domain: id::FailureDomain,
}

/// The settings of gateway mode.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// The name of this entry.
    pub entry: id::EntryId,
    /// The address to listen on.
    pub listen: net::SocketAddr,
    /// All entries, including this one.
    pub entries: IndexMap<id::EntryId, EntryLocation>,
    /// The address of the object API.
    pub object_api: net::SocketAddr,
    /// The address of the weight store.
    pub weight_store: net::SocketAddr,
    /// The operators and their tokens.
    pub operators: IndexMap<id::OperatorName, Token>,
    /// The service-level objectives.
    pub objectives: IndexMap<id::ServiceName, report::Objective>,
    /// How long callers may cache the list of entries.
    pub directory_ttl: time::Duration,
    /// How long agents remember requests.
    pub window: time::Duration,
    /// How long an agent may be silent before it is marked as departed.
    pub silence_max: time::Duration,
    /// The age from which every entry is certain to know an agent.
    pub join_age: time::Duration,
    /// The number of agents that a non-idempotent request may be dispatched to.
    pub chain_length: usize,
    /// The longest deadline that a caller may request, and the default.
    pub deadline_max: time::Duration,
    /// How long an agent may take to admit or refuse a dispatched request.
    pub decide_max: time::Duration,
    /// How long a response may send no frame.
    pub frame_silence_max: time::Duration,
    /// The retry budget as a percentage of requests.
    pub retry_percent: u64,
    /// The maximum size of a request body.
    pub body_max: size::ByteCount,
    /// The term of the lease.
    pub lease_term: time::Duration,
    /// The rate at which a VM's link carries weights, used for estimates.
    pub weights_rate: size::ByteRate,
    /// How long the download of a granted chunk may take before the chunk is granted again.
    pub grant_timeout: time::Duration,
    /// The address that metrics are sent to; `None` to send none.
    pub metrics: Option<net::SocketAddr>,
    /// The log level.
    pub log_level: String,
}

const ADDRESS: &str = "an IP address and port, such as 10.0.0.7:7000";
const NAME: &str = "1 to 64 of letters, digits, '-', '_' and '.'";
const TOKEN_MIN_BYTES: usize = 16;
const HOUR_MS: u64 = 3_600_000;
const PPM_MAX: u64 = 1_000_000;

impl EntrySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns a [`settings::SettingsError`] that lists all invalid settings.
    pub fn from_file(path: &path::Path) -> Result<Self, settings::SettingsError> {
        Self::check(settings::Checker::from_file(path))
    }

    /// Checks the settings of gateway mode that a checker has read.
    ///
    /// # Errors
    ///
    /// Returns a [`settings::SettingsError`] that lists all invalid settings.
    pub fn check(mut checker: settings::Checker) -> Result<Self, settings::SettingsError> {
        let parsed = Self::read(&mut checker);
        checker.finish_with(parsed)
    }

    fn read(checker: &mut settings::Checker) -> Option<Self> {
        let entry: Option<id::EntryId> = checker.required("entry", NAME);
        let listen = checker.required("listen", ADDRESS);
        let entries = read_entries(checker);
        if let Some(entry) = &entry
            && !entries.contains_key(entry)
        {
            let name = Some(entry.to_string());
            checker.push("entry", name, "one of the names under `entries`");
        }
        let object_api = checker.required("object_api", ADDRESS);
        let weight_store = checker.required("weight_store", ADDRESS);
        let operators = read_operators(checker);
        let objectives = read_objectives(checker);
        let directory_ttl = checker.millis("keep_ms", 30_000, 0..=HOUR_MS);
        let window = checker.millis("window_ms", 60_000, 1_000..=HOUR_MS);
        let silence_max = checker.millis("silence_max_ms", 2_000, 100..=60_000);
        let join_age = checker.millis("join_age_ms", 5_000, 0..=60_000);
        let chain_length = checker.number("chain_length", 3, 1..=16);
        let deadline_max = checker.millis("deadline_max_ms", 30_000, 100..=HOUR_MS);
        if deadline_max > window {
            let value = Some(deadline_max.as_millis().to_string());
            checker.push("deadline_max_ms", value, "at most window_ms");
        }
        let decide_max = checker.millis("decide_max_ms", 1_000, 20..=60_000);
        let frame_silence_max = checker.millis("frame_silence_max_ms", 1_000, 300..=60_000);
        let retry_percent = checker.number("retry_percent", 9, 0..=100);
        let body_max = checker.optional("body_max", "a size such as 1MiB");
        let lease_term = checker.millis("lease_term_ms", 3_000, 200..=60_000);
        let weights_rate = checker.optional("weights_rate", "a rate such as 100MiB/s");
        let grant_timeout = checker.millis("grant_patience_ms", 10_000, 100..=HOUR_MS);
        let metrics = checker.optional("metrics", ADDRESS);
        let log_level = checker.optional("log_level", "error, warn, info, debug or trace");
        Some(Self {
            entry: entry?,
            listen: listen?,
            entries,
            object_api: object_api?,
            weight_store: weight_store?,
            operators,
            objectives,
            directory_ttl,
            window,
            silence_max,
            join_age,
            chain_length: usize::try_from(chain_length).ok()?,
            deadline_max,
            decide_max,
            frame_silence_max,
            retry_percent,
            body_max: body_max.unwrap_or(BODY_MAX_DEFAULT),
            lease_term,
            weights_rate: weights_rate.unwrap_or(WEIGHTS_RATE_DEFAULT),
            grant_timeout,
            metrics,
            log_level: log_level.unwrap_or_else(|| String::from("info")),
        })
    }
}

const BODY_MAX_DEFAULT: size::ByteCount = size::ByteCount::new(1 << 20);
const WEIGHTS_RATE_DEFAULT: size::ByteRate = size::ByteRate::new(100 << 20);

fn read_entries(checker: &mut settings::Checker) -> IndexMap<id::EntryId, EntryLocation> {
    if !checker.has("entries") {
        checker.push("entries", None, "a mapping of entry names");
    }
    let sections = checker.sections("entries", |_, section| {
        let address = section.required("address", ADDRESS);
        let failure_domain = section.required("failure_domain", NAME);
        Some(EntryLocation {
            address: address?,
            failure_domain: failure_domain?,
        })
    });
    parse_names(checker, "entries", sections)
}

fn read_operators(checker: &mut settings::Checker) -> IndexMap<id::OperatorName, Token> {
    let sections = checker.sections("operators", |_, section| {
        let allowed = format!("a text of at least {TOKEN_MIN_BYTES} bytes");
        let token: String = section.required("token", &allowed)?;
        if token.len() < TOKEN_MIN_BYTES {
            section.push("token", Some(String::from("(redacted)")), &allowed);
            return None;
        }
        Some(Token::new(token))
    });
    parse_names(checker, "operators", sections)
}

fn read_objectives(
    checker: &mut settings::Checker,
) -> IndexMap<id::ServiceName, report::Objective> {
    let sections = checker.sections("objectives", |_, section| {
        let availability_ppm = section.number("availability_ppm", 999_000, 1..=PPM_MAX);
        let latency_ms = section.number("latency_ms", 470, 1..=HOUR_MS);
        let latency_ppm = section.number("latency_ppm", 950_000, 1..=PPM_MAX);
        Some(report::Objective {
            availability_ppm: u32::try_from(availability_ppm).ok()?,
            latency_ms,
            latency_ppm: u32::try_from(latency_ppm).ok()?,
        })
    });
    parse_names(checker, "objectives", sections)
}

fn parse_names<N, T>(
    checker: &mut settings::Checker,
    key: &str,
    sections: Vec<(String, T)>,
) -> IndexMap<N, T>
where
    N: std::str::FromStr + std::hash::Hash + Eq,
{
    let mut map = IndexMap::new();
    for (name, section) in sections {
        match name.parse() {
            Ok(parsed) => {
                map.insert(parsed, section);
            }
            Err(_) => checker.push(&format!("{key}.{name}"), Some(name.clone()), NAME),
        }
    }
    map
}
