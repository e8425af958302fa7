//! Burn rates, computed from the counts of all entries.

use indexmap::IndexMap;

use super::{BurnReport, EntryCounts, MinuteCount, Objective, Series, ServiceBurn, WindowBurn};
use crate::id;

/// The lengths of the windows in minutes, shortest first.
pub const WINDOWS_MINUTES: [u64; 3] = [5, 60, 360];

const PPM_SCALE: f64 = 1_000_000.0;
const PERCENT_SCALE: f64 = 100.0;

/// Computes the burn rates of all services.
///
/// `counts` are the counts by the names of the entries that responded; `missing` are the names of
/// the others.
#[must_use]
pub fn burn(
    objectives: &IndexMap<id::ServiceName, Objective>,
    counts: &IndexMap<String, EntryCounts>,
    missing: &[String],
) -> BurnReport {
    let services = objectives
        .iter()
        .map(|(service, objective)| service_burn(service, *objective, counts));
    BurnReport {
        services: services.collect(),
        entries_heard: counts.keys().cloned().collect(),
        entries_missing: missing.to_vec(),
    }
}

fn service_burn(
    service: &id::ServiceName,
    objective: Objective,
    counts: &IndexMap<String, EntryCounts>,
) -> ServiceBurn {
    let series: Vec<&Series> = counts
        .values()
        .filter_map(|entry| entry.services.get(service))
        .collect();
    let uptime_minutes = counts.values().map(|entry| entry.lived_minutes).min();
    let uptime_minutes = uptime_minutes.unwrap_or(0);
    let windows = WINDOWS_MINUTES.map(|minutes| {
        let total = sum(&series, minutes);
        window_burn(minutes, total, objective, uptime_minutes >= minutes)
    });
    let longest = windows.last().and_then(|window| window.availability_burn);
    ServiceBurn {
        service: service.clone(),
        objective,
        budget_left_percent: longest.map(|burn| (1.0 - burn) * PERCENT_SCALE),
        windows: windows.into(),
        p50_ms: quantile(&series, 0.5),
        p99_ms: quantile(&series, 0.99),
    }
}

fn sum(series: &[&Series], minutes: u64) -> MinuteCount {
    let minutes = usize::try_from(minutes).unwrap_or(usize::MAX);
    let latest = series
        .iter()
        .flat_map(|series| series.minutes.iter().rev().take(minutes));
    latest.fold(MinuteCount::default(), |total, minute| MinuteCount {
        answered_count: total.answered_count + minute.answered_count,
        fast_count: total.fast_count + minute.fast_count,
        failed_count: total.failed_count + minute.failed_count,
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
        availability_burn: burn_rate(
            total.failed_count,
            request_count,
            objective.availability_ppm,
        ),
        latency_burn: burn_rate(slow_count, total.answered_count, objective.latency_ppm),
        covered,
    }
}

/// Returns the burn rate: the share of bad requests as a multiple of the allowed share.
#[expect(clippy::cast_precision_loss, reason = "a ratio for display")]
fn burn_rate(bad_count: u64, count: u64, good_ppm: u32) -> Option<f64> {
    if count == 0 {
        return None;
    }
    let allowed = (PPM_SCALE - f64::from(good_ppm)).max(1.0) / PPM_SCALE;
    Some(bad_count as f64 / count as f64 / allowed)
}

#[expect(clippy::cast_precision_loss, reason = "a rank among counts")]
fn quantile(series: &[&Series], share: f64) -> Option<u64> {
    let mut pairs: Vec<(u64, u64)> = series
        .iter()
        .flat_map(|series| series.latencies.iter().copied())
        .collect();
    pairs.sort_unstable();
    let total: u64 = pairs.iter().map(|(_, count)| count).sum();
    let rank = total as f64 * share;
    let mut cumulative_count = 0;
    for (value_ms, count) in pairs {
        cumulative_count += count;
        if cumulative_count as f64 >= rank {
            return Some(value_ms);
        }
    }
    None
}
