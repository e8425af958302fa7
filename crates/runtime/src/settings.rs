//! YAML settings files that are validated as a whole.
//!
//! A [`Checker`] reads the values of a file and collects all errors, each with the key path, the
//! value and the values that are allowed. [`Checker::finish`] adds an error for each unknown key,
//! and returns all errors together.
//!
//! ```
//! use pimentohook_runtime::settings;
//!
//! let mut checker = settings::Checker::from_text("entry.yaml", "listen: 127.0.0.1:80\nlsten: 1");
//! let listen: Option<std::net::SocketAddr> = checker.required("listen", "an IP address and port");
//! assert!(listen.is_some());
//! let error = checker.finish().unwrap_err().to_string();
//! assert!(error.contains("lsten"));
//! ```

use std::{fmt, fs, ops, path, str, time};

use indexmap::IndexSet;
use serde_yaml_ng::{Mapping, Value};
use snafu::Snafu;

/// A setting that is missing, unknown or not valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    /// The key path, such as `limits.window_s`.
    pub key: String,
    /// The value; `None` if the setting is missing.
    pub value: Option<String>,
    /// A description of the allowed values.
    pub allowed: String,
}

impl fmt::Display for InvalidSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.value {
            Some(value) => write!(f, "{}: {value}; allowed: {}", self.key, self.allowed),
            None => write!(f, "{}: missing; allowed: {}", self.key, self.allowed),
        }
    }
}

/// An error with all invalid settings of a file.
#[derive(Debug, Snafu)]
#[snafu(display("{file} has {} fault(s):{}", faults.len(), format_list(faults)))]
pub struct SettingsError {
    /// The path of the file.
    pub file: String,
    /// The invalid settings, in the order in which they were read.
    pub faults: Vec<InvalidSetting>,
}

fn format_list(faults: &[InvalidSetting]) -> String {
    let mut text = String::new();
    for fault in faults {
        text.push_str("\n  ");
        text.push_str(&fault.to_string());
    }
    text
}

/// Reads values from a YAML mapping and collects errors.
#[derive(Debug)]
pub struct Checker {
    file: String,
    prefix: String,
    mapping: Mapping,
    known_keys: IndexSet<String>,
    faults: Vec<InvalidSetting>,
}

/// What the names of variables begin with that hold settings.
pub const VARIABLE_PREFIX: &str = "PIMENTOHOOK_SETTING_";
const VALUE_TEXT_MAX_CHARS: usize = 80;

impl Checker {
    /// Reads a file.
    ///
    /// A file that can't be read or is not a YAML mapping is recorded like an invalid setting.
    #[must_use]
    pub fn from_file(path: &path::Path) -> Self {
        let name = path.display().to_string();
        match fs::read_to_string(path) {
            Ok(text) => Self::from_text(&name, &text),
            Err(error) => {
                let mut checker = Self::new(&name, "", Mapping::new());
                checker.push("(file)", Some(error.to_string()), "a readable file");
                checker
            }
        }
    }

    /// Parses YAML text; `file` is the name of the file in errors.
    #[must_use]
    pub fn from_text(file: &str, text: &str) -> Self {
        match serde_yaml_ng::from_str(text) {
            Ok(Value::Mapping(mapping)) => Self::new(file, "", mapping),
            Ok(other) => {
                let mut checker = Self::new(file, "", Mapping::new());
                checker.push("(file)", Some(to_text(&other)), "a YAML mapping");
                checker
            }
            Err(error) => {
                let mut checker = Self::new(file, "", Mapping::new());
                checker.push("(file)", Some(error.to_string()), "valid YAML");
                checker
            }
        }
    }

    /// Adds the settings that the file lacks and that variables of the environment hold, as YAML.
    ///
    /// The variable of a key is [`VARIABLE_PREFIX`] and the key in capitals.
    #[must_use]
    pub fn with_variables<I>(mut self, variables: I) -> Self
    where
        I: IntoIterator<Item = (String, String)>,
    {
        for (variable, text) in variables {
            let Some(key) = variable.strip_prefix(VARIABLE_PREFIX) else {
                continue;
            };
            let key = key.to_ascii_lowercase();
            if self.has(&key) {
                continue;
            }
            match serde_yaml_ng::from_str::<Value>(&text) {
                Ok(value) => {
                    self.mapping.insert(Value::String(key), value);
                }
                Err(error) => self.push(&variable, Some(error.to_string()), "valid YAML"),
            }
        }
        self
    }

    fn new(file: &str, prefix: &str, mapping: Mapping) -> Self {
        Self {
            file: String::from(file),
            prefix: String::from(prefix),
            mapping,
            known_keys: IndexSet::new(),
            faults: Vec::new(),
        }
    }

    /// Returns whether a key is present with a value other than null.
    #[must_use]
    pub fn has(&self, key: &str) -> bool {
        let value = self.mapping.get(key);
        value.is_some_and(|value| !value.is_null())
    }

    /// Reads a required value; returns `None` and records an error if it is missing or not valid.
    ///
    /// `allowed` describes the allowed values in the error.
    pub fn required<T>(&mut self, key: &str, allowed: &str) -> Option<T>
    where
        T: str::FromStr,
    {
        if !self.has(key) {
            self.known_keys.insert(String::from(key));
            self.push(key, None, allowed);
            return None;
        }
        self.optional(key, allowed)
    }

    /// Reads an optional value; a null value counts as missing.
    ///
    /// Records an error if the value is not valid; `allowed` describes the allowed values.
    pub fn optional<T>(&mut self, key: &str, allowed: &str) -> Option<T>
    where
        T: str::FromStr,
    {
        self.known_keys.insert(String::from(key));
        if !self.has(key) {
            return None;
        }
        let value = self.mapping.get(key)?.clone();
        let parsed = scalar(&value).and_then(|text| text.parse().ok());
        if parsed.is_none() {
            self.push(key, Some(to_text(&value)), allowed);
        }
        parsed
    }

    /// Reads an integer within `range`; returns `default` if it is missing or not valid.
    pub fn number(&mut self, key: &str, default: u64, range: ops::RangeInclusive<u64>) -> u64 {
        let allowed = format!("a whole number from {} to {}", range.start(), range.end());
        match self.optional::<u64>(key, &allowed) {
            Some(number) if !range.contains(&number) => {
                self.push(key, Some(number.to_string()), &allowed);
                default
            }
            Some(number) => number,
            None => default,
        }
    }

    /// Reads a duration in milliseconds within `range`; returns `default` if it is missing or not
    /// valid.
    pub fn millis(
        &mut self,
        key: &str,
        default: u64,
        range: ops::RangeInclusive<u64>,
    ) -> time::Duration {
        time::Duration::from_millis(self.number(key, default, range))
    }

    /// Reads a list of values; a missing list counts as empty.
    pub fn list<T>(&mut self, key: &str, allowed: &str) -> Vec<T>
    where
        T: str::FromStr,
    {
        self.known_keys.insert(String::from(key));
        let Some(value) = self.mapping.get(key).cloned() else {
            return Vec::new();
        };
        let Value::Sequence(items) = &value else {
            self.push(key, Some(to_text(&value)), &format!("a list of {allowed}"));
            return Vec::new();
        };
        let mut parsed = Vec::new();
        for (index, item) in items.iter().enumerate() {
            match scalar(item).and_then(|text| text.parse().ok()) {
                Some(value) => parsed.push(value),
                None => self.push(&format!("{key}[{index}]"), Some(to_text(item)), allowed),
            }
        }
        parsed
    }

    /// Reads a list, and records an error if it has no values.
    pub fn required_list<T>(&mut self, key: &str, allowed: &str) -> Vec<T>
    where
        T: str::FromStr,
    {
        let count_before = self.faults.len();
        let parsed = self.list(key, allowed);
        if parsed.is_empty() && self.faults.len() == count_before {
            self.push(key, None, &format!("a list of {allowed}"));
        }
        parsed
    }

    /// Reads a mapping of names to values; a missing or null mapping counts as empty.
    pub fn map<T>(&mut self, key: &str, allowed: &str) -> Vec<(String, T)>
    where
        T: str::FromStr,
    {
        self.known_keys.insert(String::from(key));
        if !self.has(key) {
            return Vec::new();
        }
        let Some(Value::Mapping(mapping)) = self.mapping.get(key).cloned() else {
            let value = self.mapping.get(key).map(to_text);
            self.push(key, value, &format!("a mapping of names to {allowed}"));
            return Vec::new();
        };
        let mut parsed = Vec::new();
        for (name, value) in &mapping {
            let name = scalar(name).unwrap_or_else(|| to_text(name));
            match scalar(value).and_then(|text| text.parse().ok()) {
                Some(value) => parsed.push((name, value)),
                None => self.push(&format!("{key}.{name}"), Some(to_text(value)), allowed),
            }
        }
        parsed
    }

    /// Reads a mapping of names to mappings, each of which is read by `check`.
    pub fn sections<T, F>(&mut self, key: &str, mut check: F) -> Vec<(String, T)>
    where
        F: FnMut(&str, &mut Self) -> Option<T>,
    {
        self.known_keys.insert(String::from(key));
        let Some(value) = self.mapping.get(key).cloned() else {
            return Vec::new();
        };
        let Value::Mapping(mapping) = &value else {
            self.push(key, Some(to_text(&value)), "a mapping");
            return Vec::new();
        };
        let mut sections = Vec::new();
        for (name, section) in mapping {
            let name = scalar(name).unwrap_or_default();
            let Value::Mapping(section) = section else {
                self.push(
                    &format!("{key}.{name}"),
                    Some(to_text(section)),
                    "a mapping",
                );
                continue;
            };
            let prefix = format!("{}{key}.{name}.", self.prefix);
            let mut checker = Self::new(&self.file, &prefix, section.clone());
            if let Some(checked) = check(&name, &mut checker) {
                sections.push((name, checked));
            }
            checker.check_unknown_keys();
            self.faults.append(&mut checker.faults);
        }
        sections
    }

    /// Records an error for a key; `value` is `None` if the setting is missing.
    pub fn push(&mut self, key: &str, value: Option<String>, allowed: &str) {
        self.faults.push(InvalidSetting {
            key: format!("{}{key}", self.prefix),
            value,
            allowed: String::from(allowed),
        });
    }

    /// Finishes the validation.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] if any setting is invalid, or if the file has a key that was not
    /// read.
    pub fn finish(mut self) -> Result<(), SettingsError> {
        self.check_unknown_keys();
        if self.faults.is_empty() {
            return Ok(());
        }
        Err(SettingsError {
            file: self.file,
            faults: self.faults,
        })
    }

    /// Finishes the validation and returns `parsed`, which the caller has built from the values.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] like [`Checker::finish`]. `parsed` may be `None` only if an error
    /// was recorded.
    pub fn finish_with<T>(self, parsed: Option<T>) -> Result<T, SettingsError> {
        let file = self.file.clone();
        self.finish()?;
        let faults = Vec::new();
        parsed.ok_or(SettingsError { file, faults })
    }

    fn check_unknown_keys(&mut self) {
        let known_keys = self
            .known_keys
            .iter()
            .cloned()
            .collect::<Vec<_>>()
            .join(", ");
        let keys: Vec<Value> = self.mapping.keys().cloned().collect();
        for key in keys {
            let name = scalar(&key).unwrap_or_else(|| to_text(&key));
            if !self.known_keys.contains(&name) {
                let value = self.mapping.get(&key).map(to_text);
                self.push(&name, value, &format!("one of the keys {known_keys}"));
            }
        }
    }
}

fn scalar(value: &Value) -> Option<String> {
    match value {
        Value::String(text) => Some(text.clone()),
        Value::Number(number) => Some(number.to_string()),
        Value::Bool(flag) => Some(flag.to_string()),
        _ => None,
    }
}

fn to_text(value: &Value) -> String {
    let text = scalar(value)
        .or_else(|| serde_yaml_ng::to_string(value).ok())
        .unwrap_or_default();
    text.trim().chars().take(VALUE_TEXT_MAX_CHARS).collect()
}
