//! P7 and the leases, over orders of reads, writes, lost replies and pauses.

use std::time;

use indexmap::IndexMap;
use pimentohook_core::{id, intent, lease, membership, size};
use proptest::prelude::*;

const PROCESS_COUNT: usize = 3;
const TERM: time::Duration = time::Duration::from_secs(3);
const MARGIN: time::Duration = time::Duration::from_secs(1);

fn name<T>(text: &str) -> T
where
    T: std::str::FromStr<Err = id::ParseError>,
{
    text.parse().expect("a valid name")
}

/// The platform's object: a value and a version, changed by conditional update.
struct Object<T> {
    version: u64,
    value: T,
}

impl<T> Object<T> {
    fn put(&mut self, if_version: u64, value: T) -> bool {
        if self.version != if_version {
            return false;
        }
        self.version += 1;
        self.value = value;
        true
    }
}

#[derive(Clone, Debug)]
enum LeaseOp {
    Pass {
        millis: u64,
    },
    Read {
        process: usize,
    },
    /// The due update is sent now; its reply comes, or is lost.
    Update {
        process: usize,
        reply_lost: bool,
    },
    /// The due update is computed now and sent with the next `SendHeld` of this process.
    Hold {
        process: usize,
    },
    SendHeld {
        process: usize,
    },
    Release {
        process: usize,
    },
}

fn lease_op() -> impl Strategy<Value = LeaseOp> {
    let process = 0..PROCESS_COUNT;
    prop_oneof![
        4 => (1_u64..2_500).prop_map(|millis| LeaseOp::Pass { millis }),
        4 => process.clone().prop_map(|process| LeaseOp::Read { process }),
        5 => (process.clone(), prop::bool::weighted(0.2))
            .prop_map(|(process, reply_lost)| LeaseOp::Update { process, reply_lost }),
        1 => process.clone().prop_map(|process| LeaseOp::Hold { process }),
        1 => process.clone().prop_map(|process| LeaseOp::SendHeld { process }),
        1 => process.prop_map(|process| LeaseOp::Release { process }),
    ]
}

struct LeaseWorld {
    now: time::Instant,
    object: Object<lease::LeaseObject>,
    leases: Vec<lease::Lease>,
    held: Vec<Option<(u64, lease::LeaseUpdate)>>,
    fencing_acted: u64,
    fencing_owners: IndexMap<u64, usize>,
}

impl LeaseWorld {
    fn new() -> Self {
        let limits = lease::LeaseLimits {
            term: TERM,
            margin: MARGIN,
            renew_every: time::Duration::from_secs(1),
        };
        let lease = |index| lease::Lease::new(name(&format!("entry-{index}")), limits);
        Self {
            now: time::Instant::now(),
            object: Object {
                version: 0,
                value: lease::LeaseObject::default(),
            },
            leases: (0..PROCESS_COUNT).map(lease).collect(),
            held: vec![None; PROCESS_COUNT],
            fencing_acted: 0,
            fencing_owners: IndexMap::new(),
        }
    }

    fn apply(&mut self, op: &LeaseOp) {
        match *op {
            LeaseOp::Pass { millis } => self.now += time::Duration::from_millis(millis),
            LeaseOp::Read { process } => {
                let object = self.object.value.clone();
                self.leases[process].record_read(self.now, object);
            }
            LeaseOp::Update {
                process,
                reply_lost,
            } => {
                if let Some(update) = self.leases[process].due_update(self.now) {
                    let if_version = update.object.renewal - 1;
                    self.send(process, if_version, &update, reply_lost);
                }
            }
            LeaseOp::Hold { process } => {
                let update = self.leases[process].due_update(self.now);
                self.held[process] = update.map(|update| (update.object.renewal - 1, update));
            }
            LeaseOp::SendHeld { process } => {
                if let Some((if_version, update)) = self.held[process].take() {
                    self.send(process, if_version, &update, false);
                }
            }
            LeaseOp::Release { process } => {
                if let Some(update) = self.leases[process].release(self.now) {
                    let if_version = update.object.renewal - 1;
                    self.send(process, if_version, &update, false);
                }
            }
        }
    }

    fn send(&mut self, process: usize, if_version: u64, update: &lease::LeaseUpdate, lost: bool) {
        let took_effect = self.object.put(if_version, update.object.clone());
        if took_effect && !lost {
            self.leases[process].record_updated(self.now, update);
        }
    }

    fn check(&mut self) -> Result<(), TestCaseError> {
        let leases = self.leases.iter().enumerate();
        let holders: Vec<_> = leases
            .filter_map(|(process, lease)| Some((process, lease.fencing(self.now)?)))
            .collect();
        prop_assert!(
            holders.len() <= 1,
            "two processes hold the lease: {holders:?}"
        );
        for (process, fencing) in holders {
            let number = fencing.get();
            prop_assert!(number >= self.fencing_acted, "a fencing number went back");
            self.fencing_acted = number;
            let owner = *self.fencing_owners.entry(number).or_insert(process);
            prop_assert_eq!(
                owner,
                process,
                "two processes acted under one fencing number"
            );
        }
        Ok(())
    }
}

const OPERATORS: [&str; 2] = ["anna", "bo"];

#[derive(Clone, Debug)]
enum ConfigOp {
    Plan {
        operator: usize,
        vm: usize,
    },
    Confirm {
        operator: usize,
        reply_lost: bool,
    },
    /// An entry takes in what the platform has now, or a copy kept since earlier.
    Take {
        entry: usize,
        old: bool,
    },
    Gossip {
        from: usize,
        to: usize,
    },
    /// An entry restarts and knows nothing.
    Restart {
        entry: usize,
    },
}

fn config_op() -> impl Strategy<Value = ConfigOp> {
    let (operator, entry) = (0..OPERATORS.len(), 0..PROCESS_COUNT);
    prop_oneof![
        3 => (operator.clone(), 0_usize..4).prop_map(|(operator, vm)| ConfigOp::Plan { operator, vm }),
        4 => (operator, any::<bool>())
            .prop_map(|(operator, reply_lost)| ConfigOp::Confirm { operator, reply_lost }),
        3 => (entry.clone(), any::<bool>()).prop_map(|(entry, old)| ConfigOp::Take { entry, old }),
        2 => (entry.clone(), entry.clone()).prop_map(|(from, to)| ConfigOp::Gossip { from, to }),
        1 => entry.prop_map(|entry| ConfigOp::Restart { entry }),
    ]
}

struct ConfigWorld {
    object: Object<intent::Config>,
    history: Vec<intent::Config>,
    plans: Vec<Option<intent::Plan>>,
    told_confirmed: Vec<id::PlanId>,
    entries: Vec<intent::Config>,
    plan_count: u64,
}

fn view() -> membership::View {
    let second = time::Duration::from_secs(1);
    membership::View::new(membership::ViewLimits {
        silence_max: second,
        window: second,
        join_age: second,
    })
}

fn costs() -> intent::queries::Costs {
    intent::queries::Costs {
        link_rate: size::ByteRate::new(1 << 20),
        activation: time::Duration::from_secs(1),
    }
}

impl ConfigWorld {
    fn new() -> Self {
        let config = intent::Config::default();
        Self {
            object: Object {
                version: 1,
                value: config.clone(),
            },
            history: vec![config.clone()],
            plans: vec![None; OPERATORS.len()],
            told_confirmed: Vec::new(),
            entries: vec![config; PROCESS_COUNT],
            plan_count: 0,
        }
    }

    fn apply(&mut self, op: &ConfigOp) -> Result<(), TestCaseError> {
        match *op {
            ConfigOp::Plan { operator, vm } => self.plan(operator, vm),
            ConfigOp::Confirm {
                operator,
                reply_lost,
            } => self.confirm(operator, reply_lost)?,
            ConfigOp::Take { entry, old } => {
                let offered = if old {
                    &self.history[self.history.len() / 2]
                } else {
                    &self.object.value
                };
                let offered = offered.clone();
                self.offer(entry, &offered)?;
            }
            ConfigOp::Gossip { from, to } => {
                let offered = self.entries[from].clone();
                self.offer(to, &offered)?;
            }
            ConfigOp::Restart { entry } => self.entries[entry] = intent::Config::default(),
        }
        Ok(())
    }

    fn plan(&mut self, operator: usize, vm: usize) {
        let vm: id::VmId = name(&format!("vm-{vm}"));
        let config = &self.object.value;
        // Restoring needs no view, and whoever is not drained is drained by hand here.
        let intent = if config.draining.contains(&vm) {
            intent::Intent::Restore { vm }
        } else {
            intent::Intent::Drain { vm }
        };
        self.plan_count += 1;
        let plan = intent::Plan {
            id: name(&format!("plan-{}", self.plan_count)),
            intent,
            base: config.version,
            steps: Vec::new(),
            origin_bytes: size::ByteCount::default(),
            estimated_ms: 0,
            serving_floor: 0,
        };
        self.plans[operator] = Some(plan);
    }

    /// What an entry does with a confirmation: read, apply, write if unchanged, read back.
    fn confirm(&mut self, operator: usize, reply_lost: bool) -> Result<(), TestCaseError> {
        let Some(plan) = self.plans[operator].clone() else {
            return Ok(());
        };
        let read_version = self.object.version;
        let mut config = self.object.value.clone();
        let operator: id::OperatorName = name(OPERATORS[operator]);
        if config.confirm(&plan, &operator, None).is_err() {
            return Ok(());
        }
        if config.version > self.object.value.version {
            prop_assert!(self.object.put(read_version, config.clone()));
            self.history.push(config);
        }
        if reply_lost {
            // The operator's phone sends the same plan again later.
            return Ok(());
        }
        self.told_confirmed.push(plan.id);
        Ok(())
    }

    fn offer(&mut self, entry: usize, offered: &intent::Config) -> Result<(), TestCaseError> {
        let before = self.entries[entry].version;
        intent::commands::accept(&mut self.entries[entry], offered);
        prop_assert!(
            self.entries[entry].version >= before,
            "a configuration went back"
        );
        Ok(())
    }

    fn check(&self) -> Result<(), TestCaseError> {
        for plan in &self.told_confirmed {
            let in_force = self.object.value.is_confirmed(plan);
            prop_assert!(in_force, "{plan} was told confirmed and is not in force");
        }
        let confirmations = &self.object.value.confirmations;
        for (index, one) in confirmations.iter().enumerate() {
            let again = confirmations[index + 1..]
                .iter()
                .any(|other| other.plan == one.plan);
            prop_assert!(!again, "{} was applied twice", one.plan);
        }
        for pair in self.history.windows(2) {
            prop_assert_eq!(pair[0].version.next(), pair[1].version);
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(3_000))]

    #[test]
    fn one_process_at_a_time_acts_under_a_lease_and_fencing_numbers_grow(
        ops in prop::collection::vec(lease_op(), 1..80),
    ) {
        let mut world = LeaseWorld::new();
        for op in &ops {
            world.apply(op);
            world.check()?;
        }
    }

    #[test]
    fn a_confirmed_configuration_stays_and_is_applied_once(
        ops in prop::collection::vec(config_op(), 1..80),
    ) {
        let mut world = ConfigWorld::new();
        for op in &ops {
            world.apply(op)?;
            world.check()?;
        }
    }
}

#[test]
fn of_two_operators_one_wins_and_the_other_is_told() {
    let mut config = intent::Config::default();
    let mut world = ConfigWorld::new();
    world.plan(0, 0);
    world.plan(1, 1);
    let plans: Vec<_> = world.plans.iter().flatten().cloned().collect();
    let (anna, bo) = (name("anna"), name("bo"));
    assert_eq!(config.confirm(&plans[0], &anna, None), Ok(()));
    let second = config.confirm(&plans[1], &bo, None);
    assert!(matches!(
        second,
        Err(intent::IntentError::Superseded { .. })
    ));
    // The winner's second tap changes nothing and is told the same.
    let version = config.version;
    assert_eq!(config.confirm(&plans[0], &anna, None), Ok(()));
    assert_eq!(config.version, version);
}

#[test]
fn a_plan_for_an_unknown_vm_says_what_to_do() {
    let config = intent::Config::default();
    let drain = intent::Intent::Drain { vm: name("vm-9") };
    let refused = config.plan(name("plan-1"), &drain, None, &view(), &costs());
    insta::assert_snapshot!(
        refused.expect_err("the VM is not known").to_string(),
        @"VM vm-9 is not known; check its name with `pimentohook status`"
    );
}

#[test]
fn a_lease_is_taken_over_after_its_holder_falls_silent_and_not_before() {
    let mut world = LeaseWorld::new();
    world.apply(&LeaseOp::Read { process: 0 });
    world.apply(&LeaseOp::Update {
        process: 0,
        reply_lost: false,
    });
    assert!(world.leases[0].fencing(world.now).is_some());
    world.apply(&LeaseOp::Read { process: 1 });
    world.apply(&LeaseOp::Pass { millis: 3_900 });
    assert_eq!(world.leases[1].due_update(world.now), None);
    assert_eq!(world.leases[0].fencing(world.now), None);
    world.apply(&LeaseOp::Pass { millis: 200 });
    world.apply(&LeaseOp::Update {
        process: 1,
        reply_lost: false,
    });
    assert!(world.leases[1].fencing(world.now).is_some());
}
