//! Records which versions of the configuration are known, and tells followers.
//!
//! What was read is recorded before it comes into force, so that no request is taken on a version
//! while those before count as known that are not.

use std::sync;

use pimentohook_core::{collection, configuration_history, position};
use pimentohook_platform::store;

use super::apply;
use crate::direct::app;

fn newest<'a, O>(objects: O) -> Option<position::Position>
where
    O: IntoIterator<Item = &'a collection::Object>,
{
    let positions = objects.into_iter().map(|object| object.position);
    positions.max()
}

fn record(app: &app::App, read: configuration_history::Read) {
    let now = app.clock.boot_now();
    let history = &app.configuration_history;
    history.rcu(|history| sync::Arc::new(history.after(now, read)));
}

/// Records a list, which doesn't say what was in force before.
pub(super) fn record_list(app: &app::App, kind: store::Kind, objects: &[collection::Object]) {
    if kind == store::Kind::Configuration {
        record(app, configuration_history::Read::newest(newest(objects)));
    }
}

/// Records the changes that a watch returned, which are all since the last read, and puts those into
/// force that others have replaced already.
pub(super) fn record_changes(app: &app::App, kind: store::Kind, changes: &[collection::Change]) {
    if kind != store::Kind::Configuration {
        return;
    }
    for (index, change) in changes.iter().enumerate() {
        let position = (!change.removed).then_some(change.object.position);
        record(app, configuration_history::Read::all(position));
        let is_replaced = index + 1 < changes.len();
        if is_replaced && !change.removed {
            apply::apply_version(app, &change.object);
        }
    }
}

/// Records what another entry has passed on, which the copy has by now, and what it knows of the versions
/// before.
pub(super) fn record_merged(
    app: &app::App,
    kind: store::Kind,
    statement: configuration_history::Statement,
) {
    if kind == store::Kind::Configuration {
        let copy = app.cached(kind).collection();
        let newest = newest(copy.objects().values());
        record(app, configuration_history::Read { newest, statement });
    }
}

/// Returns what to tell a follower that has the state at `position` and is passed `delta`.
pub(super) fn statement(
    app: &app::App,
    kind: store::Kind,
    position: position::Position,
    delta: &collection::Delta,
) -> configuration_history::Statement {
    if kind != store::Kind::Configuration {
        return configuration_history::Statement::default();
    }
    let collection = app.cached(kind).collection();
    let newest = if delta.is_empty() {
        newest(collection.objects().values())
    } else {
        newest(&delta.objects)
    };
    let history = app.configuration_history.load();
    history.statement(app.clock.boot_now(), position, newest)
}
