//! The orders of a rollout, derived from the configuration and the reports of agents.

use std::sync;

use super::{Config, ServiceConfig};
use crate::{admission, burst::activation, id, membership};

const PERCENT_SCALE: u32 = 100;

/// An order to an agent to activate weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActivateOrder {
    /// The VM.
    pub vm: id::VmId,
    /// The weights.
    pub weights: activation::WeightsId,
}

/// The progress of a rollout.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RolloutStatus {
    /// The number of replicas that are not departed.
    pub replica_count: u32,
    /// The number of replicas that serve the configured weights.
    pub live_count: u32,
    /// The number of replicas that serve the configured weights or have downloaded them completely.
    pub holding_count: u32,
    /// The number of replicas that admit new work.
    pub open_count: u32,
}

/// Returns the minimum number of replicas that keep serving while others change their weights.
///
/// At least one replica may always change, since otherwise a rollout could never finish.
#[must_use]
pub fn min_serving_count(config: &ServiceConfig, replica_count: u32) -> u32 {
    let percent = u32::from(config.floor_percent).min(PERCENT_SCALE);
    let floor = (replica_count * percent).div_ceil(PERCENT_SCALE);
    floor.min(replica_count.saturating_sub(1))
}

/// Returns the progress of a service's rollout.
#[must_use]
pub fn rollout_status(
    config: &Config,
    service: &id::ServiceName,
    view: &membership::View,
) -> RolloutStatus {
    let target = target(config, service);
    let mut status = RolloutStatus::default();
    for member in view.members_of(service) {
        if member.departed_at.is_some() {
            continue;
        }
        status.replica_count += 1;
        status.open_count += u32::from(member.is_open());
        let Some(target) = target else { continue };
        let is_live = member.is_open() && member.report.weights == Some(target.content);
        status.live_count += u32::from(is_live);
        status.holding_count += u32::from(is_live || has_complete(member, target));
    }
    status
}

/// Returns the orders that may be sent now.
///
/// Orders go to replicas that have downloaded the weights completely and don't serve them yet. A
/// replica that admits no new work may always be ordered, since this does not reduce the number of
/// serving replicas. Those that run the fewest requests come first, since they are drained soonest.
#[must_use]
pub fn orders(
    config: &Config,
    service: &id::ServiceName,
    view: &membership::View,
) -> Vec<ActivateOrder> {
    let (Some(service_config), Some(target)) =
        (config.services.get(service), target(config, service))
    else {
        return Vec::new();
    };
    let status = rollout_status(config, service, view);
    let serving_min = min_serving_count(service_config, status.replica_count);
    let mut spare = status.open_count.saturating_sub(serving_min);
    let mut orders = Vec::new();
    let mut members: Vec<_> = view.members_of(service).collect();
    members.sort_by_key(|member| member.report.running_count);
    for member in members {
        let is_leaving = member.report.openness == admission::AdmissionState::Leaving;
        let is_live = member.report.weights == Some(target.content);
        let is_draining = config.draining.contains(&member.report.vm);
        if member.departed_at.is_some()
            || is_leaving
            || is_live
            || is_draining
            || !has_complete(member, target)
        {
            continue;
        }
        if member.is_open() {
            if spare == 0 {
                continue;
            }
            spare -= 1;
        }
        orders.push(ActivateOrder {
            vm: member.report.vm.clone(),
            weights: target,
        });
    }
    orders
}

fn target(config: &Config, service: &id::ServiceName) -> Option<activation::WeightsId> {
    let weights = config.services.get(service)?.weights.as_ref()?;
    Some(activation::WeightsId {
        manifest: weights.manifest,
        content: weights.content,
    })
}

fn has_complete(member: &sync::Arc<membership::Member>, target: activation::WeightsId) -> bool {
    let progress = member.report.burst.as_ref();
    progress.is_some_and(|progress| progress.manifest == target.manifest && progress.held.is_full())
}
