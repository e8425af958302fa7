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

#[test]
fn a_gauge_has_the_value_that_was_set_last() {
    let registry = metrics::Registry::default();
    let client = registry.client("entry");
    metrics::Registry::set(&client, "store_era", 7);
    metrics::Registry::set(&client, "store_era", 3);
    assert_eq!(registry.to_text(), "entry_store_era 3\n");
}
