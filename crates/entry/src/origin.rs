//! Origin grants, recorded at the platform before any agent hears of them.

use std::sync;

use indexmap::IndexMap;
use pimentohook_core::{burst::ledger, clock::Clock as _, id, intent, membership};
use pimentohook_platform::objects;

use crate::app;

const NAME_DIGITS: usize = 32;

/// Makes grants while this entry holds the lease.
#[derive(Debug, Default)]
pub struct Grantor {
    clocks: IndexMap<id::Digest, ledger::GrantTimes>,
    versions: IndexMap<id::Digest, u64>,
}

impl Grantor {
    /// Adds the grants that each rollout under way calls for.
    pub async fn extend(&mut self, app: &sync::Arc<app::App>) {
        let config = app.config.load_full();
        let view = app.view.load_full();
        for (service, service_config) in &config.services {
            let Some(weights) = &service_config.weights else {
                continue;
            };
            let supply = supply(&view, service, weights.manifest);
            let Some(chunk_count) = supply.1 else {
                continue;
            };
            let extended = self
                .extend_one(app, service_config, weights, &supply.0, chunk_count)
                .await;
            if let Err(error) = extended {
                log::debug!("origin: {error}.");
                // What is recorded is read again before the next grant.
                self.versions.shift_remove(&weights.manifest);
            }
        }
    }

    async fn extend_one(
        &mut self,
        app: &app::App,
        service_config: &intent::ServiceConfig,
        weights: &intent::WeightsRef,
        supply: &ledger::ChunkAvailability,
        chunk_count: u32,
    ) -> Result<(), objects::ObjectError> {
        let name = object_name(weights.manifest);
        if !self.versions.contains_key(&weights.manifest) {
            self.read(app, &name, weights.manifest).await?;
        }
        let recorded = app.ledgers.load().get(&weights.manifest).cloned();
        let policy = service_config.policy;
        let mut ledger = recorded.unwrap_or_else(|| ledger::Ledger::new(chunk_count, policy));
        let clock = self.clocks.entry(weights.manifest).or_default();
        let pace = ledger::GrantLimits::new(policy, app.settings.grant_patience);
        let now = app.clock.now();
        if ledger.extend(now, supply, clock, pace) == 0 {
            return Ok(());
        }
        let if_version = self.versions.get(&weights.manifest).copied().unwrap_or(0);
        let version = app.objects.put(&name, if_version, &ledger).await?;
        self.versions.insert(weights.manifest, version);
        publish(app, weights.manifest, &ledger);
        Ok(())
    }

    async fn read(
        &mut self,
        app: &app::App,
        name: &str,
        manifest: id::Digest,
    ) -> Result<(), objects::ObjectError> {
        let version = match app.objects.get::<ledger::Ledger>(name).await? {
            Some(object) => {
                publish(app, manifest, &object.value);
                object.version
            }
            None => 0,
        };
        self.versions.insert(manifest, version);
        Ok(())
    }
}

fn object_name(manifest: id::Digest) -> String {
    let digits: String = manifest.to_string().chars().take(NAME_DIGITS).collect();
    format!("origin.{digits}")
}

fn publish(app: &app::App, manifest: id::Digest, ledger: &ledger::Ledger) {
    app.ledgers.rcu(|ledgers| {
        let mut ledgers = IndexMap::clone(ledgers);
        ledgers.insert(manifest, ledger.clone());
        ledgers
    });
}

/// Returns what the fleet holds of a manifest, and its number of chunks where anybody knows it.
fn supply(
    view: &membership::View,
    service: &id::ServiceName,
    manifest: id::Digest,
) -> (ledger::ChunkAvailability, Option<u32>) {
    let mut supply = ledger::ChunkAvailability::default();
    let mut count = None;
    for member in view.members_of(service) {
        let progress = member.report.burst.as_ref();
        let Some(progress) = progress.filter(|one| one.manifest == manifest) else {
            continue;
        };
        if member.departed_at.is_some() {
            continue;
        }
        count = Some(progress.held.range());
        supply.add(ledger::Participant {
            vm: member.report.vm.clone(),
            incarnation: member.report.incarnation,
            starved: progress.starved,
            failed_grants: progress.failed_grants.clone(),
            leaving: false,
            held: progress.held.clone(),
        });
    }
    (supply, count)
}
