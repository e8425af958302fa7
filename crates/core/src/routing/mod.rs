//! Routing: which agent gets a request, and what follows when that fails.
//!
//! [`score`] keeps what an entry has learned of each agent, in atomics. [`choice`] picks among
//! candidates by that score; its baselines stand beside it. [`planner`] lists
//! the agents that a request may go to. [`failover`] is the way of one request from agent to agent: it allows another try, or the word "not run",
//! only with proof that no earlier try runs.

pub mod choice;
pub mod failover;
pub mod planner;
pub mod score;
