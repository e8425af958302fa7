//! The requests that the demonstration sends while it rolls out new weights.

use std::{net, sync, sync::atomic, time};

use pimentohook_core::id;
use pimentohook_standin::{caller, fleet};
use rand::{RngExt as _, SeedableRng as _};

use crate::summary;

const CALL_DEADLINE: time::Duration = time::Duration::from_secs(8);
const ATTEMPTS_MAX: u64 = 40;
const ORGANISATION_COUNT: u32 = 10;
const LOAD_DURATION: time::Duration = time::Duration::from_secs(7);

/// The result of one request, retries included.
#[derive(Debug)]
pub struct CallResult {
    /// The ids that the request was sent with, one for each retry.
    pub request_ids: Vec<id::RequestId>,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// How the last retry ended.
    pub outcome: caller::Outcome,
    /// Whether the response has the expected text.
    pub is_correct: bool,
    /// How many retries were refused.
    pub refusal_count: usize,
    /// Whether it was sent while the rollout was in progress.
    pub sent_during_rollout: bool,
}

/// Requests that are sent at even intervals, each by a task of its own.
pub struct RequestLoad {
    is_rolling_out: sync::Arc<atomic::AtomicBool>,
    tasks: Vec<tokio::task::JoinHandle<CallResult>>,
}

impl RequestLoad {
    /// Starts sending `count` requests; the seed determines what they are.
    pub fn start(fleet: &fleet::Fleet, count: usize, seed: u64) -> Self {
        let is_rolling_out = sync::Arc::new(atomic::AtomicBool::new(false));
        let caller = caller::Caller::new();
        let first_entry = fleet.entry_addresses[0];
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let tasks = (0..count).map(|index| {
            let load_duration_ms = summary::millis(LOAD_DURATION);
            let start_ms = load_duration_ms * index as u64 / count.max(1) as u64;
            let is_plain = rng.random_ratio(1, 5);
            let idempotent = !is_plain && rng.random_ratio(3, 4);
            let tokens = rng.random_range(8..24);
            let organisation = rng.random_range(0..ORGANISATION_COUNT);
            let request = LoadRequest {
                index,
                start_delay: time::Duration::from_millis(start_ms),
                is_plain,
                idempotent,
                body: format!("tokens={tokens} draft {index}"),
                organisation: format!("organisation-{organisation}"),
            };
            let (caller, is_rolling_out) = (caller.clone(), is_rolling_out.clone());
            tokio::spawn(request.run(caller, first_entry, is_rolling_out))
        });
        let tasks = tasks.collect();
        Self {
            is_rolling_out,
            tasks,
        }
    }

    /// Records whether the rollout is in progress, for the requests that are sent from now on.
    pub fn set_rolling_out(&self, is_rolling_out: bool) {
        self.is_rolling_out
            .store(is_rolling_out, atomic::Ordering::Relaxed);
    }

    /// Waits for the results of all requests; `None` stands for a task that panicked.
    pub async fn finish(self) -> Vec<Option<CallResult>> {
        let mut results = Vec::new();
        for task in self.tasks {
            results.push(task.await.ok());
        }
        results
    }
}

struct LoadRequest {
    index: usize,
    start_delay: time::Duration,
    is_plain: bool,
    idempotent: bool,
    body: String,
    organisation: String,
}

impl LoadRequest {
    async fn run(
        self,
        caller: caller::Caller,
        first_entry: net::SocketAddr,
        is_rolling_out: sync::Arc<atomic::AtomicBool>,
    ) -> CallResult {
        tokio::time::sleep(self.start_delay).await;
        let sent_during_rollout = is_rolling_out.load(atomic::Ordering::Relaxed);
        let entries = caller.entries(first_entry).await;
        let addresses = entries.map_or_else(|| vec![first_entry], |entries| entries.addresses);
        let mut result = CallResult {
            request_ids: Vec::new(),
            idempotent: self.idempotent,
            outcome: caller::Outcome::Unknown,
            is_correct: false,
            refusal_count: 0,
            sent_during_rollout,
        };
        for attempt in 0..ATTEMPTS_MAX {
            // A request that was refused as not run is retried as a new request with a new id.
            let name = format!("demo-{}-{attempt}", self.index);
            let Ok(request_id) = name.parse::<id::RequestId>() else {
                return result;
            };
            let spec = self.spec(request_id.clone());
            let entry =
                addresses[(self.index + usize::try_from(attempt).unwrap_or(0)) % addresses.len()];
            result.request_ids.push(request_id);
            result.outcome = caller.send(entry, &addresses, &spec).await;
            match &result.outcome {
                caller::Outcome::NotRun { retry_after, .. } => {
                    result.refusal_count += 1;
                    tokio::time::sleep(*retry_after).await;
                }
                caller::Outcome::Completed { text, .. } => {
                    result.is_correct = *text == spec.expected_response(self.is_plain);
                    return result;
                }
                _ => return result,
            }
        }
        result
    }

    fn spec(&self, request_id: id::RequestId) -> caller::RequestSpec {
        let service = if self.is_plain {
            fleet::PLAIN_SERVICE
        } else {
            fleet::MODEL_SERVICE
        };
        caller::RequestSpec {
            request_id,
            attempt: 1,
            service: String::from(service),
            organisation: self.organisation.clone(),
            idempotent: self.idempotent,
            body: self.body.clone(),
            deadline: CALL_DEADLINE,
        }
    }
}
