//! Reads of the configuration, and plans.

use std::time;

use snafu::{OptionExt, ensure};

use super::{
    Config, Intent, IntentError, NoServiceSnafu, NothingToDoSnafu, PlainServiceSnafu, Plan,
    PlanStep, ServiceConfig, UnknownServiceSnafu, UnknownVmSnafu, WeightsRef,
};
use crate::{id, membership, size};

/// What the estimate of a rollout rests on.
#[derive(Clone, Copy, Debug)]
pub struct Costs {
    /// What a machine's link carries for weights.
    pub link_rate: size::ByteRate,
    /// How long an engine takes to drain, load and be read back.
    pub activation: time::Duration,
}

const HUNDRED: u64 = 100;

impl Config {
    /// Returns whether a plan is in force.
    #[must_use]
    pub fn is_confirmed(&self, plan: &id::PlanId) -> bool {
        self.confirmations.iter().any(|one| one.plan == *plan)
    }

    /// Returns the service that a VM is to serve.
    #[must_use]
    pub fn service_of<'a>(
        &'a self,
        vm: &id::VmId,
        by_settings: &'a id::ServiceName,
    ) -> &'a id::ServiceName {
        self.moves.get(vm).unwrap_or(by_settings)
    }

    /// Returns the weights that answers of a service may come from.
    #[must_use]
    pub fn allowed_weights(&self, service: &id::ServiceName) -> Vec<&WeightsRef> {
        let Some(config) = self.services.get(service) else {
            return Vec::new();
        };
        config.weights.iter().chain(&config.previous).collect()
    }

    /// Computes the plan for an intent.
    ///
    /// `weights` describes the version that a rollout names.
    ///
    /// # Errors
    ///
    /// [`IntentError`] says what can't be done and what to do instead.
    pub fn plan(
        &self,
        plan_id: id::PlanId,
        intent: &Intent,
        weights: Option<&WeightsRef>,
        view: &membership::View,
        costs: &Costs,
    ) -> Result<Plan, IntentError> {
        check(self, intent, weights)?;
        let known = |vm: &id::VmId| view.member(vm).is_some();
        let mut plan = Plan {
            id: plan_id,
            intent: intent.clone(),
            base: self.version,
            steps: Vec::new(),
            origin_bytes: size::ByteCount::default(),
            estimated_ms: 0,
            serving_floor: 0,
        };
        match intent {
            Intent::RollOut { services, version } => {
                for service in services {
                    self.plan_rollout(&mut plan, service, version, weights, view, costs);
                }
            }
            Intent::Drain { vm } => {
                ensure!(known(vm), UnknownVmSnafu { vm: vm.clone() });
                plan.push(format!("stop new work at {vm} and let it finish"), 1);
            }
            Intent::Restore { vm } => plan.push(format!("let {vm} take new work again"), 1),
            Intent::Move { vm, service } => {
                ensure!(known(vm), UnknownVmSnafu { vm: vm.clone() });
                plan.push(format!("drain {vm}, then let it serve {service}"), 1);
            }
        }
        Ok(plan)
    }

    fn plan_rollout(
        &self,
        plan: &mut Plan,
        service: &id::ServiceName,
        version: &id::WeightsVersion,
        weights: Option<&WeightsRef>,
        view: &membership::View,
        costs: &Costs,
    ) {
        let (Some(config), Some(weights)) = (self.services.get(service), weights) else {
            return;
        };
        let serving = |member: &&std::sync::Arc<membership::Member>| member.departed_at.is_none();
        let replicas = view.members_of(service).filter(serving).count();
        let replica_count = u32::try_from(replicas).unwrap_or(u32::MAX);
        let floor = super::rollout::min_serving_count(config, replica_count);
        let waves = u64::from(replica_count.div_ceil((replica_count - floor).max(1)));
        let copies_percent = u64::from(config.policy.origin_percent());
        let origin_bytes = weights.total_bytes.get() * copies_percent / HUNDRED;
        let transfer = costs.link_rate.duration_of(weights.total_bytes);
        let activation_ms = waves * u64::try_from(costs.activation.as_millis()).unwrap_or(0);
        let total_ms = u64::try_from(transfer.as_millis()).unwrap_or(0) + activation_ms;
        plan.push(format!("send {version} to {service}"), replica_count);
        plan.push(
            format!("activate {version} at {service} in {waves} waves"),
            replica_count,
        );
        plan.origin_bytes = size::ByteCount::new(plan.origin_bytes.get().max(origin_bytes));
        plan.estimated_ms = plan.estimated_ms.max(total_ms);
        plan.serving_floor += floor;
    }
}

impl Plan {
    fn push(&mut self, action: String, replica_count: u32) {
        self.steps.push(PlanStep {
            action,
            replica_count,
        });
    }
}

/// Checks that an intent makes sense for a configuration.
pub(super) fn check(
    config: &Config,
    intent: &Intent,
    weights: Option<&WeightsRef>,
) -> Result<(), IntentError> {
    match intent {
        Intent::RollOut { services, .. } => {
            ensure!(!services.is_empty(), NoServiceSnafu);
            let mut changes = false;
            for service in services {
                let found = find(config, service)?;
                let plain = found.weights.is_none();
                let service = service.clone();
                ensure!(!plain, PlainServiceSnafu { service });
                changes |= found.weights.as_ref() != weights;
            }
            ensure!(changes, NothingToDoSnafu);
        }
        Intent::Drain { vm } => ensure!(!config.draining.contains(vm), NothingToDoSnafu),
        Intent::Restore { vm } => ensure!(config.draining.contains(vm), NothingToDoSnafu),
        Intent::Move { vm, service } => {
            find(config, service)?;
            ensure!(config.moves.get(vm) != Some(service), NothingToDoSnafu);
        }
    }
    Ok(())
}

fn find<'a>(
    config: &'a Config,
    service: &id::ServiceName,
) -> Result<&'a ServiceConfig, IntentError> {
    let names: Vec<&str> = config
        .services
        .keys()
        .map(id::ServiceName::as_str)
        .collect();
    config.services.get(service).context(UnknownServiceSnafu {
        service: service.clone(),
        known: names.join(", "),
    })
}
