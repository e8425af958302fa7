//! P1 over orders of events: no answer comes from weights that were not verified and read back.

use pimentohook_core::{
    admission,
    burst::activation::{Activation, OrderError, Stage, Task, WeightsId},
    burst::manifest,
    id,
};
use proptest::prelude::*;
use rstest::rstest;

const VERSIONS: usize = 3;

#[derive(Clone, Debug)]
enum Op {
    /// The duty's holder, or one that was replaced, orders a version.
    Order { version: usize, fencing: u64 },
    /// The agent does what its activation calls for.
    Work,
    /// A load that was ordered comes to its end, or breaks off.
    LoadEnds { whole: bool },
    /// A request is dispatched for the weights that the agent last announced.
    Dispatch,
    /// The engine produces a piece for every request.
    Produce,
    /// Every request ends.
    Finish,
    /// The agent dies and starts again without memory.
    RestartAgent,
    /// The engine dies and starts again with some weights, or none.
    RestartEngine { version: Option<usize> },
    /// The last chunk of a version is verified.
    Complete { version: usize },
}

fn op() -> impl Strategy<Value = Op> {
    let version = 0..VERSIONS;
    prop_oneof![
        3 => (version.clone(), 0_u64..5).prop_map(|(version, fencing)| Op::Order { version, fencing }),
        6 => Just(Op::Work),
        3 => any::<bool>().prop_map(|whole| Op::LoadEnds { whole }),
        4 => Just(Op::Dispatch),
        4 => Just(Op::Produce),
        3 => Just(Op::Finish),
        1 => Just(Op::RestartAgent),
        1 => prop::option::of(version.clone()).prop_map(|version| Op::RestartEngine { version }),
        2 => version.prop_map(|version| Op::Complete { version }),
    ]
}

fn weights(version: usize) -> WeightsId {
    WeightsId {
        manifest: id::Digest::of(format!("manifest {version}").as_bytes()),
        content: id::Digest::of(format!("content {version}").as_bytes()),
    }
}

struct Request {
    weights: id::Digest,
    /// Stamps of the pieces that were passed on.
    passed_on: Vec<Option<id::Digest>>,
    broken_off: bool,
}

struct World {
    activation: Activation,
    held: [bool; VERSIONS],
    verified_ever: [bool; VERSIONS],
    engine: Option<id::Digest>,
    loading: Option<WeightsId>,
    requests: Vec<Request>,
    highest_obeyed: u64,
    present_fencing: u64,
}

impl World {
    fn new() -> Self {
        let mut activation = Activation::new();
        activation.record_fencing(id::FencingNumber::new(0));
        Self {
            activation,
            held: [true, false, false],
            verified_ever: [true, false, false],
            engine: Some(weights(0).content),
            loading: None,
            requests: Vec::new(),
            highest_obeyed: 0,
            present_fencing: 0,
        }
    }

    fn apply(&mut self, op: &Op) -> Result<(), TestCaseError> {
        match *op {
            Op::Order { version, fencing } => self.order(version, fencing)?,
            Op::Work => self.work()?,
            Op::LoadEnds { whole } => self.load_ends(whole),
            Op::Dispatch => {
                let open = self.activation.openness() == admission::AdmissionState::Open;
                if let (true, Some(serving)) = (open, self.activation.serving()) {
                    self.requests.push(Request {
                        weights: serving.content,
                        passed_on: Vec::new(),
                        broken_off: false,
                    });
                }
            }
            Op::Produce => self.produce(),
            Op::Finish => self.requests.clear(),
            Op::RestartAgent => {
                self.activation = Activation::new();
                // It learns the present number before it obeys anybody.
                self.activation
                    .record_fencing(id::FencingNumber::new(self.present_fencing));
                self.held = [false; VERSIONS];
                self.requests.clear();
                self.loading = None;
            }
            Op::RestartEngine { version } => {
                self.engine = version.map(|version| weights(version).content);
                self.loading = None;
                for request in &mut self.requests {
                    request.broken_off = true;
                }
            }
            Op::Complete { version } => {
                self.held[version] = true;
                self.verified_ever[version] = true;
            }
        }
        Ok(())
    }

    fn order(&mut self, version: usize, fencing: u64) -> Result<(), TestCaseError> {
        self.present_fencing = self.present_fencing.max(fencing);
        let number = id::FencingNumber::new(fencing);
        let obeyed = self
            .activation
            .order(number, weights(version), self.held[version]);
        if obeyed.is_ok() {
            prop_assert!(
                fencing >= self.highest_obeyed,
                "an order with an old fencing number was obeyed"
            );
            self.highest_obeyed = fencing;
        }
        Ok(())
    }

    fn work(&mut self) -> Result<(), TestCaseError> {
        let running = self.requests.iter().filter(|one| !one.broken_off).count();
        match self.activation.task(running) {
            Task::Wait => {}
            Task::ReadBack => {
                if self.loading.is_none() {
                    let known: Vec<_> = (0..VERSIONS).map(weights).collect();
                    self.activation.record_read_back(self.engine, &known);
                }
            }
            Task::Load(target) => {
                prop_assert_eq!(running, 0, "a load was ordered under running requests");
                self.activation.record_load_ordered();
                self.engine = None;
                self.loading = Some(target);
            }
        }
        Ok(())
    }

    fn load_ends(&mut self, whole: bool) {
        let Some(target) = self.loading.take() else {
            return;
        };
        if whole {
            self.engine = Some(target.content);
        } else {
            self.activation.record_load_failed();
        }
    }

    /// The agent checks each piece's stamp before it passes the piece on.
    fn produce(&mut self) {
        for request in self.requests.iter_mut().filter(|one| !one.broken_off) {
            if self.engine == Some(request.weights) {
                request.passed_on.push(self.engine);
            } else {
                request.broken_off = true;
                self.activation.record_stamp_mismatch();
            }
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        for request in &self.requests {
            let whole = request
                .passed_on
                .iter()
                .all(|stamp| *stamp == Some(request.weights));
            prop_assert!(whole, "an answer came from mixed weights");
        }
        if let Stage::Serving(serving) = self.activation.stage() {
            let version = (0..VERSIONS).find(|version| weights(*version) == serving);
            prop_assert!(version.is_some(), "weights are served that nobody named");
            prop_assert!(self.loading.is_none(), "open while the engine loads");
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(3_000))]

    #[test]
    fn answers_come_from_one_set_of_weights_that_was_read_back(
        ops in prop::collection::vec(op(), 1..80),
    ) {
        let mut world = World::new();
        for op in &ops {
            world.apply(op)?;
            world.check()?;
        }
    }

    #[test]
    fn a_chunk_with_any_flipped_bit_is_refused(
        content in prop::collection::vec(any::<u8>(), 1..300),
        chunk_bytes in 1_u32..64,
        at in any::<prop::sample::Index>(),
        bit in 0_u8..8,
    ) {
        let version = "v2".parse().expect("a valid name");
        let built = manifest::Manifest::of(version, &content, chunk_bytes);
        let mut flipped = content.clone();
        let at = at.index(content.len());
        flipped[at] ^= 1 << bit;
        let chunk = u32::try_from(at).expect("small") / chunk_bytes;
        let start = (chunk * chunk_bytes) as usize;
        let end = (start + chunk_bytes as usize).min(content.len());
        prop_assert!(built.verifies(chunk, &content[start..end]));
        prop_assert!(!built.verifies(chunk, &flipped[start..end]));
    }

    #[test]
    fn a_manifest_with_anything_changed_is_not_the_one_that_was_named(
        content in prop::collection::vec(any::<u8>(), 1..300),
        drop_chunk in any::<bool>(),
    ) {
        let version: id::WeightsVersion = "v2".parse().expect("a valid name");
        let built = manifest::Manifest::of(version, &content, 16);
        let named = built.digest();
        prop_assert!(built.check_digest(named).is_ok());
        let mut changed = built.clone();
        if drop_chunk {
            changed.chunks.pop();
        } else {
            changed.version = "v3".parse().expect("a valid name");
        }
        prop_assert!(changed.check_digest(named).is_err());
    }
}

#[test]
fn a_restarted_agent_obeys_nobody_before_it_has_read_the_present_number() {
    let mut activation = Activation::new();
    let order = activation.order(id::FencingNumber::new(9), weights(1), true);
    assert_eq!(order, Err(OrderError::FencingUnknown));
}

#[rstest]
#[case::old(3, true, true)]
#[case::not_held(5, false, true)]
#[case::obeyed(5, true, false)]
fn orders_need_the_present_number_and_whole_weights(
    #[case] fencing: u64,
    #[case] held: bool,
    #[case] refused: bool,
) {
    let mut activation = Activation::new();
    activation.record_fencing(id::FencingNumber::new(4));
    let number = id::FencingNumber::new(fencing);
    assert_eq!(activation.order(number, weights(1), held).is_err(), refused);
}
