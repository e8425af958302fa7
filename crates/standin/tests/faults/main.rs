//! Fault injection on a fleet in one process with real sockets. The tests compare the outcomes that
//! callers see with what the engines actually ran.

mod requests;
mod rollouts;
mod support;
