//! Clients of what the platform gives.
//!
//! * [`objects`]: the object API with versions, conditional updates and watches.
//! * [`weights`]: the weight store and origin.
//! * [`vms`]: the list of live and leaving VMs.
//! * [`engine`]: engines and plain services in the VM of an agent.
//!
//! Each is reached through the protocol that its page in `docs/PLATFORM-PROTOCOLS.md` gives.

pub mod engine;
pub mod objects;
pub mod vms;
pub mod weights;
