//! Guards against load orders for chunks that were read back too long before.

use std::time::Duration;

use pimentohook_core::{clock::BootInstant, read_back};
use rstest::rstest;

/// The rule excuses a chunk that turned bad in the last 3 s before it was taken.
const EXCUSED: Duration = Duration::from_secs(3);

#[rstest]
#[case(0, true)]
#[case(1_700, true)]
#[case(1_800, false)]
#[case(3_000, false)]
#[case(4_000, false)]
fn an_order_is_sent_only_soon_after_the_first_read(#[case] age_ms: u64, #[case] expected: bool) {
    let began_at = BootInstant::from_boot(Duration::from_secs(100));
    let age = Duration::from_millis(age_ms);
    let read_back = read_back::ReadBack::begin(began_at);
    assert_eq!(read_back.may_order(began_at + age), expected);
    if expected {
        assert!(age + read_back::ORDER_TIMEOUT < EXCUSED);
    }
}
