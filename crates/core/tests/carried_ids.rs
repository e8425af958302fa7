//! Checks what responses prove over all orders of up to three sends of a request to two addresses,
//! against a model of connections on which refusals are copied.

use pimentohook_core::{
    at_most_once::{self, NotRunProof, Refusal},
    carried_ids::{self, CarriedIds, IdHash},
    routes::RepeatPolicy,
};

const ID: IdHash = IdHash::new(7);
const ONCE: at_most_once::RepeatRule = at_most_once::RepeatRule {
    policy: RepeatPolicy::AtMostOnce,
    attempts_max: 1,
};
const SENDS_MAX: usize = 3;

/// What an upstream does with a send, and what its entry gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Deed {
    /// It runs, and the answer comes.
    Answers,
    /// It is refused, and the connection is kept.
    Refuses,
    /// It is refused, and the connection is closed after that.
    RefusesAndCloses,
    /// It runs, and a copy of an earlier refusal on the connection comes first, if there was one.
    RunsBehindCopy,
    /// It runs, and the connection is closed.
    RunsAndCloses,
    /// It is refused and the connection kept, but nobody waits for the response any more.
    RefusesUnheard,
}

const DEEDS: [Deed; 6] = [
    Deed::Answers,
    Deed::Refuses,
    Deed::RefusesAndCloses,
    Deed::RunsBehindCopy,
    Deed::RunsAndCloses,
    Deed::RefusesUnheard,
];

#[derive(Clone, Copy, Debug)]
struct Step {
    address: usize,
    deed: Deed,
    /// Whether the client takes a kept connection even if that has carried the request, as two
    /// requests with one id at the same moment do.
    is_careless: bool,
}

/// A connection that the client keeps.
#[derive(Debug, Default)]
struct Connection {
    ids: CarriedIds,
    has_refused: bool,
}

#[derive(Debug, Default)]
struct World {
    kept: [Option<Connection>; 2],
    run_count: usize,
}

impl World {
    /// Plays a send, and records how it ended.
    fn send(&mut self, step: Step, permit: at_most_once::Permit<'_>) {
        let under_way = permit.send();
        let kept = self.kept[step.address].take();
        let kept = kept.filter(|kept| step.is_careless || !kept.ids.has_carried(ID));
        let mut connection = kept.unwrap_or_default();
        let is_copied = step.deed == Deed::RunsBehindCopy && connection.has_refused;
        let is_refused = matches!(
            step.deed,
            Deed::Refuses | Deed::RefusesAndCloses | Deed::RefusesUnheard
        );
        if !is_refused {
            self.run_count += 1;
        }
        if step.deed == Deed::RunsAndCloses {
            return drop(under_way);
        }
        let first_send = connection.ids.record(ID);
        if step.deed == Deed::RefusesUnheard {
            connection.has_refused = true;
            self.kept[step.address] = Some(connection);
            return drop(under_way);
        }
        let Some(first_send) = first_send else {
            // A response that may be a copy ends its connection.
            let _ = under_way.in_doubt();
            return;
        };
        if is_refused || is_copied {
            let _ = under_way.not_run(NotRunProof::refused(Refusal::Marked, first_send));
        } else {
            under_way.answered();
        }
        connection.has_refused |= is_refused;
        if step.deed != Deed::RefusesAndCloses {
            self.kept[step.address] = Some(connection);
        }
    }
}

fn steps() -> Vec<Step> {
    let mut steps = Vec::new();
    for address in 0..2 {
        for deed in DEEDS {
            for is_careless in [false, true] {
                steps.push(Step {
                    address,
                    deed,
                    is_careless,
                });
            }
        }
    }
    steps
}

fn play(order: &[Step]) {
    let mut world = World::default();
    let mut record = at_most_once::RunRecord::begin();
    for step in order {
        let Ok(permit) = record.permit("an instance", ONCE) else {
            break;
        };
        world.send(*step, permit);
    }
    assert!(world.run_count <= 1, "{order:?}");
    if record.settle().is_ok() {
        assert_eq!(world.run_count, 0, "{order:?}");
    }
}

fn play_all(order: &mut Vec<Step>) {
    play(order);
    if order.len() == SENDS_MAX {
        return;
    }
    for step in steps() {
        order.push(step);
        play_all(order);
        order.pop();
    }
}

#[test]
fn no_order_of_sends_and_copied_refusals_runs_a_request_twice_or_promises_what_ran() {
    play_all(&mut Vec::new());
}

#[test]
fn a_connection_knows_all_requests_that_it_may_carry() {
    let connection = CarriedIds::default();
    let hash =
        |number: usize| IdHash::new(u64::try_from(number).unwrap().wrapping_mul(0x9e37_79b9));
    for number in 1..=carried_ids::CARRIED_MAX {
        assert!(!connection.is_full());
        assert!(connection.record(hash(number)).is_some(), "{number}");
    }
    assert!(connection.is_full());
    for number in 1..=carried_ids::CARRIED_MAX {
        assert!(connection.has_carried(hash(number)), "{number}");
    }
}
