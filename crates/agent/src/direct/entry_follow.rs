//! Questions of an agent to entries for changes to the platform's objects, so that the store need not be
//! asked.

use std::time;

use pimentohook_core::{announcement, collection, id, position};
use pimentohook_platform::store;
use pimentohook_runtime::client;
use pimentohook_wire::direct;
use snafu::{ResultExt as _, Snafu, ensure};

use super::app;

/// The number of entries that are tried before the store.
const ENTRIES_TRIED_MAX: usize = 2;

/// An entry could not supply an object.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub(super) enum FollowError {
    /// No entry is known.
    #[snafu(display("no entry is known"))]
    Nobody,
    #[snafu(display("{source}"))]
    Entry { source: client::ClientError },
    /// The entry has not heard yet that the store was restored.
    #[snafu(display("entry is at {position}, before the store was restored"))]
    Outdated { position: position::Position },
    /// The entry's copy is too old, as it is when it can't reach the store.
    #[snafu(display("entry knows what was {age_ms:?} ms ago"))]
    Old { age_ms: Option<u64> },
}

/// Returns the entries to ask, those of the own region first.
#[must_use]
pub fn preferred_entries(app: &app::App) -> Vec<direct::PeerState> {
    let mut entries = Vec::clone(&app.entries.load());
    entries.sort_by_cached_key(|entry| {
        let is_other_region = entry.region != app.settings.region;
        (
            is_other_region,
            id::rendezvous_score(app.own_vm.as_str(), &entry.entry),
        )
    });
    entries.truncate(ENTRIES_TRIED_MAX);
    entries
}

/// What an agent asks an entry about a kind of objects.
#[derive(Clone, Copy, Debug)]
pub struct Question {
    /// The kind.
    pub kind: store::Kind,
    /// The position that the agent has.
    pub position: position::Position,
    /// How long the entry may wait for a change.
    pub wait: time::Duration,
    /// The maximum age of the entry's copy.
    pub age_max: time::Duration,
    /// How long the reply may take.
    pub timeouts: client::Timeouts,
}

/// Asks an entry for changes; returns them, and when the store stated them.
pub(super) async fn ask(
    app: &app::App,
    entry: &direct::PeerState,
    question: &Question,
) -> Result<(collection::Delta, announcement::Read), FollowError> {
    let request = direct::FollowRequest {
        kind: question.kind.to_string(),
        position: question.position,
        era: app.store.era(),
        wait_ms: u32::try_from(question.wait.as_millis()).unwrap_or(u32::MAX),
    };
    let requested_at = app.clock.boot_now();
    let call = app.client.call_with_timeouts(
        entry.peers,
        direct::FOLLOW_PATH,
        &request,
        question.timeouts,
    );
    let reply: direct::FollowReply = call.await.context(EntrySnafu)?;
    let position = reply.delta.position;
    app.store.record_era(position.era);
    ensure!(position.era >= app.store.era(), OutdatedSnafu { position });
    let age = reply.age_ms.map(time::Duration::from_millis);
    let age_ms = reply.age_ms;
    ensure!(
        age.is_some_and(|age| age <= question.age_max),
        OldSnafu { age_ms }
    );
    let read = announcement::Read::fetched_ago(age, requested_at);
    Ok((reply.delta, read))
}
