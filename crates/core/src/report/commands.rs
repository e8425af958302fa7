//! Request counters.

use std::time;

use hdrhistogram::Histogram;
use indexmap::IndexMap;

use super::{EntryCounts, MINUTES_MAX, MinuteCount, Series};
use crate::id;

const MINUTE: time::Duration = time::Duration::from_mins(1);
const LATENCY_MAX_MS: u64 = 3_600_000;
const LATENCY_DIGITS: u8 = 2;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With a complete response; the time to the first byte.
    Answered(time::Duration),
    /// Refused, failed or with an unknown outcome.
    Failed,
}

/// The counts of one entry.
#[derive(Debug)]
pub struct Counter {
    started_at: time::Instant,
    services: IndexMap<id::ServiceName, ServiceCounter>,
}

#[derive(Debug)]
struct ServiceCounter {
    last_minute: u64,
    minutes: Vec<MinuteCount>,
    latencies: Histogram<u64>,
}

impl Counter {
    /// Creates a counter whose minutes count from `started_at`.
    #[must_use]
    pub fn new(started_at: time::Instant) -> Self {
        Self {
            started_at,
            services: IndexMap::new(),
        }
    }

    /// Counts a request; `fast_ms` is the latency objective of its service in milliseconds.
    pub fn record(
        &mut self,
        now: time::Instant,
        service: &id::ServiceName,
        outcome: Outcome,
        fast_ms: u64,
    ) {
        let minute = self.minute(now);
        let Some(counter) = self.service_counter(service) else {
            return;
        };
        counter.advance(minute);
        let Some(count) = counter.minutes.last_mut() else {
            return;
        };
        match outcome {
            Outcome::Failed => count.failed_count += 1,
            Outcome::Answered(latency) => {
                let latency_ms = u64::try_from(latency.as_millis()).unwrap_or(LATENCY_MAX_MS);
                count.answered_count += 1;
                count.fast_count += u64::from(latency_ms <= fast_ms);
                counter.latencies.saturating_record(latency_ms.max(1));
            }
        }
    }

    /// Returns the counts, with every series ending at the current minute.
    pub fn to_counts(&mut self, now: time::Instant) -> EntryCounts {
        let minute = self.minute(now);
        for counter in self.services.values_mut() {
            counter.advance(minute);
        }
        let services = self.services.iter().map(|(service, counter)| {
            let series = Series {
                minutes: counter.minutes.clone(),
                latencies: counter.latency_pairs(),
            };
            (service.clone(), series)
        });
        EntryCounts {
            lived_minutes: minute.min(MINUTES_MAX as u64),
            services: services.collect(),
        }
    }

    fn minute(&self, now: time::Instant) -> u64 {
        now.duration_since(self.started_at).as_secs() / MINUTE.as_secs()
    }

    fn service_counter(&mut self, service: &id::ServiceName) -> Option<&mut ServiceCounter> {
        if !self.services.contains_key(service) {
            let latencies = Histogram::new_with_max(LATENCY_MAX_MS, LATENCY_DIGITS).ok()?;
            let counter = ServiceCounter {
                last_minute: 0,
                minutes: vec![MinuteCount::default()],
                latencies,
            };
            self.services.insert(service.clone(), counter);
        }
        self.services.get_mut(service)
    }
}

impl ServiceCounter {
    /// Appends empty minutes up to the current one and drops those beyond [`MINUTES_MAX`].
    fn advance(&mut self, minute: u64) {
        let missing = minute.saturating_sub(self.last_minute);
        let new_count =
            usize::try_from(missing).map_or(MINUTES_MAX, |count| count.min(MINUTES_MAX));
        for _ in 0..new_count {
            self.minutes.push(MinuteCount::default());
        }
        let excess = self.minutes.len().saturating_sub(MINUTES_MAX);
        self.minutes.drain(..excess);
        self.last_minute = self.last_minute.max(minute);
    }

    fn latency_pairs(&self) -> Vec<(u64, u64)> {
        let recorded = self.latencies.iter_recorded();
        let pairs = recorded.map(|value| (value.value_iterated_to(), value.count_at_value()));
        pairs.collect()
    }
}
