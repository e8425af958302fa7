//! Tests of the buffers of responses.

use std::time::{Duration, Instant};

use pimentohook_agent::responses::{End, Responses};
use pimentohook_core::{id, size};

/// Responses that were removed for another reason changed the order, so that the newest response was
/// dropped instead of the oldest.
#[test]
fn the_oldest_response_is_dropped_first_after_another_one_was_removed() {
    let now = Instant::now();
    let responses = Responses::new(size::ByteCount::new(10), Duration::from_mins(1));
    let request_ids: Vec<id::RequestId> = (1..=3)
        .map(|number| format!("request-{number}").parse().expect("an id"))
        .collect();
    for request_id in &request_ids {
        let response = responses.open(request_id);
        response.push(b"ten bytes!");
        response.end(now, End::Complete);
    }
    responses.remove(&request_ids[0]);
    responses.evict(now);
    let is_buffered = request_ids.iter().map(|id| responses.get(id).is_some());
    assert_eq!(is_buffered.collect::<Vec<_>>(), [false, false, true]);
}
