//! How requests of different urgency and of several organisations are served while engines are short.

mod organisations;
mod ranks;
mod simulation;
#[path = "../support/mod.rs"]
mod support;
mod tally;
