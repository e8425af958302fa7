//! Origin grants, recorded at the platform before they are sent to any agent.

use std::sync;

use indexmap::IndexMap;
use pimentohook_core::{burst::ledger, clock::Clock as _, id, intent, membership};
use pimentohook_platform::objects;

use crate::app;

const NAME_DIGITS: usize = 32;

/// Issues origin grants while this entry holds the lease.
#[derive(Debug, Default)]
pub struct Grantor {
    grant_times: IndexMap<id::Digest, ledger::GrantTimes>,
    ledger_versions: IndexMap<id::Digest, u64>,
}

impl Grantor {
    /// Issues the grants that the rollouts in progress require.
    pub async fn extend(&mut self, app: &sync::Arc<app::App>) {
        let config = app.config.load_full();
        let view = app.view.load_full();
        for (service, service_config) in &config.services {
            let Some(weights) = &service_config.weights else {
                continue;
            };
            let Some(burst) = Burst::of(&view, service, weights.manifest) else {
                continue;
            };
            let result = self
                .extend_ledger(app, service_config, weights, &burst)
                .await;
            if let Err(error) = result {
                log::debug!("origin: extending a ledger failed: {error}.");
                // Forces the ledger to be read again before the next grant.
                self.ledger_versions.shift_remove(&weights.manifest);
            }
        }
    }

    async fn extend_ledger(
        &mut self,
        app: &app::App,
        service_config: &intent::ServiceConfig,
        weights: &intent::WeightsRef,
        burst: &Burst,
    ) -> Result<(), objects::ObjectError> {
        let name = object_name(weights.manifest);
        if !self.ledger_versions.contains_key(&weights.manifest) {
            self.read(app, &name, weights.manifest).await?;
        }
        let published = app.ledgers.load().get(&weights.manifest).cloned();
        let policy = service_config.policy;
        let mut ledger =
            published.unwrap_or_else(|| ledger::Ledger::new(burst.chunk_count, policy));
        let times = self.grant_times.entry(weights.manifest).or_default();
        let limits = ledger::GrantLimits::new(policy, app.settings.grant_timeout)
            .shared_by(burst.replica_count);
        let now = app.clock.now();
        if ledger.extend(now, &burst.availability, times, limits) == 0 {
            return Ok(());
        }
        let if_version = self
            .ledger_versions
            .get(&weights.manifest)
            .copied()
            .unwrap_or(0);
        let version = app.objects.put(&name, if_version, &ledger).await?;
        self.ledger_versions.insert(weights.manifest, version);
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
        self.ledger_versions.insert(manifest, version);
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

/// What an entry knows of the burst of one manifest.
struct Burst {
    availability: ledger::ChunkAvailability,
    chunk_count: u32,
    /// The number of agents of the service, also of those that don't take part yet.
    replica_count: u32,
}

impl Burst {
    /// Returns what the agents of a service report; `None` if none of them knows the manifest.
    fn of(
        view: &membership::View,
        service: &id::ServiceName,
        manifest: id::Digest,
    ) -> Option<Self> {
        let mut availability = ledger::ChunkAvailability::default();
        let mut chunk_count = None;
        let mut replica_count = 0;
        for member in view.members_of(service) {
            if member.departed_at.is_some() {
                continue;
            }
            replica_count += 1;
            let progress = member.report.burst.as_ref();
            let Some(progress) = progress.filter(|progress| progress.manifest == manifest) else {
                continue;
            };
            chunk_count = Some(progress.held.range());
            availability.add(ledger::Participant {
                vm: member.report.vm.clone(),
                incarnation: member.report.incarnation,
                starved: progress.starved,
                failed_grants: progress.failed_grants.clone(),
                leaving: false,
                held: progress.held.clone(),
            });
        }
        Some(Self {
            availability,
            chunk_count: chunk_count?,
            replica_count,
        })
    }
}
