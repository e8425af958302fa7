//! What an entry knows of one engine whose agent may not respond.
//!
//! While the agent responds, it decides. While it does not, the engine may still be sound, or the
//! whole VM may stand still. What the entry has already sent tells them apart: an engine from which
//! nothing has come for a while although requests wait there is *silent*, and gets nothing more. One
//! from which something has come since is used up to the entry's share of its slots. Where nothing
//! is known, one probing request at a time finds out.
//!
//! Other entries' findings are hints: they only defer probing requests, for a short time, and the
//! entry's own evidence goes first.
//!
//! Times are in milliseconds since the entry started. The state is readable without a lock.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

/// Requests that wait for longer than this without any sign of the engine, while its agent does not
/// respond, show that it is silent.
pub const SILENCE_MIN_MS: u64 = 150;
/// Like [`SILENCE_MIN_MS`], where the VM was seen to run and the engine may only be slow.
const SILENCE_MIN_VM_RUNNING_MS: u64 = 1_000;
/// How long a sign of the engine counts while its agent does not respond.
const SIGN_AGE_MAX_MS: u64 = 1_000;
/// How long the agent must have been unresponsive before a probing request is sent. Other entries
/// may have found out by then.
const PROBE_DELAY_MS: u64 = 250;
/// The shortest time between two probing requests.
const PROBE_INTERVAL_MS: u64 = 2_000;
/// How long a hint of another entry holds.
const HINT_AGE_MAX_MS: u64 = 1_000;

/// A time that has not come.
const NEVER: u64 = u64::MAX;

/// How a request may get to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Access {
    /// The agent decides.
    Agent,
    /// The agent does not respond, and the engine does: the entry's share of the slots is used.
    Share,
    /// It is not known whether the engine responds: one request may be sent to find out.
    Probe,
    /// Nothing is sent.
    Closed,
}

/// Why a message to an agent got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgentFailure {
    /// The connection was refused or closed, or the response is an error: the VM itself runs.
    Refused,
    /// Nothing came in time.
    Timeout,
}

/// A change of what is believed of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The engine is silent now.
    Silent,
    /// The engine was silent, for the stated time, and is not any more.
    Back {
        /// For how long it was silent, in milliseconds.
        silent_ms: u64,
    },
}

/// What an entry knows of one engine.
#[derive(Debug)]
pub struct EngineContact {
    agent_silent_since_ms: AtomicU64,
    /// Whether the VM was seen to run since then.
    is_vm_running: AtomicBool,
    /// Whether a message of this entry waits at the agent, which answers it once its VM goes on.
    is_agent_asked: AtomicBool,
    /// When something last came from the engine.
    sign_at_ms: AtomicU64,
    in_flight_count: AtomicU32,
    /// Since when the requests in flight have waited for a sign.
    waiting_since_ms: AtomicU64,
    silent_since_ms: AtomicU64,
    hinted_until_ms: AtomicU64,
    is_probing: AtomicBool,
    next_probe_at_ms: AtomicU64,
}

impl Default for EngineContact {
    fn default() -> Self {
        Self {
            agent_silent_since_ms: AtomicU64::new(NEVER),
            is_vm_running: AtomicBool::new(false),
            is_agent_asked: AtomicBool::new(false),
            sign_at_ms: AtomicU64::new(NEVER),
            in_flight_count: AtomicU32::new(0),
            waiting_since_ms: AtomicU64::new(NEVER),
            silent_since_ms: AtomicU64::new(NEVER),
            hinted_until_ms: AtomicU64::new(0),
            is_probing: AtomicBool::new(false),
            next_probe_at_ms: AtomicU64::new(0),
        }
    }
}

impl EngineContact {
    /// Records that the agent has responded.
    pub fn record_agent_reply(&self, now_ms: u64) -> Option<Change> {
        self.agent_silent_since_ms.store(NEVER, Ordering::Relaxed);
        self.end_silence(now_ms)
    }

    /// Records that a message sent to the agent at `sent_at_ms` got no response in time.
    pub fn record_agent_failure(&self, sent_at_ms: u64, failure: AgentFailure) {
        let is_vm_running = failure == AgentFailure::Refused;
        self.is_vm_running.store(is_vm_running, Ordering::Relaxed);
        let since = &self.agent_silent_since_ms;
        // An earlier failure remains the beginning of the silence.
        let _ = since.compare_exchange(NEVER, sent_at_ms, Ordering::Relaxed, Ordering::Relaxed);
    }

    /// Records that a request was sent to the engine.
    pub fn record_send(&self, now_ms: u64) {
        if self.in_flight_count.fetch_add(1, Ordering::Relaxed) == 0 {
            self.waiting_since_ms.store(now_ms, Ordering::Relaxed);
        }
    }

    /// Records that a request is no longer in flight, whether it was answered or given up.
    pub fn record_end(&self) {
        if self.in_flight_count.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.waiting_since_ms.store(NEVER, Ordering::Relaxed);
        }
    }

    /// Records that something has come from the engine.
    pub fn record_sign(&self, now_ms: u64) -> Option<Change> {
        self.sign_at_ms.store(now_ms, Ordering::Relaxed);
        self.waiting_since_ms.store(now_ms, Ordering::Relaxed);
        self.end_silence(now_ms)
    }

    fn end_silence(&self, now_ms: u64) -> Option<Change> {
        self.next_probe_at_ms.store(0, Ordering::Relaxed);
        self.hinted_until_ms.store(0, Ordering::Relaxed);
        if self.silent_since_ms.load(Ordering::Relaxed) == NEVER {
            return None;
        }
        let since_ms = self.silent_since_ms.swap(NEVER, Ordering::Relaxed);
        (since_ms != NEVER).then(|| Change::Back {
            silent_ms: now_ms.saturating_sub(since_ms),
        })
    }

    /// Records that another entry has found the engine silent; returns whether no other hint holds.
    pub fn record_hint(&self, now_ms: u64) -> bool {
        let until_ms = now_ms + HINT_AGE_MAX_MS;
        self.hinted_until_ms.swap(until_ms, Ordering::Relaxed) <= now_ms
    }

    /// Finds out whether the engine has become silent.
    pub fn update(&self, now_ms: u64) -> Option<Change> {
        if self.responds() || !self.is_waiting(now_ms) {
            return None;
        }
        let since = &self.silent_since_ms;
        let first = since.compare_exchange(NEVER, now_ms, Ordering::Relaxed, Ordering::Relaxed);
        first.is_ok().then_some(Change::Silent)
    }

    /// Begins a probing request; returns false if another one is in flight.
    pub fn try_begin_probe(&self, now_ms: u64) -> bool {
        if self.is_probing.swap(true, Ordering::Relaxed) {
            return false;
        }
        self.next_probe_at_ms
            .store(now_ms + PROBE_INTERVAL_MS, Ordering::Relaxed);
        true
    }

    /// Ends the probing request.
    pub fn end_probe(&self) {
        self.is_probing.store(false, Ordering::Relaxed);
    }

    /// Begins to ask the agent; returns false if that is under way.
    pub fn try_begin_asking(&self) -> bool {
        !self.is_agent_asked.swap(true, Ordering::Relaxed)
    }

    /// Ends asking the agent.
    pub fn end_asking(&self) {
        self.is_agent_asked.store(false, Ordering::Relaxed);
    }

    /// Returns whether the agent responds, as far as is known.
    #[must_use]
    pub fn responds(&self) -> bool {
        self.agent_silent_since_ms.load(Ordering::Relaxed) == NEVER
    }

    /// Returns whether the VM may stand still: its agent does not respond, and does not refuse to.
    #[must_use]
    pub fn may_stand_still(&self) -> bool {
        !self.responds() && !self.is_vm_running.load(Ordering::Relaxed)
    }

    /// Returns whether requests have waited there for long without a sign of the engine.
    #[must_use]
    pub fn is_waiting(&self, now_ms: u64) -> bool {
        let since_ms = self.waiting_since_ms.load(Ordering::Relaxed);
        self.in_flight_count.load(Ordering::Relaxed) > 0
            && now_ms >= since_ms.saturating_add(self.silence_min_ms())
    }

    fn silence_min_ms(&self) -> u64 {
        if !self.responds() && self.is_vm_running.load(Ordering::Relaxed) {
            SILENCE_MIN_VM_RUNNING_MS
        } else {
            SILENCE_MIN_MS
        }
    }

    /// Returns since when the entry has found the engine silent; `None` if it has not.
    #[must_use]
    pub fn silent_since_ms(&self) -> Option<u64> {
        Some(self.silent_since_ms.load(Ordering::Relaxed)).filter(|since_ms| *since_ms != NEVER)
    }

    /// Returns how a request may get to the engine.
    ///
    /// `may_probe` says whether it may be sent elsewhere too if the engine does not respond. Any
    /// request may probe if the VM was seen to run.
    #[must_use]
    pub fn access(&self, now_ms: u64, may_probe: bool) -> Access {
        let agent_silent_since_ms = self.agent_silent_since_ms.load(Ordering::Relaxed);
        if agent_silent_since_ms == NEVER {
            return Access::Agent;
        }
        let is_silent = self.silent_since_ms().is_some() || self.is_waiting(now_ms);
        let sign_at_ms = self.sign_at_ms.load(Ordering::Relaxed);
        let has_sign = sign_at_ms != NEVER
            && sign_at_ms > agent_silent_since_ms
            && now_ms < sign_at_ms + SIGN_AGE_MAX_MS;
        if has_sign && !is_silent {
            return Access::Share;
        }
        let may_probe = may_probe || self.is_vm_running.load(Ordering::Relaxed);
        if may_probe && self.is_probe_due(now_ms, agent_silent_since_ms, is_silent) {
            return Access::Probe;
        }
        Access::Closed
    }

    fn probe_delay_ms(&self) -> u64 {
        if self.is_vm_running.load(Ordering::Relaxed) {
            0
        } else {
            PROBE_DELAY_MS
        }
    }

    fn is_probe_due(&self, now_ms: u64, agent_silent_since_ms: u64, is_silent: bool) -> bool {
        // What is in flight already shows the same as a probing request would.
        let is_shown = self.in_flight_count.load(Ordering::Relaxed) > 0
            || self.is_probing.load(Ordering::Relaxed);
        // A silent VM that goes on answers what waits at its agent.
        let is_awaited = is_silent && self.is_agent_asked.load(Ordering::Relaxed);
        let is_hinted =
            self.may_stand_still() && self.hinted_until_ms.load(Ordering::Relaxed) > now_ms;
        !is_shown
            && !is_awaited
            && !is_hinted
            && now_ms >= agent_silent_since_ms + self.probe_delay_ms()
            && now_ms >= self.next_probe_at_ms.load(Ordering::Relaxed)
    }
}
