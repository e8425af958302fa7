//! A round-based simulation that drives the downloaders, uploaders and ledger of the burst.

mod transfers;

use std::{collections::VecDeque, net, time};

use indexmap::IndexMap;

use pimentohook_core::{
    burst::{Policy, chunks, downloader, ledger, uploader},
    id,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

pub const CHUNK_COUNT: u32 = 128;

const ROUND: time::Duration = time::Duration::from_secs(1);
const ATTEMPTS_PER_ROUND: usize = 32;
const PEER_SAMPLE: usize = 24;
const REPORT_EVERY_ROUNDS: u32 = 2;
const STALL_ROUNDS: u32 = 3;
const ROUNDS_MAX: u32 = 600;
const DOMAIN_COUNT: usize = 3;
const DOMAIN_LOST_AT_ROUND: u32 = 40;
const GRANT_TIMEOUT: time::Duration = time::Duration::from_secs(24);
const REFILL: uploader::CreditRefill = uploader::CreditRefill {
    delay: time::Duration::from_mins(2),
    per_copy: time::Duration::from_mins(10),
};
const LINK_PERCENT: u32 = 200;

/// A fault of the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    None,
    /// 5% of the VMs die at random times.
    Deaths,
    /// 1% of the chunks arrive corrupt.
    Corrupt,
    /// 2% of the VMs never complete an upload.
    Stalled,
    /// One of three failure domains is lost.
    DomainLost,
}

/// The result of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    pub replicas: usize,
    pub policy: String,
    pub fault: String,
    pub time_over_lower_bound: f64,
    pub origin_copies: f64,
    pub max_link_copies: f64,
    pub cross_domain_copies: f64,
    pub live: usize,
    pub survivors: usize,
}

struct Replica {
    vm: id::VmId,
    domain: usize,
    downloader: downloader::Downloader,
    uploader: uploader::Uploader,
    dies_at: Option<u32>,
    dead: bool,
    stalls: bool,
    report: Report,
}

/// The state of a VM as reported to others, which they receive late.
#[derive(Clone)]
struct Report {
    held: chunks::ChunkSet,
    uploaded_count: u32,
    starved: bool,
}

struct Transfer {
    downloader: usize,
    uploader: Option<usize>,
    fetch: downloader::Fetch,
    ends_at: u32,
    failure: Option<downloader::FetchFailure>,
}

pub struct Run {
    policy: Policy,
    fault: Fault,
    rng: ChaCha8Rng,
    replicas: Vec<Replica>,
    transfers: Vec<Transfer>,
    ledger: ledger::Ledger,
    grant_times: ledger::GrantTimes,
    started_at: time::Instant,
    round: u32,
    origin_sent: u32,
    origin_queue: VecDeque<(usize, downloader::Fetch)>,
    index_of: IndexMap<id::VmId, usize>,
    cross_domain_count: u32,
}

impl Run {
    pub fn new(replica_count: usize, policy: Policy, fault: Fault, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let replicas = (0..replica_count)
            .map(|index| Replica::new(index, fault, &mut rng))
            .collect::<Vec<Replica>>();
        let names = replicas.iter().map(|replica| replica.vm.clone());
        let index_of = names.zip(0..).collect();
        Self {
            policy,
            fault,
            rng,
            replicas,
            transfers: Vec::new(),
            ledger: ledger::Ledger::new(CHUNK_COUNT, policy),
            grant_times: ledger::GrantTimes::default(),
            started_at: time::Instant::now(),
            round: 0,
            origin_sent: 0,
            origin_queue: VecDeque::new(),
            index_of,
            cross_domain_count: 0,
        }
    }

    pub fn run(mut self) -> Outcome {
        while !self.is_complete() && self.round < ROUNDS_MAX {
            self.start_round();
            let origin_downloaders = self.start_origin_downloads();
            self.start_downloads(&origin_downloaders);
            self.round += 1;
            self.end_round();
        }
        self.outcome()
    }

    fn now(&self) -> time::Instant {
        self.started_at + ROUND * self.round
    }

    fn is_complete(&self) -> bool {
        let mut alive = self.replicas.iter().filter(|replica| !replica.dead);
        alive.all(|replica| replica.downloader.is_complete())
    }

    fn start_round(&mut self) {
        for replica in &mut self.replicas {
            replica.dead |= replica.dies_at == Some(self.round);
        }
        if self.round.is_multiple_of(REPORT_EVERY_ROUNDS) {
            self.deliver_reports();
        }
        self.grant();
    }

    /// Each VM receives the reports of a sample of others, which are two rounds old.
    fn deliver_reports(&mut self) {
        let reports: Vec<_> = self
            .replicas
            .iter()
            .map(|replica| replica.report.clone())
            .collect();
        let alive: Vec<usize> = self.alive().collect();
        for index in alive.clone() {
            if self.replicas[index].downloader.is_complete() {
                continue;
            }
            for _ in 0..PEER_SAMPLE {
                let peer = alive[self.rng.random_range(0..alive.len())];
                if peer == index
                    || !reports[peer]
                        .held
                        .exceeds(self.replicas[index].downloader.held())
                {
                    continue;
                }
                let info = downloader::PeerInfo {
                    address: net::SocketAddr::from(([127, 0, 0, 1], 1)),
                    failure_domain: domain_name(self.replicas[peer].domain),
                    held: reports[peer].held.clone(),
                    uploaded_count: reports[peer].uploaded_count,
                };
                let vm = self.replicas[peer].vm.clone();
                self.replicas[index].downloader.record_peer(vm, info);
            }
        }
        for replica in &mut self.replicas {
            replica.report = Report {
                held: replica.downloader.held().clone(),
                uploaded_count: replica.uploader.uploaded_count(),
                starved: replica.downloader.is_starved(),
            };
        }
    }

    fn alive(&self) -> impl Iterator<Item = usize> {
        let replicas = self.replicas.iter().enumerate();
        replicas.filter_map(|(index, replica)| (!replica.dead).then_some(index))
    }

    fn grant(&mut self) {
        let mut availability = ledger::ChunkAvailability::default();
        for replica in self.replicas.iter().filter(|replica| !replica.dead) {
            availability.add(ledger::Participant {
                vm: replica.vm.clone(),
                incarnation: id::Incarnation::new(1),
                starved: replica.report.starved,
                failed_grants: Vec::new(),
                leaving: false,
                held: replica.report.held.clone(),
            });
        }
        let now = self.now();
        let before = self.ledger.grants().len();
        let limits = ledger::GrantLimits::new(self.policy, GRANT_TIMEOUT);
        self.ledger
            .extend(now, &availability, &mut self.grant_times, limits);
        for grant in &self.ledger.grants()[before..] {
            let replica = self
                .replicas
                .iter_mut()
                .find(|replica| replica.vm == grant.vm);
            if let Some(replica) = replica {
                replica
                    .downloader
                    .record_grant(now, grant.chunk, grant.serial);
            }
        }
    }

    fn outcome(&self) -> Outcome {
        let chunks = f64::from(CHUNK_COUNT);
        let alive = || self.replicas.iter().filter(|replica| !replica.dead);
        let transferred = self
            .replicas
            .iter()
            .map(|replica| replica.uploader.uploaded_count() + replica.uploader.downloaded_count());
        Outcome {
            replicas: self.replicas.len(),
            policy: self.policy.to_string(),
            fault: self.fault.to_string(),
            time_over_lower_bound: f64::from(self.round) / chunks,
            origin_copies: f64::from(self.origin_sent) / chunks,
            max_link_copies: f64::from(transferred.max().unwrap_or(0)) / chunks,
            cross_domain_copies: f64::from(self.cross_domain_count) / chunks,
            live: alive()
                .filter(|replica| replica.downloader.is_complete())
                .count(),
            survivors: alive().count(),
        }
    }
}

impl Replica {
    fn new(index: usize, fault: Fault, rng: &mut ChaCha8Rng) -> Self {
        let domain = index % DOMAIN_COUNT;
        let dies_at = match fault {
            Fault::Deaths if rng.random_ratio(5, 100) => Some(rng.random_range(1..CHUNK_COUNT)),
            Fault::DomainLost if domain == 0 => Some(DOMAIN_LOST_AT_ROUND),
            _ => None,
        };
        let limits = downloader::DownloaderLimits {
            busy_backoff: ROUND / 2,
            fault_backoff: ROUND * 5,
            overdraft_after: ROUND * 15,
            origin_backoff: ROUND,
            grant_lifetime: GRANT_TIMEOUT,
            concurrent_downloads_max: 1,
            peers_max: 32,
            prefer_same_domain: false,
        };
        let empty = chunks::ChunkSet::new(CHUNK_COUNT);
        Self {
            vm: format!("vm-{index}").parse().expect("a name"),
            domain,
            downloader: downloader::Downloader::new(limits, domain_name(domain), CHUNK_COUNT),
            uploader: uploader::Uploader::new(CHUNK_COUNT, LINK_PERCENT, 1, REFILL),
            dies_at,
            dead: false,
            stalls: fault == Fault::Stalled && rng.random_ratio(2, 100),
            report: Report {
                held: empty,
                uploaded_count: 0,
                starved: false,
            },
        }
    }
}

fn domain_name(index: usize) -> id::FailureDomain {
    format!("domain-{index}").parse().expect("a name")
}
