//! The burn, computed from the counts of all entries.

use indexmap::IndexMap;

use super::{BurnReport, EntryCounts, MinuteCount, Objective, Series, ServiceBurn, WindowBurn};
use crate::id;

/// The windows in minutes, shortest first.
pub const WINDOWS_MINUTES: [u64; 3] = [5, 60, 360];

const MILLION: f64 = 1_000_000.0;
const HUNDRED: f64 = 100.0;

/// Computes the burn of all services.
///
/// `heard` are the counts of the entries that answered, by name; `missing` names the others.
#[must_use]
pub fn burn(
    objectives: &IndexMap<id::ServiceName, Objective>,
    heard: &IndexMap<String, EntryCounts>,
    missing: &[String],
) -> BurnReport {
    let services = objectives
        .iter()
        .map(|(service, objective)| service_burn(service, *objective, heard));
    BurnReport {
        services: services.collect(),
        entries_heard: heard.keys().cloned().collect(),
        entries_missing: missing.to_vec(),
    }
}

fn service_burn(
    service: &id::ServiceName,
    objective: Objective,
    heard: &IndexMap<String, EntryCounts>,
) -> ServiceBurn {
    let series: Vec<&Series> = heard
        .values()
        .filter_map(|counts| counts.services.get(service))
        .collect();
    let lived = heard.values().map(|counts| counts.lived_minutes).min();
    let lived = lived.unwrap_or(0);
    let windows = WINDOWS_MINUTES.map(|minutes| {
        let total = sum(&series, minutes);
        window_burn(minutes, total, objective, lived >= minutes)
    });
    let longest = windows.last().and_then(|window| window.availability_burn);
    ServiceBurn {
        service: service.clone(),
        objective,
        budget_left_percent: longest.map(|burn| (1.0 - burn) * HUNDRED),
        windows: windows.into(),
        p50_ms: quantile(&series, 0.5),
        p99_ms: quantile(&series, 0.99),
    }
}

fn sum(series: &[&Series], minutes: u64) -> MinuteCount {
    let minutes = usize::try_from(minutes).unwrap_or(usize::MAX);
    let latest = series
        .iter()
        .flat_map(|one| one.minutes.iter().rev().take(minutes));
    latest.fold(MinuteCount::default(), |total, one| MinuteCount {
        answered_count: total.answered_count + one.answered_count,
        fast_count: total.fast_count + one.fast_count,
        failed_count: total.failed_count + one.failed_count,
    })
}

fn window_burn(
    window_minutes: u64,
    total: MinuteCount,
    objective: Objective,
    covered: bool,
) -> WindowBurn {
    let request_count = total.answered_count + total.failed_count;
    let slow_count = total.answered_count - total.fast_count;
    WindowBurn {
        window_minutes,
        request_count,
        availability_burn: rate(
            total.failed_count,
            request_count,
            objective.availability_ppm,
        ),
        latency_burn: rate(slow_count, total.answered_count, objective.latency_ppm),
        covered,
    }
}

/// Returns the share of bad events as a multiple of the share allowed.
#[expect(clippy::cast_precision_loss, reason = "a ratio for people to read")]
fn rate(bad_count: u64, count: u64, good_ppm: u32) -> Option<f64> {
    if count == 0 {
        return None;
    }
    let allowed = (MILLION - f64::from(good_ppm)).max(1.0) / MILLION;
    Some(bad_count as f64 / count as f64 / allowed)
}

#[expect(clippy::cast_precision_loss, reason = "a rank among counts")]
fn quantile(series: &[&Series], share: f64) -> Option<u64> {
    let mut pairs: Vec<(u64, u64)> = series
        .iter()
        .flat_map(|one| one.latencies.iter().copied())
        .collect();
    pairs.sort_unstable();
    let total: u64 = pairs.iter().map(|(_, count)| count).sum();
    let rank = total as f64 * share;
    let mut passed = 0;
    for (value_ms, count) in pairs {
        passed += count;
        if passed as f64 >= rank {
            return Some(value_ms);
        }
    }
    None
}
