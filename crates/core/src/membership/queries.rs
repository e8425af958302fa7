//! Reads of a view.

use std::{sync, time};

use indexmap::IndexSet;
use rand::{Rng, RngExt as _};

use super::{Member, View, ViewLimits};
use crate::{admission, id};

impl Member {
    /// Returns how long the agent has lived at least.
    #[must_use]
    pub fn uptime(&self, now: time::Instant) -> time::Duration {
        self.report.view_stamp.since_start() + now.duration_since(self.last_seen_at)
    }

    /// Returns whether the agent may be sent new work.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.departed_at.is_none() && self.report.openness == admission::AdmissionState::Open
    }
}

impl View {
    /// Returns the limits that the view was created with.
    #[must_use]
    pub const fn limits(&self) -> ViewLimits {
        self.limits
    }

    /// Returns one agent.
    #[must_use]
    pub fn member(&self, vm: &id::VmId) -> Option<&sync::Arc<Member>> {
        self.members.get(vm)
    }

    /// Returns every agent of a service, departed ones included.
    pub fn members_of<'a>(
        &'a self,
        service: &id::ServiceName,
    ) -> impl Iterator<Item = &'a sync::Arc<Member>> + use<'a> {
        let vms = self.services.get(service).into_iter().flatten();
        vms.filter_map(|vm| self.members.get(vm))
    }

    /// Draws an agent of a service, departed ones included.
    pub fn sample<R>(&self, service: &id::ServiceName, rng: &mut R) -> Option<&sync::Arc<Member>>
    where
        R: Rng,
    {
        let vms = self.services.get(service)?;
        let index = rng.random_range(0..vms.len().max(1));
        self.members.get(vms.get_index(index)?)
    }

    /// Returns how many agents a service has, departed ones included.
    #[must_use]
    pub fn count_of(&self, service: &id::ServiceName) -> usize {
        self.services.get(service).map_or(0, IndexSet::len)
    }

    /// Returns every agent, departed ones included.
    pub fn members(&self) -> impl Iterator<Item = &sync::Arc<Member>> {
        self.members.values()
    }

    /// Returns how many agents are known.
    #[must_use]
    pub fn member_count(&self) -> usize {
        self.members.len()
    }

    /// Returns the agents of a service in the rendezvous order of a request id.
    #[must_use]
    pub fn chain(
        &self,
        service: &id::ServiceName,
        request_id: &id::RequestId,
    ) -> Vec<sync::Arc<Member>> {
        let score = |member: &sync::Arc<Member>| {
            id::rendezvous_score(request_id.as_str(), member.report.vm.as_str())
        };
        let mut scored: Vec<_> = self
            .members_of(service)
            .map(|member| (score(member), member.clone()))
            .collect();
        scored.sort_by_key(|(score, _)| std::cmp::Reverse(*score));
        scored.into_iter().map(|(_, member)| member).collect()
    }

    /// Returns the agents that a first attempt at a non-idempotent request may run at, in order.
    ///
    /// Departed agents take up a place without being usable, so that entries that disagree on who
    /// has departed still stay within the same prefix of the chain.
    #[must_use]
    pub fn first_attempt_chain(
        &self,
        now: time::Instant,
        service: &id::ServiceName,
        request_id: &id::RequestId,
        length: usize,
    ) -> Vec<sync::Arc<Member>> {
        self.chain(service, request_id)
            .into_iter()
            .filter(|member| {
                member.departed_at.is_some() || member.uptime(now) >= self.limits.join_age
            })
            .take(length)
            .filter(|member| member.departed_at.is_none())
            .collect()
    }

    /// Returns every agent at which an earlier attempt may have run within the window.
    ///
    /// The prefix is long enough to hold `length` agents that were eligible throughout the
    /// window; whoever joined, restarted or departed meanwhile comes in addition.
    #[must_use]
    pub fn earlier_attempt_chain(
        &self,
        now: time::Instant,
        service: &id::ServiceName,
        request_id: &id::RequestId,
        length: usize,
    ) -> Vec<sync::Arc<Member>> {
        let mut remaining = length;
        let mut chain = Vec::new();
        for member in self.chain(service, request_id) {
            if remaining == 0 {
                break;
            }
            if self.has_complete_history(now, &member) {
                remaining -= 1;
            }
            chain.push(member);
        }
        chain
    }

    /// Returns whether the agent remembers everything that ran at its VM within the window.
    #[must_use]
    pub fn has_complete_history(&self, now: time::Instant, member: &Member) -> bool {
        let needed = self.limits.window + self.limits.join_age;
        member.departed_at.is_none() && member.uptime(now) >= needed
    }
}
