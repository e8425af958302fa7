//! Routing: which agent receives a request, and how the request fails over to another.
//!
//! [`score`] keeps an entry's statistics of each upstream in atomics. [`choice`] selects a
//! candidate by that score and also holds the baseline policies. [`planner`] lists the agents that
//! a request may be sent to. [`failover`] follows one request from agent to agent; it permits
//! another attempt, or reports that the request was not run, only with proof that no earlier
//! attempt is running.

pub mod choice;
pub mod failover;
pub mod planner;
pub mod score;
