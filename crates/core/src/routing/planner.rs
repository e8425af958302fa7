//! Plans which agents a request may be sent to, and in what order.
//!
//! Idempotent requests go to the best agents of a sample. Non-idempotent requests follow the
//! rendezvous chain of their id, so that all entries agree on where an earlier attempt may have
//! run.

use std::{sync, time};

use indexmap::IndexSet;
use rand::Rng;

use super::{choice, failover, score};
use crate::{id, intent, membership};

/// Maximum number of agents that an idempotent request is sent to.
pub const CANDIDATES_MAX: usize = 3;

const SAMPLE_MAX: usize = 16;

/// The request that a route is planned for.
#[derive(Clone, Debug)]
pub struct RouteQuery {
    /// The request.
    pub request_id: id::RequestId,
    /// How many times the caller has sent the request, including this attempt.
    pub attempt: id::AttemptNumber,
    /// Whether it is certain that no entry has received the request before.
    pub is_new: bool,
    /// The service.
    pub service: id::ServiceName,
    /// Whether the request may run more than once.
    pub idempotent: bool,
}

/// The agents for a request, and the failover among them by position.
#[derive(Clone, Debug)]
pub struct RoutePlan {
    /// The agents.
    pub members: Vec<sync::Arc<membership::Member>>,
    /// The failover; its positions are indexes into `members`.
    pub failover: failover::Failover,
}

/// The state of an entry that plans are based on.
#[derive(Clone, Copy, Debug)]
pub struct Planner<'a> {
    /// The agents known to the entry.
    pub view: &'a membership::View,
    /// The configuration in force.
    pub config: &'a intent::Config,
    /// The current instant.
    pub now: time::Instant,
    /// How long the entry has been running.
    pub uptime: time::Duration,
    /// Maximum number of agents that a non-idempotent request is sent to.
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
            let candidates = self.candidates(&chain, |member| self.is_usable(query, member));
            let failover = failover::Failover::new(candidates, query.attempt, false);
            return RoutePlan {
                members: chain,
                failover,
            };
        }
        let members = self
            .view
            .earlier_attempt_chain(self.now, service, request_id, length);
        let is_usable_in_chain = |member: &membership::Member| {
            let is_same =
                |other: &sync::Arc<membership::Member>| other.report.vm == member.report.vm;
            self.is_usable(query, member) && chain.iter().any(is_same)
        };
        let candidates = self.candidates(&members, is_usable_in_chain);
        // The view lacks agents that departed before this entry started; one of them may have run
        // an earlier attempt.
        let may_have_run = self.uptime < self.view.limits().window;
        let failover =
            failover::Failover::after_earlier_attempts(candidates, query.attempt, may_have_run);
        RoutePlan { members, failover }
    }

    /// Plans an idempotent request: each candidate is the best of those not chosen yet.
    pub fn plan_idempotent<F, R>(
        &self,
        query: &RouteQuery,
        stats_of: F,
        now_ms: u64,
        rng: &mut R,
    ) -> RoutePlan
    where
        F: Fn(&id::VmId) -> Option<sync::Arc<score::UpstreamStats>>,
        R: Rng,
    {
        let mut eligible: Vec<_> = self
            .sample(query, rng)
            .into_iter()
            .filter_map(|member| Some((member.clone(), stats_of(&member.report.vm)?)))
            .collect();
        let mut members = Vec::new();
        while members.len() < CANDIDATES_MAX {
            let stats: Vec<_> = eligible.iter().map(|(_, stats)| &**stats).collect();
            let policy = choice::Policy::LeastScore;
            let Some(chosen) = choice::choose(policy, &stats, now_ms, 0, rng) else {
                break;
            };
            members.push(eligible.swap_remove(chosen).0);
        }
        let candidates = self.candidates(&members, |member| self.is_usable(query, member));
        let failover = failover::Failover::new(candidates, query.attempt, true);
        RoutePlan { members, failover }
    }

    /// Returns usable agents: all of a small service, a sample of a large one.
    ///
    /// The sample keeps the cost of a plan independent of the size of the service. If the sample
    /// contains no usable agent, which is rare, all agents are considered.
    fn sample<R>(&self, query: &RouteQuery, rng: &mut R) -> Vec<&sync::Arc<membership::Member>>
    where
        R: Rng,
    {
        let is_usable = |member: &&sync::Arc<membership::Member>| self.is_usable(query, member);
        if self.view.count_of(&query.service) > SAMPLE_MAX {
            let drawn = (0..SAMPLE_MAX).filter_map(|_| self.view.sample(&query.service, rng));
            let vms: IndexSet<&id::VmId> = drawn.map(|member| &member.report.vm).collect();
            let members = vms.into_iter().filter_map(|vm| self.view.member(vm));
            let usable: Vec<_> = members.filter(is_usable).collect();
            if !usable.is_empty() {
                return usable;
            }
        }
        let members = self.view.members_of(&query.service);
        members.filter(is_usable).collect()
    }

    /// Returns whether an agent may receive the request.
    #[must_use]
    pub fn is_usable(&self, query: &RouteQuery, member: &membership::Member) -> bool {
        let allowed = self.config.allowed_weights(&query.service);
        let served = member.report.weights;
        let weights_match = if allowed.is_empty() {
            served.is_none()
        } else {
            allowed
                .iter()
                .any(|weights| Some(weights.content) == served)
        };
        member.is_open() && weights_match && !self.config.draining.contains(&member.report.vm)
    }

    fn candidates<F>(
        &self,
        members: &[sync::Arc<membership::Member>],
        is_usable: F,
    ) -> Vec<failover::Candidate>
    where
        F: Fn(&membership::Member) -> bool,
    {
        let candidate = |member: &sync::Arc<membership::Member>| failover::Candidate {
            vm: member.report.vm.clone(),
            usable: is_usable(member),
            complete_history: self.view.has_complete_history(self.now, member),
        };
        members.iter().map(candidate).collect()
    }
}
