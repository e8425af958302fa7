//! The decision logic of pimentohook, free of I/O, threads, clocks and global randomness.
//!
//! Every module is a state machine: it takes the state, the current instant and an event, and
//! returns the actions to perform. The binaries perform them. The same code can therefore be driven
//! by property tests over random sequences of events, by benchmarks and by real sockets.
//!
//! Shared types:
//!
//! * [`id`]: identifiers of VMs, services, requests and versions, and digests.
//! * [`size`]: amounts of data and transfer rates.
//! * [`clock`]: the source of time, which tests replace.
//!
//! Used by both modes below:
//!
//! * [`routing`]: which upstream receives a request, and how the request fails over.
//! * [`limits`]: fair sharing of slots among organisations, and the retry budget of one entry.
//! * [`burst`]: how weights spread from few copies of the origin to every VM.
//!
//! Gateway mode, in which entries dispatch requests to agents, which can prove that a request did
//! not run:
//!
//! * [`membership`]: which agents an entry knows, and how old that information is.
//! * [`admission`]: whether a request starts at an agent, and the proof that it did not.
//! * [`response`]: reassembly of a streamed response.
//! * [`intent`]: operators' intents, the configuration, and the steps of a rollout.
//! * [`lease`]: which entry performs those steps.
//! * [`report`]: how fast services burn the error budgets of their objectives.
//!
//! Direct mode, in which entries send requests to upstreams without an agent in between:
//!
//! * [`routes`]: which service a request goes to, and how it may be handled.
//! * [`at_most_once`]: whether a request may be sent again, or be said not to have run.
//! * [`carried_ids`]: which requests a connection has carried.
//! * [`configuration_check`]: what is wrong with a configuration, and what it would change.
//! * [`configuration_history`]: which configurations that were in force lately a process knows.
//! * [`regions`]: where a request may be served.
//! * [`rank`]: how urgent a request is.
//! * [`evacuation`]: which failure domains get nothing more.
//! * [`upstreams`]: the instances of a service, as listed by the platform.
//! * [`head_limits`]: how long the head of a request may take, and how large it may be.
//! * [`memory_shares`]: the shares of a VM's memory and descriptors.
//! * [`upstream_limit`]: limits that upstreams name for all entries together.
//! * [`upstream_notice`]: what upstreams say of leaving and of back-offs.
//! * [`engine`]: how long an engine takes to respond.
//! * [`engine_admission`]: which requests an engine admits.
//! * [`cold`]: how many requests a cold instance gets.
//! * [`pace`]: how many requests an upstream gets that has just started.
//! * [`latest_start`]: when a request that is sent to an engine can start at the latest.
//! * [`unconfirmed_queue`]: how long a request may wait there, by what its reports confirm.
//! * [`ask_order`]: which agents are asked for a slot.
//! * [`engine_contact`]: whether an engine whose agent does not respond is used.
//! * [`event_stream`]: the events of a streamed response.
//! * [`crash_evidence`]: which parts of prompts and which requests crash upstreams and are held back.
//! * [`fingerprint`]: what tells that two requests are the same.
//! * [`retry_budget`]: the retries that all entries together may send.
//! * [`refusal_rate`]: when refused callers should retry.
//! * [`shutdown`]: which requests a process accepts while it is shutting down.
//! * [`announcement`]: when versions of weights were announced.
//! * [`version_selection`]: which announced version of weights is downloaded next.
//! * [`rolling_update`]: when engines load a newer version of weights.
//! * [`read_back`]: how long what was read back of staged chunks holds.
//! * [`load_vouching`]: whether an engine is known to have loaded what was read back.
//! * [`reload`]: how an engine is made to load a version again.
//! * [`collection`]: copies of the platform's objects.
//! * [`position`]: positions in the history of the platform's store, which may be restored.
//! * [`carryover`]: objects that a restored store has lost and that will be written again.
//! * [`relay`]: the sources that an entry follows for these objects.
//! * [`hedge`]: when an entry asks other sources beside the one that it follows.
//! * [`route_index`]: the routes of a host by prefix, for work on all of them at once.
//! * [`reported_version`]: the newest configuration that other entries have in force.

pub mod admission;
pub mod announcement;
pub mod ask_order;
pub mod at_most_once;
pub mod burst;
pub mod carried_ids;
pub mod carryover;
pub mod clock;
pub mod cold;
pub mod collection;
pub mod configuration_check;
pub mod configuration_history;
pub mod crash_evidence;
pub mod engine;
pub mod engine_admission;
pub mod engine_answers;
pub mod engine_contact;
pub mod evacuation;
pub mod event_stream;
pub mod fingerprint;
pub mod follow_timing;
pub mod head_limits;
pub mod hedge;
pub mod id;
pub mod idle_limit;
pub mod intent;
pub mod latest_start;
pub mod lease;
pub mod leaving;
pub mod limits;
pub mod load_vouching;
pub mod membership;
pub mod memory_shares;
pub mod organisation_shares;
pub mod pace;
pub mod paged_list;
pub mod position;
pub mod rank;
pub mod read_back;
pub mod refusal_rate;
pub mod regions;
pub mod relay;
pub mod reload;
pub mod replaced_routes;
pub mod report;
pub mod reported_version;
pub mod response;
pub mod retry_budget;
pub mod rolling_update;
pub mod route_index;
pub mod routes;
pub mod routing;
pub mod scheduling;
pub mod shutdown;
pub mod size;
pub mod standstill;
pub mod timer_lateness;
pub mod unconfirmed_queue;
pub mod upstream_limit;
pub mod upstream_notice;
pub mod upstreams;
pub mod version_selection;
