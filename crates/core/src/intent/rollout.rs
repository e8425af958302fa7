//! The orders of a rollout, derived from the configuration and what agents report.

use std::sync;

use super::{Config, ServiceConfig};
use crate::{admission, burst::activation, id, membership};

const HUNDRED: u32 = 100;

/// An order to an agent to bring weights into service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActivateOrder {
    /// The VM.
    pub vm: id::VmId,
    /// The weights.
    pub weights: activation::WeightsId,
}

/// How far a rollout has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RolloutStatus {
    /// Replicas that are not departed.
    pub replica_count: u32,
    /// Replicas that serve the configured weights.
    pub live_count: u32,
    /// Replicas that hold the configured weights whole, served or not.
    pub holding_count: u32,
    /// Replicas that take new work.
    pub open_count: u32,
}

/// Returns how many replicas keep serving while others change their weights.
///
/// At least one replica may always change, since otherwise no rollout would ever end.
#[must_use]
pub fn min_serving_count(config: &ServiceConfig, replica_count: u32) -> u32 {
    let percent = u32::from(config.floor_percent).min(HUNDRED);
    let floor = (replica_count * percent).div_ceil(HUNDRED);
    floor.min(replica_count.saturating_sub(1))
}

/// Returns how far the rollout of a service has come.
#[must_use]
pub fn rollout_status(
    config: &Config,
    service: &id::ServiceName,
    view: &membership::View,
) -> RolloutStatus {
    let target = target(config, service);
    let mut standing = RolloutStatus::default();
    for member in view.members_of(service) {
        if member.departed_at.is_some() {
            continue;
        }
        standing.replica_count += 1;
        standing.open_count += u32::from(member.is_open());
        let Some(target) = target else { continue };
        let live = member.is_open() && member.report.weights == Some(target.content);
        standing.live_count += u32::from(live);
        standing.holding_count += u32::from(live || holds(member, target));
    }
    standing
}

/// Returns the orders that may be given now.
///
/// Orders go to replicas that hold the weights whole and serve others. Replicas that are not
/// serving go first: ordering them takes nothing from the floor.
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
    let standing = rollout_status(config, service, view);
    let floor = min_serving_count(service_config, standing.replica_count);
    let mut spare = standing.open_count.saturating_sub(floor);
    let mut orders = Vec::new();
    for member in view.members_of(service) {
        let leaving = member.report.openness == admission::AdmissionState::Leaving;
        let live = member.report.weights == Some(target.content);
        let draining = config.draining.contains(&member.report.vm);
        if member.departed_at.is_some() || leaving || live || draining || !holds(member, target) {
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

fn holds(member: &sync::Arc<membership::Member>, target: activation::WeightsId) -> bool {
    let progress = member.report.burst.as_ref();
    progress.is_some_and(|one| one.manifest == target.manifest && one.held.is_full())
}
