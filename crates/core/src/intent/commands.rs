//! Updates of the configuration.

use snafu::ensure;

use super::{
    Config, Confirmation, Intent, IntentError, Plan, SupersededSnafu, WeightsRef, queries,
};
use crate::id;

/// The number of previous versions that may still be served, for rollouts that supersede each
/// other.
pub const PREVIOUS_MAX: usize = 4;

/// The number of recorded confirmations. With names of maximum length they stay far below a
/// megabyte.
pub const CONFIRMATIONS_MAX: usize = 500;

impl Config {
    /// Applies a confirmed plan.
    ///
    /// Idempotent: a plan that was applied before succeeds and changes nothing. `weights` is the
    /// version of a rollout.
    ///
    /// # Errors
    ///
    /// Returns [`IntentError::Superseded`] if the configuration has changed since the plan was
    /// computed, and any other [`IntentError`] if the intent can't be planned now.
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
                        config.previous.retain(|previous| Some(previous) != weights);
                        config.previous.splice(0..0, replaced);
                        config.previous.truncate(PREVIOUS_MAX);
                        config.weights = weights.cloned();
                    }
                }
            }
            Intent::Drain { vm } => self.draining.push(vm.clone()),
            Intent::Restore { vm } => self.draining.retain(|draining| draining != vm),
            Intent::Move { vm, service } => {
                self.moves.insert(vm.clone(), service.clone());
            }
        }
    }
}

/// Replaces the current configuration if the offered one is newer; returns whether it was replaced.
pub fn accept(current: &mut Config, offered: &Config) -> bool {
    if offered.version <= current.version {
        return false;
    }
    current.clone_from(offered);
    true
}
