//! Changes to a view.

use std::{sync, time};

use super::{AgentReport, Member, View};
use crate::{admission, id};

impl View {
    /// Takes a heartbeat in; false where it is older than what is known.
    pub fn record(&mut self, now: time::Instant, report: AgentReport) -> bool {
        if let Some(known) = self.members.get(&report.vm) {
            let known = &known.report;
            let older_life = report.incarnation < known.incarnation;
            let same_life = report.incarnation == known.incarnation;
            if older_life || (same_life && report.view_stamp < known.view_stamp) {
                return false;
            }
            if known.service != report.service
                && let Some(vms) = self.services.get_mut(&known.service)
            {
                vms.swap_remove(&report.vm);
            }
        }
        let vms = self.services.entry(report.service.clone()).or_default();
        vms.insert(report.vm.clone());
        let member = Member {
            last_seen_at: now,
            departed_at: None,
            report,
        };
        self.members
            .insert(member.report.vm.clone(), sync::Arc::new(member));
        true
    }

    /// Marks silent agents as departed and forgets those whose window has passed.
    pub fn expire(&mut self, now: time::Instant) {
        let limits = self.limits;
        for member in self.members.values_mut() {
            let silent = now.duration_since(member.last_seen_at) > limits.silence_max;
            if silent && member.departed_at.is_none() {
                sync::Arc::make_mut(member).departed_at = Some(now);
            }
        }
        self.members.retain(|_, member| {
            member
                .departed_at
                .is_none_or(|at| now.duration_since(at) <= limits.window)
        });
        let members = &self.members;
        for vms in self.services.values_mut() {
            vms.retain(|vm| members.contains_key(vm));
        }
    }

    /// Records that an agent said it leaves, before its next heartbeat says so.
    pub fn mark_leaving(&mut self, vm: &id::VmId, incarnation: id::Incarnation) {
        let Some(member) = self.members.get_mut(vm) else {
            return;
        };
        if member.report.incarnation == incarnation {
            sync::Arc::make_mut(member).report.openness = admission::AdmissionState::Leaving;
        }
    }
}
