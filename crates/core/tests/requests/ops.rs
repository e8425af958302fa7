//! Random operations on a fleet and random faults of its network.

use proptest::prelude::*;

use super::world::{AGENT_COUNT, ENTRY_COUNT, REQUEST_COUNT};

#[derive(Clone, Debug)]
pub enum Op {
    Advance {
        millis: u64,
    },
    Send {
        request: usize,
        entry: usize,
        numbered: bool,
    },
    Crash {
        agent: usize,
    },
    Restart {
        agent: usize,
    },
    Leave {
        agent: usize,
    },
    Finish {
        agent: usize,
    },
    Suspend {
        entry: usize,
        millis: u64,
    },
    Partition {
        entry: usize,
        agent: usize,
    },
    Heal,
}

/// How the network delivers one message.
#[derive(Clone, Copy, Debug)]
pub struct Delivery {
    pub delay_ms: u64,
    pub lost: bool,
    pub duplicated: bool,
}

pub fn op() -> impl Strategy<Value = Op> {
    let (agent, entry) = (0..AGENT_COUNT, 0..ENTRY_COUNT);
    prop_oneof![
        4 => (1_u64..3_000).prop_map(|millis| Op::Advance { millis }),
        5 => (0..REQUEST_COUNT, entry.clone(), any::<bool>())
            .prop_map(|(request, entry, numbered)| Op::Send { request, entry, numbered }),
        1 => agent.clone().prop_map(|agent| Op::Crash { agent }),
        1 => agent.clone().prop_map(|agent| Op::Restart { agent }),
        1 => agent.clone().prop_map(|agent| Op::Leave { agent }),
        1 => agent.clone().prop_map(|agent| Op::Finish { agent }),
        1 => (entry.clone(), 500_u64..20_000)
            .prop_map(|(entry, millis)| Op::Suspend { entry, millis }),
        1 => (entry, agent).prop_map(|(entry, agent)| Op::Partition { entry, agent }),
        1 => Just(Op::Heal),
    ]
}

pub fn delivery() -> impl Strategy<Value = Delivery> {
    let delay_ms = prop_oneof![
        6 => 1_u64..20,
        2 => 20_u64..1_500,
        1 => 1_500_u64..15_000,
    ];
    (
        delay_ms,
        prop::bool::weighted(0.1),
        prop::bool::weighted(0.1),
    )
        .prop_map(|(delay_ms, lost, duplicated)| Delivery {
            delay_ms,
            lost,
            duplicated,
        })
}
