//! Tests of what processes together know of when versions of weights were announced.

mod exchanges;
mod messages;
mod outages;
mod test_clock;
mod versions;
mod watches;

use std::time;

use pimentohook_core::{
    announcement::{Announcements, Moment},
    clock::BootInstant,
    id, position,
};

const MODEL: &str = "model-1";
const LIFETIME: time::Duration = time::Duration::from_secs(8);

fn at(ms: u64) -> BootInstant {
    BootInstant::from_boot(time::Duration::from_millis(100_000 + ms))
}

fn announced(version: u64) -> Vec<(String, u64)> {
    vec![(String::from(MODEL), version)]
}

fn revision(revision: u64) -> position::Position {
    position::Position::new(id::StoreEra::new(1), revision)
}

fn moment_of(announcements: &Announcements, version: u64) -> Option<Moment> {
    let of_model = announcements.of_model(MODEL);
    let known = of_model.iter().find(|known| known.version == version);
    known.map(|known| known.moment)
}
