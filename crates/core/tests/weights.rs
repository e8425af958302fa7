//! P1 under random sequences of events: no response comes from weights that were not verified and
//! read back.

use pimentohook_core::{
    admission,
    burst::activation::{Activation, OrderError, Stage, Task, WeightsId},
    burst::{chunks, manifest},
    id,
};
use proptest::prelude::*;
use rstest::rstest;

const VERSIONS: usize = 3;
const CHUNKS: u32 = 3;
const CHUNK_BYTES: u32 = 8;

#[derive(Clone, Debug)]
enum Op {
    /// The current lease holder, or a replaced one, orders a version.
    Order { version: usize, fencing: u64 },
    /// The agent performs the next step of its activation.
    Step,
    /// An ordered load completes or is interrupted.
    EndLoad { completed: bool },
    /// A request is dispatched for the weights that the agent last announced.
    Dispatch,
    /// The engine produces a piece of the response to every request.
    Produce,
    /// Every request ends.
    Finish,
    /// The agent crashes and restarts without its state.
    RestartAgent,
    /// The engine crashes and restarts with some weights, or none.
    RestartEngine { version: Option<usize> },
    /// A chunk of a version arrives, whole or with a flipped bit.
    Arrive {
        version: usize,
        chunk: u32,
        corrupt: bool,
    },
    /// Every chunk of a version arrives whole.
    ArriveAll { version: usize },
}

fn op() -> impl Strategy<Value = Op> {
    let version = 0..VERSIONS;
    prop_oneof![
        3 => (version.clone(), 0_u64..5)
            .prop_map(|(version, fencing)| Op::Order { version, fencing }),
        6 => Just(Op::Step),
        3 => any::<bool>().prop_map(|completed| Op::EndLoad { completed }),
        4 => Just(Op::Dispatch),
        4 => Just(Op::Produce),
        3 => Just(Op::Finish),
        1 => Just(Op::RestartAgent),
        1 => prop::option::of(version.clone()).prop_map(|version| Op::RestartEngine { version }),
        3 => (version.clone(), 0..CHUNKS, any::<bool>())
            .prop_map(|(version, chunk, corrupt)| Op::Arrive { version, chunk, corrupt }),
        2 => version.prop_map(|version| Op::ArriveAll { version }),
    ]
}

fn content(version: usize) -> Vec<u8> {
    (0..CHUNKS)
        .flat_map(|chunk| format!("v{version} part{chunk}").into_bytes())
        .collect()
}

fn chunk_of(version: usize, chunk: u32) -> Vec<u8> {
    let start = (chunk * CHUNK_BYTES) as usize;
    content(version)[start..start + CHUNK_BYTES as usize].to_vec()
}

fn manifest_of(version: usize) -> manifest::Manifest {
    let name = format!("v{version}").parse().expect("a valid name");
    manifest::Manifest::of(name, &content(version), CHUNK_BYTES)
}

fn weights(version: usize) -> WeightsId {
    let manifest = manifest_of(version);
    WeightsId {
        manifest: manifest.digest(),
        content: manifest.content,
    }
}

/// What the agent has of a version.
struct Download {
    held: chunks::ChunkSet,
    bytes: Vec<Option<Vec<u8>>>,
}

impl Download {
    fn new() -> Self {
        Self {
            held: chunks::ChunkSet::new(CHUNKS),
            bytes: vec![None; CHUNKS as usize],
        }
    }

    fn whole(version: usize) -> Self {
        let mut download = Self::new();
        for chunk in 0..CHUNKS {
            download.record(version, chunk, chunk_of(version, chunk));
        }
        download
    }

    /// Keeps a chunk that the manifest verifies, as the agent does.
    fn record(&mut self, version: usize, chunk: u32, bytes: Vec<u8>) {
        if manifest_of(version).verifies(chunk, &bytes) {
            self.held.insert(chunk);
            self.bytes[chunk as usize] = Some(bytes);
        }
    }

    /// Returns the digest of the bytes that an engine would load.
    fn digest(&self) -> id::Digest {
        let bytes: Vec<u8> = self.bytes.iter().flatten().flatten().copied().collect();
        id::Digest::of(&bytes)
    }
}

struct Request {
    weights: id::Digest,
    /// The weights of the response pieces that were forwarded.
    forwarded: Vec<Option<id::Digest>>,
    interrupted: bool,
}

struct Model {
    activation: Activation,
    /// What this run of the agent has of each version.
    downloads: [Download; VERSIONS],
    /// The contents whose bytes were all there when the engine loaded them.
    loaded_whole: Vec<id::Digest>,
    /// The contents that the engine had when it started, which no agent loaded.
    started_with: Vec<id::Digest>,
    engine: Option<id::Digest>,
    /// What the engine will serve once its load has completed.
    loading: Option<id::Digest>,
    requests: Vec<Request>,
    highest_accepted: u64,
    current_fencing: u64,
}

impl Model {
    fn new() -> Self {
        let mut activation = Activation::new();
        activation.record_fencing(id::FencingNumber::new(0));
        Self {
            activation,
            downloads: [Download::whole(0), Download::new(), Download::new()],
            loaded_whole: Vec::new(),
            started_with: vec![weights(0).content],
            engine: Some(weights(0).content),
            loading: None,
            requests: Vec::new(),
            highest_accepted: 0,
            current_fencing: 0,
        }
    }

    fn apply(&mut self, op: &Op) -> Result<(), TestCaseError> {
        match *op {
            Op::Order { version, fencing } => self.order(version, fencing)?,
            Op::Step => self.step()?,
            Op::EndLoad { completed } => self.end_load(completed),
            Op::Dispatch => {
                let open = self.activation.openness() == admission::AdmissionState::Open;
                if let (true, Some(serving)) = (open, self.activation.serving()) {
                    self.requests.push(Request {
                        weights: serving.content,
                        forwarded: Vec::new(),
                        interrupted: false,
                    });
                }
            }
            Op::Produce => self.produce(),
            Op::Finish => self.requests.clear(),
            Op::RestartAgent => {
                self.activation = Activation::new();
                // It reads the current fencing number before it accepts an order.
                self.activation
                    .record_fencing(id::FencingNumber::new(self.current_fencing));
                self.downloads = std::array::from_fn(|_| Download::new());
                self.requests.clear();
                self.loading = None;
            }
            Op::RestartEngine { version } => {
                self.engine = version.map(|version| weights(version).content);
                self.started_with.extend(self.engine);
                self.loading = None;
                for request in &mut self.requests {
                    request.interrupted = true;
                }
            }
            Op::Arrive {
                version,
                chunk,
                corrupt,
            } => {
                let mut bytes = chunk_of(version, chunk);
                bytes[0] ^= u8::from(corrupt);
                self.downloads[version].record(version, chunk, bytes);
            }
            Op::ArriveAll { version } => self.downloads[version] = Download::whole(version),
        }
        Ok(())
    }

    fn order(&mut self, version: usize, fencing: u64) -> Result<(), TestCaseError> {
        self.current_fencing = self.current_fencing.max(fencing);
        let number = id::FencingNumber::new(fencing);
        let is_complete = self.downloads[version].held.is_full();
        let accepted = self.activation.order(number, weights(version), is_complete);
        if accepted.is_ok() {
            prop_assert!(
                fencing >= self.highest_accepted,
                "an order with an old fencing number was accepted"
            );
            self.highest_accepted = fencing;
        }
        Ok(())
    }

    fn step(&mut self) -> Result<(), TestCaseError> {
        let running = self
            .requests
            .iter()
            .filter(|request| !request.interrupted)
            .count();
        match self.activation.task(running) {
            Task::Wait => {}
            Task::ReadBack => {
                if self.loading.is_none() {
                    let known: Vec<_> = (0..VERSIONS).map(weights).collect();
                    self.activation.record_read_back(self.engine, &known);
                }
            }
            Task::Load(target) => {
                prop_assert_eq!(running, 0, "a load was ordered while requests were running");
                self.activation.record_load_ordered();
                self.engine = None;
                self.loading = Some(self.bytes_to_load(target)?);
            }
        }
        Ok(())
    }

    /// Returns the digest of the bytes that the agent sends to the engine, which have to be all
    /// bytes of the target.
    fn bytes_to_load(&mut self, target: WeightsId) -> Result<id::Digest, TestCaseError> {
        let version = (0..VERSIONS).find(|version| weights(*version) == target);
        prop_assert!(version.is_some(), "unknown weights are loaded");
        let digest = self.downloads[version.unwrap_or(0)].digest();
        prop_assert_eq!(
            digest,
            target.content,
            "weights are loaded that were not verified whole"
        );
        self.loaded_whole.push(digest);
        Ok(digest)
    }

    fn end_load(&mut self, completed: bool) {
        let Some(content) = self.loading.take() else {
            return;
        };
        if completed {
            self.engine = Some(content);
        } else {
            self.activation.record_load_failed();
        }
    }

    /// Produces pieces; the agent checks the weights of each piece before it forwards the piece.
    fn produce(&mut self) {
        for request in self
            .requests
            .iter_mut()
            .filter(|request| !request.interrupted)
        {
            if self.engine == Some(request.weights) {
                request.forwarded.push(self.engine);
            } else {
                request.interrupted = true;
                self.activation.record_stamp_mismatch();
            }
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        for request in &self.requests {
            let is_consistent = request
                .forwarded
                .iter()
                .all(|stamp| *stamp == Some(request.weights));
            prop_assert!(is_consistent, "a response came from mixed weights");
            let is_known = self.loaded_whole.contains(&request.weights)
                || self.started_with.contains(&request.weights);
            prop_assert!(is_known, "a response came from weights that nobody loaded");
        }
        if let Stage::Serving(serving) = self.activation.stage() {
            let version = (0..VERSIONS).find(|version| weights(*version) == serving);
            prop_assert!(version.is_some(), "unknown weights are served");
            prop_assert!(
                self.loading.is_none(),
                "requests are admitted while the engine loads"
            );
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(3_000))]

    #[test]
    fn responses_come_from_one_version_that_was_read_back(
        ops in prop::collection::vec(op(), 1..80),
    ) {
        let mut model = Model::new();
        for op in &ops {
            model.apply(op)?;
            model.check()?;
        }
    }

    #[test]
    fn a_chunk_with_a_flipped_bit_is_rejected(
        content in prop::collection::vec(any::<u8>(), 1..300),
        chunk_bytes in 1_u32..64,
        at in any::<prop::sample::Index>(),
        bit in 0_u8..8,
    ) {
        let version = "v2".parse().expect("a valid name");
        let manifest = manifest::Manifest::of(version, &content, chunk_bytes);
        let mut flipped = content.clone();
        let at = at.index(content.len());
        flipped[at] ^= 1 << bit;
        let chunk = u32::try_from(at).expect("small") / chunk_bytes;
        let start = (chunk * chunk_bytes) as usize;
        let end = (start + chunk_bytes as usize).min(content.len());
        prop_assert!(manifest.verifies(chunk, &content[start..end]));
        prop_assert!(!manifest.verifies(chunk, &flipped[start..end]));
    }

    #[test]
    fn a_changed_manifest_is_rejected(
        content in prop::collection::vec(any::<u8>(), 1..300),
        drop_chunk in any::<bool>(),
    ) {
        let version: id::WeightsVersion = "v2".parse().expect("a valid name");
        let manifest = manifest::Manifest::of(version, &content, 16);
        let digest = manifest.digest();
        prop_assert!(manifest.check_digest(digest).is_ok());
        let mut changed = manifest.clone();
        if drop_chunk {
            changed.chunks.pop();
        } else {
            changed.version = "v3".parse().expect("a valid name");
        }
        prop_assert!(changed.check_digest(digest).is_err());
    }
}

#[test]
fn a_restarted_agent_refuses_orders_until_it_has_read_the_fencing_number() {
    let mut activation = Activation::new();
    let order = activation.order(id::FencingNumber::new(9), weights(1), true);
    assert_eq!(order, Err(OrderError::FencingUnknown));
}

#[rstest]
#[case::fenced(3, true, true)]
#[case::incomplete(5, false, true)]
#[case::accepted(5, true, false)]
fn orders_need_the_current_fencing_number_and_complete_weights(
    #[case] fencing: u64,
    #[case] is_complete: bool,
    #[case] refused: bool,
) {
    let mut activation = Activation::new();
    activation.record_fencing(id::FencingNumber::new(4));
    let number = id::FencingNumber::new(fencing);
    assert_eq!(
        activation.order(number, weights(1), is_complete).is_err(),
        refused
    );
}
