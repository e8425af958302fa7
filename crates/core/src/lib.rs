//! The decisions of pimentohook, free of I/O, threads, clocks and global randomness.
//!
//! Every module here is a state machine: it takes the state, the present instant and an event,
//! and returns what is to be done. The binaries perform it. The same code can therefore be driven
//! by property tests over orders of events, by benchmarks, and by real sockets.
//!
//! A way through the crate, in the order of a request and then of a rollout:
//!
//! * [`id`], [`size`], [`clock`]: the vocabulary.
//! * [`routes`], [`upstreams`]: where callers' requests go.
//! * [`engine`], [`engine_admission`]: how full engines get, and what is let in.
//! * [`refusal_rate`]: when callers that were refused come back.
//! * [`shutdown`]: what a process that was told to stop still takes.
//! * [`rolling_update`]: when engines change to a newer version of weights.
//! * [`collection`], [`relay`]: copies of what the platform keeps, and from whom they come.
//! * [`membership`]: which agents an entry knows, and how old that knowledge is.
//! * [`routing`]: which agent gets a request, and what may be done when that fails.
//! * [`admission`]: whether a request starts at an agent, and the proof that it did not.
//! * [`response`]: a streamed answer put together whole.
//! * [`limits`]: shares of organisations and the budget for retries.
//! * [`burst`]: how weights spread from few origin copies.
//! * [`intent`]: what operators ask for, the configuration, and the steps of a rollout.
//! * [`lease`]: which entry performs those steps.
//! * [`report`]: how service levels burn their budgets.

pub mod admission;
pub mod burst;
pub mod clock;
pub mod collection;
pub mod engine;
pub mod engine_admission;
pub mod id;
pub mod intent;
pub mod lease;
pub mod limits;
pub mod membership;
pub mod refusal_rate;
pub mod relay;
pub mod report;
pub mod response;
pub mod rolling_update;
pub mod routes;
pub mod routing;
pub mod shutdown;
pub mod size;
pub mod upstreams;
