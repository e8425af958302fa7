//! The result of the demonstration, summarised from what callers received and test doubles counted.

use std::time;

use indexmap::IndexMap;
use pimentohook_core::burst;
use pimentohook_standin::{caller, fleet};
use serde::Serialize;

use crate::{load, timeline};

/// The result of the demonstration; its fields are the keys of the JSON output.
#[derive(Debug, Default, Serialize)]
pub struct Summary {
    /// The number of model engines.
    pub replicas: usize,
    /// What the burst minimised first.
    pub policy: burst::Policy,
    /// The time from the confirmation until every replica serves version 2; 0 after a timeout.
    pub time_to_live_ms: u64,
    /// Where the time went: for each stage, when the first and the last replica reached it.
    pub stages: IndexMap<timeline::Stage, timeline::StageTimes>,
    /// The time in which one link carries one copy of version 2.
    pub lower_bound_ms: u64,
    /// The bytes of version 2 that the origin sent, in copies.
    pub origin_copies: f64,
    /// The bytes on the busiest link since the confirmation, in copies of version 2.
    pub max_link_copies: f64,
    /// The number of requests.
    pub requests_sent: usize,
    /// The number of requests with a complete and correct response.
    pub answered_whole: usize,
    /// The number of requests that were refused to the end.
    pub refused_not_run: usize,
    /// The number of requests of which an entry does not know whether they ran.
    pub outcome_unknown: usize,
    /// The number of complete responses with another text than expected.
    pub answered_wrong: usize,
    /// The number of non-idempotent requests that ran more than once.
    pub doubled: usize,
    /// The number of requests that ended in any other way, such as an interrupted response.
    pub lost: usize,
    /// The number of requests that ran while their engine loaded other weights.
    pub mixed_weights: u32,
    /// The median time to the end of a complete response.
    pub p50_ms: u64,
    /// The 99th percentile of the same.
    pub p99_ms: u64,
    /// For requests that were not sent during the rollout, so also for those sent after it.
    pub first_byte_p99_before_ms: u64,
    /// For requests that were sent during the rollout.
    pub first_byte_p99_during_ms: u64,
    /// The number of refusals, which includes those of requests that a retry completed.
    pub not_run_told: usize,
}

impl Summary {
    /// Summarises the responses that callers received and the counts of the test doubles.
    #[expect(clippy::cast_precision_loss, reason = "a ratio for people to read")]
    pub fn of(fleet: &fleet::Fleet, calls: &[Option<load::CallResult>]) -> Self {
        let mut summary = Self {
            replicas: fleet.engine_vms.len(),
            requests_sent: calls.len(),
            ..Self::default()
        };
        let mut durations_ms = Vec::new();
        let (mut first_byte_before_ms, mut first_byte_during_ms) = (Vec::new(), Vec::new());
        for call in calls {
            let Some(call) = call else {
                summary.lost += 1;
                continue;
            };
            summary.not_run_told += call.refusal_count;
            match &call.outcome {
                caller::Outcome::Completed {
                    total_duration,
                    time_to_first_byte,
                    ..
                } if call.is_correct => {
                    summary.answered_whole += 1;
                    durations_ms.push(millis(*total_duration));
                    let first_byte_ms = if call.sent_during_rollout {
                        &mut first_byte_during_ms
                    } else {
                        &mut first_byte_before_ms
                    };
                    first_byte_ms.push(millis(*time_to_first_byte));
                }
                caller::Outcome::Completed { .. } => summary.answered_wrong += 1,
                caller::Outcome::NotRun { .. } => summary.refused_not_run += 1,
                caller::Outcome::Unknown => summary.outcome_unknown += 1,
                other => {
                    eprintln!("demo: requests {:?} failed: {other:?}", call.request_ids);
                    summary.lost += 1;
                }
            }
            summary.doubled += usize::from(!call.idempotent && run_count(fleet, call) > 1);
        }
        let origin_bytes: u64 = fleet.origin_bytes().values().sum();
        summary.origin_copies = origin_bytes as f64 / fleet.v2_bytes.get() as f64;
        let mixed_counts = fleet
            .engine_vms
            .iter()
            .map(|vm| vm.engine.runs().mixed_count);
        summary.mixed_weights = mixed_counts.sum();
        summary.p50_ms = percentile(&mut durations_ms, 50);
        summary.p99_ms = percentile(&mut durations_ms, 99);
        summary.first_byte_p99_before_ms = percentile(&mut first_byte_before_ms, 99);
        summary.first_byte_p99_during_ms = percentile(&mut first_byte_during_ms, 99);
        summary
    }

    /// Returns whether version 2 became live and every request kept its promises.
    pub fn is_correct(&self) -> bool {
        let error_count = self.answered_wrong + self.doubled + self.lost;
        error_count == 0 && self.mixed_weights == 0 && self.time_to_live_ms > 0
    }
}

/// Prints a summary as a JSON object on one line, or as text.
pub fn print(summary: &Summary, json: bool) {
    if json {
        println!("{}", serde_json::to_string(summary).unwrap_or_default());
        return;
    }
    println!(
        "version 2 live on {} replicas after {} ms (one copy over one link: {} ms)",
        summary.replicas, summary.time_to_live_ms, summary.lower_bound_ms
    );
    for (stage, times) in &summary.stages {
        let (first_ms, last_ms) = (times.first_ms, times.last_ms);
        println!("  {stage}: first after {first_ms} ms, last after {last_ms} ms");
    }
    println!(
        "copies: {:.2} from the origin, {:.2} over the busiest link",
        summary.origin_copies, summary.max_link_copies
    );
    println!(
        "requests: {} sent, {} completed, {} refused, {} with unknown outcome",
        summary.requests_sent,
        summary.answered_whole,
        summary.refused_not_run,
        summary.outcome_unknown
    );
    println!(
        "errors: {} wrong responses, {} run twice, {} lost, {} with mixed weights",
        summary.answered_wrong, summary.doubled, summary.lost, summary.mixed_weights
    );
    println!(
        "latency: p50 {} ms, p99 {} ms",
        summary.p50_ms, summary.p99_ms
    );
}

/// Returns a duration in whole milliseconds.
pub fn millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn run_count(fleet: &fleet::Fleet, call: &load::CallResult) -> u32 {
    let vms = fleet.engine_vms.iter().chain(&fleet.plain_vms);
    let run_counts = vms.map(|vm| {
        let runs = vm.engine.runs();
        let request_ids = call.request_ids.iter();
        let counts =
            request_ids.filter_map(|request_id| runs.started.get(request_id.as_str()).copied());
        counts.sum::<u32>()
    });
    run_counts.sum()
}

fn percentile(values: &mut [u64], percent: usize) -> u64 {
    values.sort_unstable();
    let rank = values.len() * percent / 100;
    let last = values.len().saturating_sub(1);
    values.get(rank.min(last)).copied().unwrap_or(0)
}
