//! How a process shares the memory and the descriptors of its VM among what clients make it hold.
//!
//! ```
//! use pimentohook_core::memory_shares;
//!
//! let shares = memory_shares::EntryShares::of(&memory_shares::VmLimits::default());
//! assert_eq!(shares.requests_bytes, 27_200_000);
//! ```

/// The memory of the smallest VM on which entries run, in bytes.
const MEMORY_DEFAULT_BYTES: usize = 160_000_000;
/// The descriptors of that VM.
const DESCRIPTORS_DEFAULT: usize = 4_100;
/// Descriptors that are reserved for files.
const FILES_MAX: usize = 200;
/// What a process uses that serves nobody, and what its allocator keeps.
const OWN_BYTES: usize = 24_000_000;
/// Requests and responses get one of so many parts of the rest each, connections two; one is left for
/// gaps between allocations.
const PARTS: usize = 5;
const CONNECTIONS_PARTS: usize = 2;
/// The least for bodies, so that one of 4 MiB finds room on any VM.
const BODIES_MIN_BYTES: usize = 6 << 20;
/// The most that a connection holds beside bodies: its buffers, its request's head, its task.
const CONNECTION_BYTES: usize = 40 << 10;
const CONNECTIONS_MIN: usize = 32;
/// The bodies of messages to an internal port take at most half a part of the memory.
const MESSAGES_DIVISOR: usize = 2;
/// The least for messages, so that the largest of an agent finds room on any VM.
const MESSAGES_MIN_BYTES: usize = 2 << 20;
const MESSAGES_MAX_BYTES: usize = 8 << 20;
/// The share of the sockets that callers' connections may take. All ports of an entry together leave an
/// eighth of them for connections to upstreams and to other processes of the system.
const CALLERS_NUMERATOR: usize = 18;
/// The share of the port for entries and agents, and that of the directory.
const PEERS_NUMERATOR: usize = 4;
/// The share of the readiness check, and that of the metrics: one platform reads them.
const CHECKS_NUMERATOR: usize = 1;
/// The share of an agent's port.
const AGENT_PEERS_NUMERATOR: usize = 16;
/// The share of an agent's metrics.
const AGENT_METRICS_NUMERATOR: usize = 4;
const SOCKETS_DENOMINATOR: usize = 32;

/// What a VM lets a process use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmLimits {
    /// The memory, in bytes.
    pub memory_bytes: usize,
    /// The number of descriptors.
    pub descriptors_max: usize,
}

impl Default for VmLimits {
    fn default() -> Self {
        Self {
            memory_bytes: MEMORY_DEFAULT_BYTES,
            descriptors_max: DESCRIPTORS_DEFAULT,
        }
    }
}

impl VmLimits {
    /// Returns one of the parts of the memory.
    const fn part_bytes(&self) -> usize {
        self.memory_bytes.saturating_sub(OWN_BYTES) / PARTS
    }

    fn messages_bytes(&self) -> usize {
        let bytes = self.part_bytes() / MESSAGES_DIVISOR;
        bytes.clamp(MESSAGES_MIN_BYTES, MESSAGES_MAX_BYTES)
    }

    fn connections_max(&self, sockets_numerator: usize) -> usize {
        let sockets = self.descriptors_max.saturating_sub(FILES_MAX);
        let by_descriptors = sockets * sockets_numerator / SOCKETS_DENOMINATOR;
        let by_memory = CONNECTIONS_PARTS * self.part_bytes() / CONNECTION_BYTES;
        by_descriptors.min(by_memory).max(CONNECTIONS_MIN)
    }
}

/// What an entry may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryShares {
    /// The bodies of requests, in bytes.
    pub requests_bytes: usize,
    /// The bodies of responses, in bytes.
    pub responses_bytes: usize,
    /// Connections from callers.
    pub callers_max: usize,
    /// Connections from entries and agents.
    pub peers_max: usize,
    /// Connections to the directory.
    pub directory_max: usize,
    /// Connections to the readiness check, and as many that read metrics.
    pub checks_max: usize,
    /// The bodies of messages to one of these ports, in bytes.
    pub messages_bytes: usize,
}

impl EntryShares {
    /// Returns the shares on a VM.
    #[must_use]
    pub fn of(limits: &VmLimits) -> Self {
        let bodies_bytes = limits.part_bytes().max(BODIES_MIN_BYTES);
        Self {
            requests_bytes: bodies_bytes,
            responses_bytes: bodies_bytes,
            callers_max: limits.connections_max(CALLERS_NUMERATOR),
            peers_max: limits.connections_max(PEERS_NUMERATOR),
            directory_max: limits.connections_max(PEERS_NUMERATOR),
            checks_max: limits.connections_max(CHECKS_NUMERATOR),
            messages_bytes: limits.messages_bytes(),
        }
    }
}

/// What an agent may hold for others; the rest is for the weights that it passes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentShares {
    /// Connections from entries and other agents.
    pub peers_max: usize,
    /// Connections that read metrics.
    pub metrics_max: usize,
    /// The bodies of messages to one of the ports, in bytes.
    pub messages_bytes: usize,
}

impl AgentShares {
    /// Returns the shares on a VM.
    #[must_use]
    pub fn of(limits: &VmLimits) -> Self {
        Self {
            peers_max: limits.connections_max(AGENT_PEERS_NUMERATOR),
            metrics_max: limits.connections_max(AGENT_METRICS_NUMERATOR),
            messages_bytes: limits.messages_bytes(),
        }
    }
}
