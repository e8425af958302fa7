//! Tests of the metrics registry.

use cadence::{Counted as _, Timed as _};
use pimentohook_runtime::metrics;

#[test]
fn counters_are_summed_and_latencies_have_quantiles() {
    let registry = metrics::Registry::default();
    let client = registry.client("entry");
    for latency_ms in 1..=100 {
        client.count("answered", 2).expect("the metric is recorded");
        client
            .time("first_byte", latency_ms)
            .expect("the metric is recorded");
    }
    assert!(client.count("refused", -1).is_err(), "a counter only grows");
    insta::assert_snapshot!(registry.to_text());
}
