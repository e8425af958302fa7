//! What the fleet has of a version, and who may get grants.

use crate::{
    burst::{GrantId, chunks},
    id,
};

/// The chunks that the fleet has, as reported to the grantor.
#[derive(Clone, Debug, Default)]
pub struct ChunkAvailability {
    pub(super) participants: Vec<Participant>,
    /// For each chunk, how many participants have it.
    pub(super) holder_counts: Vec<u32>,
}

impl ChunkAvailability {
    /// Adds a live VM, unless it is leaving, since its chunks are lost with it.
    pub fn add(&mut self, participant: Participant) {
        if participant.leaving {
            return;
        }
        self.count_held(&participant.held);
        self.participants.push(participant);
    }

    /// Adds the chunks of a live VM that downloads nothing of this version and so uses no grants.
    pub fn add_holder(&mut self, held: &chunks::ChunkSet) {
        self.count_held(held);
    }

    fn count_held(&mut self, held: &chunks::ChunkSet) {
        let chunk_count = held.range() as usize;
        if self.holder_counts.len() < chunk_count {
            self.holder_counts.resize(chunk_count, 0);
        }
        for chunk in held.iter() {
            self.holder_counts[chunk as usize] += 1;
        }
    }

    /// Returns the number of participants.
    #[must_use]
    pub const fn participant_count(&self) -> usize {
        self.participants.len()
    }
}

/// A VM that takes part in the burst.
#[derive(Clone, Debug)]
pub struct Participant {
    /// The VM.
    pub vm: id::VmId,
    /// The incarnation of its agent.
    pub incarnation: id::Incarnation,
    /// Whether every peer that it knows with a missing chunk has used up its upload credit.
    pub starved: bool,
    /// Its grants whose download from the origin failed.
    pub failed_grants: Vec<GrantId>,
    /// Whether the VM is leaving.
    pub leaving: bool,
    /// The chunks that it has.
    pub held: chunks::ChunkSet,
}
