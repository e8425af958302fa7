//! The round-based driver of the burst's own receivers, givers and ledger.

use std::{collections::VecDeque, net, time};

use indexmap::IndexMap;

use pimentohook_core::{
    burst::{Policy, chunks, downloader, ledger, uploader},
    id,
};
use rand::{RngExt as _, SeedableRng as _, seq::SliceRandom as _};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

pub const CHUNK_COUNT: u32 = 128;

const ROUND: time::Duration = time::Duration::from_secs(1);
const TRIES_PER_ROUND: usize = 32;
const PEER_SAMPLE: usize = 24;
const NEWS_EVERY: u32 = 2;
const STALL_ROUNDS: u32 = 3;
const ROUNDS_MAX: u32 = 600;
const DOMAIN_COUNT: usize = 3;
const DOMAIN_LOST_AT: u32 = 40;
const PATIENCE: time::Duration = time::Duration::from_secs(24);
const REFILL: uploader::CreditRefill = uploader::CreditRefill {
    delay: time::Duration::from_mins(2),
    per_copy: time::Duration::from_mins(10),
};
const LINK_PERCENT: u32 = 200;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    None,
    /// 5% of the machines die at random times.
    Deaths,
    /// 1% of the chunks arrive corrupt.
    Corrupt,
    /// 2% of the machines never complete an upload.
    Stalled,
    /// One of three failure domains is lost.
    DomainLost,
}

/// One line of the result.
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

struct Machine {
    vm: id::VmId,
    domain: usize,
    receiver: downloader::Downloader,
    giver: uploader::Uploader,
    dies_at: Option<u32>,
    dead: bool,
    stalls: bool,
    news: News,
}

/// What others are told of a machine, late.
#[derive(Clone)]
struct News {
    held: chunks::ChunkSet,
    uploaded_count: u32,
    starved: bool,
}

struct Transfer {
    receiver: usize,
    giver: Option<usize>,
    fetch: downloader::Fetch,
    ends_at: u32,
    failure: Option<downloader::FetchFailure>,
}

pub struct Run {
    policy: Policy,
    fault: Fault,
    rng: ChaCha8Rng,
    machines: Vec<Machine>,
    transfers: Vec<Transfer>,
    ledger: ledger::Ledger,
    clock: ledger::GrantTimes,
    zero: time::Instant,
    round: u32,
    origin_sent: u32,
    origin_queue: VecDeque<(usize, downloader::Fetch)>,
    index_of: IndexMap<id::VmId, usize>,
    cross_count: u32,
}

impl Run {
    pub fn new(replicas: usize, policy: Policy, fault: Fault, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let machines = (0..replicas)
            .map(|index| Machine::new(index, fault, &mut rng))
            .collect::<Vec<Machine>>();
        let names = machines.iter().map(|machine| machine.vm.clone());
        let index_of = names.zip(0..).collect();
        Self {
            policy,
            fault,
            rng,
            machines,
            transfers: Vec::new(),
            ledger: ledger::Ledger::new(CHUNK_COUNT, policy),
            clock: ledger::GrantTimes::default(),
            zero: time::Instant::now(),
            round: 0,
            origin_sent: 0,
            origin_queue: VecDeque::new(),
            index_of,
            cross_count: 0,
        }
    }

    pub fn run(mut self) -> Outcome {
        while !self.is_complete() && self.round < ROUNDS_MAX {
            self.begin_round();
            let taken_in = self.send_from_origin();
            self.pull(&taken_in);
            self.round += 1;
            self.end_round();
        }
        self.outcome()
    }

    fn now(&self) -> time::Instant {
        self.zero + ROUND * self.round
    }

    fn is_complete(&self) -> bool {
        let mut alive = self.machines.iter().filter(|machine| !machine.dead);
        alive.all(|machine| machine.receiver.is_complete())
    }

    fn begin_round(&mut self) {
        for machine in &mut self.machines {
            machine.dead |= machine.dies_at == Some(self.round);
        }
        if self.round.is_multiple_of(NEWS_EVERY) {
            self.spread_news();
        }
        self.grant();
    }

    /// Each machine hears how a sample of others stood two rounds ago.
    fn spread_news(&mut self) {
        let news: Vec<_> = self
            .machines
            .iter()
            .map(|machine| machine.news.clone())
            .collect();
        let alive: Vec<usize> = self.alive().collect();
        for index in alive.clone() {
            if self.machines[index].receiver.is_complete() {
                continue;
            }
            for _ in 0..PEER_SAMPLE {
                let peer = alive[self.rng.random_range(0..alive.len())];
                if peer == index
                    || !news[peer]
                        .held
                        .exceeds(self.machines[index].receiver.held())
                {
                    continue;
                }
                let info = downloader::PeerInfo {
                    address: net::SocketAddr::from(([127, 0, 0, 1], 1)),
                    failure_domain: domain_name(self.machines[peer].domain),
                    held: news[peer].held.clone(),
                    uploaded_count: news[peer].uploaded_count,
                };
                let vm = self.machines[peer].vm.clone();
                self.machines[index].receiver.record_peer(vm, info);
            }
        }
        for machine in &mut self.machines {
            machine.news = News {
                held: machine.receiver.held().clone(),
                uploaded_count: machine.giver.uploaded_count(),
                starved: machine.receiver.is_starved(),
            };
        }
    }

    fn alive(&self) -> impl Iterator<Item = usize> {
        let machines = self.machines.iter().enumerate();
        machines.filter_map(|(index, machine)| (!machine.dead).then_some(index))
    }

    fn grant(&mut self) {
        let mut supply = ledger::ChunkAvailability::default();
        for machine in self.machines.iter().filter(|machine| !machine.dead) {
            supply.add(ledger::Participant {
                vm: machine.vm.clone(),
                incarnation: id::Incarnation::new(1),
                starved: machine.news.starved,
                failed_grants: Vec::new(),
                leaving: false,
                held: machine.news.held.clone(),
            });
        }
        let now = self.now();
        let before = self.ledger.grants().len();
        let pace = ledger::GrantLimits::new(self.policy, PATIENCE);
        self.ledger.extend(now, &supply, &mut self.clock, pace);
        for grant in &self.ledger.grants()[before..] {
            let machine = self.machines.iter_mut().find(|one| one.vm == grant.vm);
            if let Some(machine) = machine {
                machine
                    .receiver
                    .record_grant(now, grant.chunk, grant.serial);
            }
        }
    }

    /// The origin sends so many chunks a round; returns who takes one in.
    fn send_from_origin(&mut self) -> Vec<usize> {
        let mut taken_in = Vec::new();
        for _ in 0..self.policy.grants_per_chunk() {
            let Some((index, fetch)) = self.origin_queue.pop_front() else {
                break;
            };
            self.origin_sent += 1;
            taken_in.push(index);
            let failure = self.chance_of_corruption();
            self.transfers.push(Transfer {
                receiver: index,
                giver: None,
                fetch,
                ends_at: self.round + 1,
                failure,
            });
        }
        taken_in
    }

    /// Whoever takes a chunk in from the origin takes in none from a peer in the same round.
    fn pull(&mut self, taken_in: &[usize]) {
        let mut order: Vec<usize> = self.alive().collect();
        order.shuffle(&mut self.rng);
        for index in order.into_iter().filter(|index| !taken_in.contains(index)) {
            for _ in 0..TRIES_PER_ROUND {
                let now = self.now();
                let receiver = &mut self.machines[index].receiver;
                let Some(fetch) = receiver.start_next(now, &mut self.rng) else {
                    break;
                };
                if self.begin_transfer(index, fetch) {
                    break;
                }
            }
        }
    }

    /// Begins a transfer; false where the source refused and another may be tried.
    fn begin_transfer(&mut self, index: usize, fetch: downloader::Fetch) -> bool {
        let downloader::Source::Peer(vm) = &fetch.source else {
            self.origin_queue.push_back((index, fetch));
            return false;
        };
        let peer = self.index_of[vm];
        let now = self.now();
        let giver = &mut self.machines[peer];
        let held = giver.receiver.held().clone();
        let started = if giver.dead {
            None
        } else {
            Some(
                giver
                    .giver
                    .try_start(now, &held, fetch.chunk, fetch.overdraft),
            )
        };
        let (uploaded_count, stalls) = (giver.giver.uploaded_count(), giver.stalls || giver.dead);
        if let Some(denied) = started {
            let receiver = &mut self.machines[index].receiver;
            receiver.record_progress(vm, &held, uploaded_count);
            if let Err(denial) = denied {
                let failure = downloader::FetchFailure::Denied(denial);
                receiver.record_failure(now, &fetch, failure);
                return false;
            }
        }
        let cross = self.machines[peer].domain != self.machines[index].domain;
        self.cross_count += u32::from(cross);
        let (rounds, failure) = if stalls {
            (STALL_ROUNDS, Some(downloader::FetchFailure::Stalled))
        } else {
            (1, self.chance_of_corruption())
        };
        self.transfers.push(Transfer {
            receiver: index,
            giver: started.map(|_| peer),
            fetch,
            ends_at: self.round + rounds,
            failure,
        });
        true
    }

    fn chance_of_corruption(&mut self) -> Option<downloader::FetchFailure> {
        let corrupt = self.fault == Fault::Corrupt && self.rng.random_ratio(1, 100);
        corrupt.then_some(downloader::FetchFailure::Corrupt)
    }

    fn end_round(&mut self) {
        let now = self.now();
        let round = self.round;
        let (ended, open): (Vec<_>, Vec<_>) = std::mem::take(&mut self.transfers)
            .into_iter()
            .partition(|transfer| transfer.ends_at <= round);
        self.transfers = open;
        for transfer in ended {
            if let Some(giver) = transfer.giver {
                self.machines[giver].giver.release_slot();
            }
            let machine = &mut self.machines[transfer.receiver];
            match transfer.failure {
                None => machine.receiver.record_verified(&transfer.fetch),
                Some(failure) => machine
                    .receiver
                    .record_failure(now, &transfer.fetch, failure),
            }
            if transfer.failure != Some(downloader::FetchFailure::Stalled) {
                machine.giver.record_downloaded();
            }
        }
    }

    fn outcome(&self) -> Outcome {
        let chunks = f64::from(CHUNK_COUNT);
        let alive = || self.machines.iter().filter(|machine| !machine.dead);
        let moved = self
            .machines
            .iter()
            .map(|machine| machine.giver.uploaded_count() + machine.giver.downloaded_count());
        Outcome {
            replicas: self.machines.len(),
            policy: self.policy.to_string(),
            fault: self.fault.to_string(),
            time_over_lower_bound: f64::from(self.round) / chunks,
            origin_copies: f64::from(self.origin_sent) / chunks,
            max_link_copies: f64::from(moved.max().unwrap_or(0)) / chunks,
            cross_domain_copies: f64::from(self.cross_count) / chunks,
            live: alive().filter(|one| one.receiver.is_complete()).count(),
            survivors: alive().count(),
        }
    }
}

impl Machine {
    fn new(index: usize, fault: Fault, rng: &mut ChaCha8Rng) -> Self {
        let domain = index % DOMAIN_COUNT;
        let dies_at = match fault {
            Fault::Deaths if rng.random_ratio(5, 100) => Some(rng.random_range(1..CHUNK_COUNT)),
            Fault::DomainLost if domain == 0 => Some(DOMAIN_LOST_AT),
            _ => None,
        };
        let limits = downloader::DownloaderLimits {
            busy_backoff: ROUND / 2,
            fault_backoff: ROUND * 5,
            overdraft_after: ROUND * 15,
            origin_backoff: ROUND,
            grant_lifetime: PATIENCE,
            concurrent_downloads_max: 1,
            peers_max: 32,
            prefer_same_domain: false,
        };
        let empty = chunks::ChunkSet::new(CHUNK_COUNT);
        Self {
            vm: format!("vm-{index}").parse().expect("a name"),
            domain,
            receiver: downloader::Downloader::new(limits, domain_name(domain), CHUNK_COUNT),
            giver: uploader::Uploader::new(CHUNK_COUNT, LINK_PERCENT, 1, REFILL),
            dies_at,
            dead: false,
            stalls: fault == Fault::Stalled && rng.random_ratio(2, 100),
            news: News {
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
