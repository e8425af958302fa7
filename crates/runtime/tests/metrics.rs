//! Metrics that are kept until they are read.

use cadence::{Counted as _, Timed as _};
use pimentohook_runtime::metrics;

#[test]
fn counters_add_up_and_latencies_have_quantiles() {
    let kept = metrics::Registry::default();
    let client = kept.client("entry");
    for latency_ms in 1..=100 {
        client.count("answered", 2).expect("it is kept");
        client.time("first_byte", latency_ms).expect("it is kept");
    }
    assert!(client.count("refused", -1).is_err(), "a counter only grows");
    insta::assert_snapshot!(kept.to_text());
}
