//! Where the time of a rollout goes: when each replica reaches each stage.

use std::time;

use indexmap::IndexMap;
use pimentohook_core::{admission, burst, id};
use pimentohook_standin::fleet;
use serde::Serialize;
use strum::IntoEnumIterator as _;

use crate::summary::millis;

/// A stage that a replica reaches during a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The configuration that names the version is in force at the agent.
    Named,
    /// The agent has a first chunk.
    FirstChunk,
    /// Every chunk has left the origin: each is held by a replica, the same time for all of them.
    LastChunk,
    /// The agent has verified every chunk.
    Verified,
    /// The agent was ordered to activate the version.
    Ordered,
    /// The engine serves the version.
    Serving,
}

/// When the first and the last replica reached a stage, since the confirmation of the rollout.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct StageTimes {
    /// The time of the first replica.
    pub first_ms: u64,
    /// The time of the last replica that reached the stage.
    pub last_ms: u64,
    /// The number of replicas that reached it.
    pub replicas: usize,
}

/// The stages that replicas have reached; observed from outside, at the interval of the calls.
#[derive(Debug)]
pub struct Timeline {
    confirmed_at: time::Instant,
    version_before: id::ConfigVersion,
    reached: IndexMap<(usize, Stage), time::Duration>,
}

impl Timeline {
    /// Starts a timeline at the confirmation of a rollout; `version_before` is the configuration
    /// that was in force.
    pub fn new(confirmed_at: time::Instant, version_before: id::ConfigVersion) -> Self {
        Self {
            confirmed_at,
            version_before,
            reached: IndexMap::new(),
        }
    }

    /// Records the stages that the replicas of a fleet have reached by now.
    pub fn observe(&mut self, fleet: &fleet::Fleet) {
        let elapsed = self.confirmed_at.elapsed();
        let mut held_by_any: Option<burst::chunks::ChunkSet> = None;
        for (index, vm) in fleet.engine_vms.iter().enumerate() {
            let Some(agent) = &vm.agent else { continue };
            let report = agent.report();
            let is_named = report.config_version > self.version_before;
            let target = |burst: &burst::Progress| burst.manifest == fleet.v2_manifest;
            let held = report.burst.filter(target).map(|burst| burst.held);
            let is_serving = vm.engine.weights() == Some(fleet.v2_content);
            let is_activating = report.openness == admission::AdmissionState::Activating;
            let has_any = held.as_ref().is_some_and(|held| !held.is_empty());
            let has_all = held.as_ref().is_some_and(burst::chunks::ChunkSet::is_full);
            let reached = [
                (Stage::Named, is_named),
                (Stage::FirstChunk, has_any),
                (Stage::Verified, has_all),
                (Stage::Ordered, is_named && (is_activating || is_serving)),
                (Stage::Serving, is_serving),
            ];
            for (stage, _) in reached.into_iter().filter(|(_, is_reached)| *is_reached) {
                self.reached.entry((index, stage)).or_insert(elapsed);
            }
            if let Some(held) = held {
                let union = held_by_any.get_or_insert_with(|| held.clone());
                held.iter().for_each(|chunk| union.insert(chunk));
            }
        }
        if held_by_any.is_some_and(|held| held.is_full()) {
            for index in 0..fleet.engine_vms.len() {
                let key = (index, Stage::LastChunk);
                self.reached.entry(key).or_insert(elapsed);
            }
        }
    }

    /// Returns the times of each stage that a replica has reached.
    pub fn stages(&self) -> IndexMap<Stage, StageTimes> {
        let stages = Stage::iter().filter_map(|stage| {
            let reached = self.reached.iter();
            let times = reached.filter(|((_, of), _)| *of == stage);
            let times_ms: Vec<u64> = times.map(|(_, elapsed)| millis(*elapsed)).collect();
            let stage_times = StageTimes {
                first_ms: *times_ms.iter().min()?,
                last_ms: *times_ms.iter().max()?,
                replicas: times_ms.len(),
            };
            Some((stage, stage_times))
        });
        stages.collect()
    }
}
