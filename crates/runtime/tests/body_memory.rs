//! Tests that the memory of bodies goes back to the system; alone, as the whole process is measured.

use std::{fs, sync};

use pimentohook_runtime::body::{BodyBudget, BudgetedBody};

const MAX_BYTES: usize = 8 << 20;
static PIECE: [u8; 64 << 10] = [b'x'; 64 << 10];
const PIECE_COUNTS: [usize; 4] = [64, 40, 48, 56];
const SMALL_BYTES: usize = 1 << 10;
const SMALL_COUNT: usize = 64;
/// What may stay resident besides what is still held.
const SLACK_BYTES: usize = 1 << 20;

/// Returns the resident memory of this process.
fn resident_bytes() -> usize {
    let status = fs::read_to_string("/proc/self/status").expect("the status of this process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<usize>().ok());
    kb.expect("a size") << 10
}

/// Reads a body of so many pieces, and allocates what stays before the body is dropped.
fn read(budget: &sync::Arc<BodyBudget>, pieces: usize, announced_bytes: usize) -> Vec<Vec<u8>> {
    let mut body = BudgetedBody::reserve(budget, announced_bytes).expect("room");
    for _ in 0..pieces {
        assert!(body.push(&PIECE));
    }
    let bytes = body.into_bytes().expect("its room");
    assert_eq!(bytes.len(), pieces * PIECE.len());
    (0..SMALL_COUNT).map(|_| vec![b'y'; SMALL_BYTES]).collect()
}

/// Once a large allocation had been freed, the allocator placed the next ones between small ones.
#[test]
fn the_memory_of_large_bodies_goes_back_to_the_system() {
    let budget = sync::Arc::new(BodyBudget::new(MAX_BYTES));
    let before = resident_bytes();
    let mut small = Vec::new();
    for pieces in PIECE_COUNTS {
        small.push(read(&budget, pieces, pieces * PIECE.len()));
        small.push(read(&budget, pieces, 0));
    }
    let grown = resident_bytes().saturating_sub(before);
    let held_bytes = small.len() * SMALL_COUNT * SMALL_BYTES;
    assert!(grown <= held_bytes + SLACK_BYTES, "{grown} bytes more");
    drop(small);
}
