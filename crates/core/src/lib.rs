//! The decisions of pimentohook, free of I/O, threads, clocks and global randomness.
//!
//! Every module is a state machine: it takes the state, the current instant and an event, and
//! returns the actions to perform. The binaries perform them. The same code can therefore be driven
//! by property tests over orders of events, by benchmarks and by real sockets.
//!
//! The modules, in the order in which a request and then a rollout use them:
//!
//! * [`id`], [`size`], [`clock`]: shared types.
//! * [`routes`], [`upstreams`]: where callers' requests go.
//! * [`engine`], [`engine_admission`]: how loaded engines are, and which requests they admit.
//! * [`refusal_rate`]: when refused callers should retry.
//! * [`shutdown`]: which requests a process accepts while it is shutting down.
//! * [`rolling_update`]: when engines change to a newer version of weights.
//! * [`collection`], [`relay`]: copies of the platform's objects, and from which source they come.
//! * [`membership`]: which agents an entry knows, and how old that information is.
//! * [`routing`]: which agent receives a request, and how the request fails over.
//! * [`admission`]: whether a request starts at an agent, and the proof that it did not.
//! * [`response`]: reassembly of a streamed response.
//! * [`limits`]: fair sharing of slots among organisations, and the retry budget.
//! * [`burst`]: how weights spread from few origin copies.
//! * [`intent`]: operators' intents, the configuration, and the steps of a rollout.
//! * [`lease`]: which entry performs those steps.
//! * [`report`]: how fast services burn the error budgets of their objectives.

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
