//! What processes tell each other of announcements.

use std::time;

use serde::{Deserialize, Serialize};

use super::{Announcements, Moment, Read};
use crate::clock;

/// What a process tells others of an announcement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// The model.
    pub model: String,
    /// The announced version.
    pub version: u64,
    /// The time since the announcement, in milliseconds; `None` if nothing is known.
    pub age_ms: Option<u64>,
    /// Whether the announcement was observed, or `age_ms` is an upper bound.
    pub is_observed: bool,
}

/// What a process tells others of all announcements.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The announced versions.
    pub statements: Vec<Statement>,
    /// The time since these were known to be all, in milliseconds; `None` if they never were.
    pub read_age_ms: Option<u64>,
}

/// How a report was heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// In a request, which may have been on its way for any time.
    InRequest {
        /// The current instant.
        now: clock::BootInstant,
    },
    /// In a reply, which was made after the request was sent.
    InReply {
        /// When the request was sent.
        requested_at: clock::BootInstant,
        /// The current instant.
        now: clock::BootInstant,
    },
}

impl Announcements {
    /// Records what another process has reported; returns whether any version is newer than all
    /// known ones.
    ///
    /// An observation that took long to arrive is late, and an earlier one replaces it. A bound must
    /// not become later on its way, so bounds are taken from replies only, counted from the request.
    pub fn merge(&mut self, report: &Report, heard: Heard) -> bool {
        let mut is_any_newest = false;
        for statement in &report.statements {
            let age = statement.age_ms.map(time::Duration::from_millis);
            let moment = match (age, heard) {
                (Some(age), Heard::InRequest { now } | Heard::InReply { now, .. })
                    if statement.is_observed =>
                {
                    Moment::Observed(now.saturating_sub(age))
                }
                (Some(age), Heard::InReply { requested_at, .. }) => {
                    Moment::NotBefore(requested_at.saturating_sub(age))
                }
                (None, Heard::InReply { .. }) => Moment::Unknown,
                (_, Heard::InRequest { .. }) => continue,
            };
            is_any_newest |= self.record(&statement.model, statement.version, moment);
        }
        if let Heard::InReply { requested_at, .. } = heard {
            self.merge_read(report, requested_at);
        }
        is_any_newest
    }

    /// Records that another process had read, some time before `requested_at`, that there were no
    /// versions but those in its report.
    fn merge_read(&mut self, report: &Report, requested_at: clock::BootInstant) {
        let Some(read_age_ms) = report.read_age_ms else {
            return;
        };
        for statement in &report.statements {
            let model = statement.model.clone();
            let read_version = self.read_versions.entry(model).or_default();
            *read_version = statement.version.max(*read_version);
        }
        let read_age = time::Duration::from_millis(read_age_ms);
        let read_at = requested_at.saturating_sub(read_age);
        self.confirm_read(Read::Fetched(read_at));
    }

    /// Returns what to tell other processes.
    #[must_use]
    pub fn report(&self, now: clock::BootInstant) -> Report {
        let read_age = self.read_at.map(|at| now.saturating_duration_since(at));
        Report {
            statements: self.statements(now),
            read_age_ms: read_age.map(rounded_up_ms),
        }
    }

    fn statements(&self, now: clock::BootInstant) -> Vec<Statement> {
        let all = self.models.iter().flat_map(|(model, of_model)| {
            of_model.versions.iter().map(|known| {
                let counted_from = known.moment.counted_from();
                let age = counted_from.map(|at| now.saturating_duration_since(at));
                let is_observed = known.is_observed();
                let in_ms = if is_observed { whole_ms } else { rounded_up_ms };
                Statement {
                    model: model.clone(),
                    version: known.version,
                    age_ms: age.map(in_ms),
                    is_observed,
                }
            })
        });
        all.collect()
    }
}

fn whole_ms(age: time::Duration) -> u64 {
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}

/// Returns an age of a bound, which must not become later on its way.
fn rounded_up_ms(age: time::Duration) -> u64 {
    u64::try_from(age.as_nanos().div_ceil(1_000_000)).unwrap_or(u64::MAX)
}
