//! The upstreams that may be selected.

use std::{sync, sync::atomic};

use arc_swap::ArcSwapOption;
use indexmap::IndexMap;
use pimentohook_core::{ask_order, engine_contact, id, routing::score, upstreams};
use pimentohook_wire::direct;

/// State of an upstream that the entry tracks itself, in addition to the listed data.
#[derive(Debug, Default)]
pub struct UpstreamState {
    /// Latencies, failures and ejection.
    pub stats: score::UpstreamStats,
    /// Requests of this entry in flight at the upstream.
    pub in_flight: atomic::AtomicU32,
    /// Whether a response showed that another instance now has the address.
    pub is_replaced: atomic::AtomicBool,
    /// Whether its agent and it itself respond.
    pub contact: engine_contact::EngineContact,
    /// Until when its agent is assumed to refuse requests, in milliseconds since the entry started.
    pub refusing: ask_order::Refusing,
    /// The engine state last reported by its agent; newer than the listed data.
    pub engine_state: ArcSwapOption<direct::EngineState>,
}

/// An upstream that may be selected.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The upstream as listed by the store.
    pub upstream: upstreams::Upstream,
    /// The state that the entry tracks itself.
    pub state: sync::Arc<UpstreamState>,
    /// The state of the instance that started at its address after it, if one is listed.
    pub successor: Option<sync::Arc<UpstreamState>>,
}

impl Candidate {
    /// Returns whether another instance has the upstream's address.
    ///
    /// A successor that another instance has replaced in turn proves nothing: the dates of their
    /// starts may be wrong.
    #[must_use]
    pub fn is_replaced(&self) -> bool {
        let is_replaced = |state: &UpstreamState| state.is_replaced.load(atomic::Ordering::Relaxed);
        let has_successor = self
            .successor
            .as_deref()
            .is_some_and(|successor| !is_replaced(successor));
        has_successor || is_replaced(&self.state)
    }

    /// Returns the version of a model that the upstream serves.
    #[must_use]
    pub fn served_version(&self, model: &str) -> Option<u64> {
        match self.state.engine_state.load().as_deref() {
            Some(engine_state) => engine_state.weights.get(model).copied(),
            None => self.upstream.weights.get(model).copied(),
        }
    }
}

/// The upstreams, by service.
pub type Candidates = IndexMap<id::ServiceName, Vec<Candidate>>;

/// Returns the candidates of a list, with the state that `state_of` returns for each.
pub fn candidates<S>(listed: Vec<upstreams::Upstream>, state_of: S) -> Candidates
where
    S: Fn(&upstreams::Upstream) -> sync::Arc<UpstreamState>,
{
    let successors = upstreams::successors(&listed);
    let states: IndexMap<String, sync::Arc<UpstreamState>> = listed
        .iter()
        .map(|upstream| (upstream.instance.clone(), state_of(upstream)))
        .collect();
    let mut candidates = Candidates::new();
    for upstream in listed {
        let state = states[&upstream.instance].clone();
        state.stats.record_slot_count(upstream.slot_count);
        let successor = successors.get(&upstream.instance);
        let service = upstream.service.clone();
        let candidate = Candidate {
            upstream,
            state,
            successor: successor.map(|successor| states[successor].clone()),
        };
        candidates.entry(service).or_default().push(candidate);
    }
    candidates
}
