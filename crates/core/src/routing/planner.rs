//! Which agents a request may go to, and in what order.
//!
//! Idempotent requests go to the best of a sample. Non-idempotent ones go along the
//! rendezvous chain of their id, so that entries agree where an earlier attempt can have run.

use std::{sync, time};

use indexmap::IndexSet;
use rand::Rng;

use super::{choice, failover, score};
use crate::{id, intent, membership};

/// How many agents an idempotent request may be offered to.
pub const CANDIDATES_MAX: usize = 3;

const SAMPLE_MAX: usize = 16;

/// What a path is made for.
#[derive(Clone, Debug)]
pub struct RouteQuery {
    /// The request.
    pub request_id: id::RequestId,
    /// How many times its caller has sent it.
    pub attempt: id::AttemptNumber,
    /// Whether no entry can have seen it before.
    pub is_new: bool,
    /// The service.
    pub service: id::ServiceName,
    /// Whether it may run more than once.
    pub idempotent: bool,
}

/// A path: the agents, and the walk over them by position.
#[derive(Clone, Debug)]
pub struct RoutePlan {
    /// The agents.
    pub members: Vec<sync::Arc<membership::Member>>,
    /// The walk.
    pub failover: failover::Failover,
}

/// What an entry plans with.
#[derive(Clone, Copy, Debug)]
pub struct Planner<'a> {
    /// The agents that it knows.
    pub view: &'a membership::View,
    /// The configuration in force.
    pub config: &'a intent::Config,
    /// The present instant.
    pub now: time::Instant,
    /// How long the entry has lived.
    pub uptime: time::Duration,
    /// How many agents a non-idempotent request may be offered to.
    pub chain_length: usize,
}

impl Planner<'_> {
    /// Plans a non-idempotent request.
    #[must_use]
    pub fn plan_non_idempotent(&self, query: &RouteQuery) -> RoutePlan {
        let (service, request_id) = (&query.service, &query.request_id);
        let length = self.chain_length;
        let chain = self
            .view
            .first_attempt_chain(self.now, service, request_id, length);
        if query.is_new {
            let stops = self.stops(&chain, |member| self.is_usable(query, member));
            let failover = failover::Failover::new(stops, query.attempt, false);
            return RoutePlan {
                members: chain,
                failover,
            };
        }
        let members = self
            .view
            .earlier_attempt_chain(self.now, service, request_id, length);
        let in_chain = |member: &membership::Member| {
            let same = |one: &sync::Arc<membership::Member>| one.report.vm == member.report.vm;
            self.is_usable(query, member) && chain.iter().any(same)
        };
        let stops = self.stops(&members, in_chain);
        // This entry has not heard of agents that departed before it started.
        let doubtful = self.uptime < self.view.limits().window;
        let failover = failover::Failover::after_earlier_attempts(stops, query.attempt, doubtful);
        RoutePlan { members, failover }
    }

    /// Plans an idempotent request: each stop is the choice among those not chosen yet.
    pub fn plan_idempotent<F, R>(
        &self,
        query: &RouteQuery,
        record_of: F,
        now_ms: u64,
        rng: &mut R,
    ) -> RoutePlan
    where
        F: Fn(&id::VmId) -> Option<sync::Arc<score::UpstreamStats>>,
        R: Rng,
    {
        let mut candidates: Vec<_> = self
            .pool(query, rng)
            .into_iter()
            .filter_map(|member| Some((member.clone(), record_of(&member.report.vm)?)))
            .collect();
        let mut members = Vec::new();
        while members.len() < CANDIDATES_MAX {
            let records: Vec<_> = candidates.iter().map(|(_, record)| &**record).collect();
            let policy = choice::Policy::LeastScore;
            let Some(chosen) = choice::choose(policy, &records, now_ms, 0, rng) else {
                break;
            };
            members.push(candidates.swap_remove(chosen).0);
        }
        let stops = self.stops(&members, |member| self.is_usable(query, member));
        let failover = failover::Failover::new(stops, query.attempt, true);
        RoutePlan { members, failover }
    }

    /// Returns usable agents: all of a small service, a sample of a large one.
    ///
    /// The sample keeps the cost of a decision flat in the size of the service. Where a sample
    /// has nobody usable, which is rare, all are looked at.
    fn pool<R>(&self, query: &RouteQuery, rng: &mut R) -> Vec<&sync::Arc<membership::Member>>
    where
        R: Rng,
    {
        let usable = |member: &&sync::Arc<membership::Member>| self.is_usable(query, member);
        if self.view.count_of(&query.service) > SAMPLE_MAX {
            let drawn = (0..SAMPLE_MAX).filter_map(|_| self.view.sample(&query.service, rng));
            let sample: IndexSet<&id::VmId> = drawn.map(|member| &member.report.vm).collect();
            let members = sample.into_iter().filter_map(|vm| self.view.member(vm));
            let pool: Vec<_> = members.filter(usable).collect();
            if !pool.is_empty() {
                return pool;
            }
        }
        let members = self.view.members_of(&query.service);
        members.filter(usable).collect()
    }

    /// Returns whether an agent may be sent a request.
    #[must_use]
    pub fn is_usable(&self, query: &RouteQuery, member: &membership::Member) -> bool {
        let allowed = self.config.allowed_weights(&query.service);
        let served = member.report.weights;
        let weights_fit = if allowed.is_empty() {
            served.is_none()
        } else {
            allowed
                .iter()
                .any(|weights| Some(weights.content) == served)
        };
        member.is_open() && weights_fit && !self.config.draining.contains(&member.report.vm)
    }

    fn stops<F>(
        &self,
        members: &[sync::Arc<membership::Member>],
        usable: F,
    ) -> Vec<failover::Candidate>
    where
        F: Fn(&membership::Member) -> bool,
    {
        let stop = |member: &sync::Arc<membership::Member>| failover::Candidate {
            vm: member.report.vm.clone(),
            usable: usable(member),
            complete_history: self.view.has_complete_history(self.now, member),
        };
        members.iter().map(stop).collect()
    }
}
