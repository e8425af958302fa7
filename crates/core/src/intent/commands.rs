//! Changes to the configuration.

use snafu::ensure;

use super::{
    Config, Confirmation, Intent, IntentError, Plan, SupersededSnafu, WeightsRef, queries,
};
use crate::id;

/// How many earlier versions may still be in service, for rollouts that replace one another.
pub const PREVIOUS_MAX: usize = 4;

/// How many confirmations are kept; with the longest names they stay far below a megabyte.
pub const CONFIRMATIONS_MAX: usize = 500;

impl Config {
    /// Applies a confirmed plan.
    ///
    /// Applying a plan that was applied before changes nothing and succeeds. `weights` describes
    /// the version that a rollout names.
    ///
    /// # Errors
    ///
    /// [`IntentError::Superseded`] where the configuration has changed since, and whatever else
    /// keeps the intent from being planned now.
    pub fn confirm(
        &mut self,
        plan: &Plan,
        operator: &id::OperatorName,
        weights: Option<&WeightsRef>,
    ) -> Result<(), IntentError> {
        if self.is_confirmed(&plan.id) {
            return Ok(());
        }
        let (base, present) = (plan.base, self.version);
        ensure!(base == present, SupersededSnafu { base, present });
        queries::check(self, &plan.intent, weights)?;
        self.apply(&plan.intent, weights);
        self.version = self.version.next();
        self.confirmations.push(Confirmation {
            plan: plan.id.clone(),
            operator: operator.clone(),
            intent: plan.intent.clone(),
            config_version: self.version,
        });
        let excess = self.confirmations.len().saturating_sub(CONFIRMATIONS_MAX);
        self.confirmations.drain(..excess);
        Ok(())
    }

    fn apply(&mut self, intent: &Intent, weights: Option<&WeightsRef>) {
        match intent {
            Intent::RollOut { services, .. } => {
                for service in services {
                    if let Some(config) = self.services.get_mut(service)
                        && config.weights.as_ref() != weights
                    {
                        let replaced = config.weights.take();
                        config.previous.retain(|one| Some(one) != weights);
                        config.previous.splice(0..0, replaced);
                        config.previous.truncate(PREVIOUS_MAX);
                        config.weights = weights.cloned();
                    }
                }
            }
            Intent::Drain { vm } => self.draining.push(vm.clone()),
            Intent::Restore { vm } => self.draining.retain(|one| one != vm),
            Intent::Move { vm, service } => {
                self.moves.insert(vm.clone(), service.clone());
            }
        }
    }
}

/// Replaces the configuration in force by a newer one; an older one never takes its place.
///
/// Returns whether it was replaced.
pub fn accept(present: &mut Config, offered: &Config) -> bool {
    if offered.version <= present.version {
        return false;
    }
    present.clone_from(offered);
    true
}
