//! Selects the candidate that receives a request: the one with the lowest score, or one of the
//! baseline policies that it is compared with.
//!
//! Callers pass a sample of bounded size, which bounds the cost of a choice. If more than
//! [`EJECTED_PERCENT_MAX`] of the candidates are ejected, ejection is ignored, so that a fault that
//! affects every upstream excludes none of them.

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use super::score;

/// Largest share of candidates that may be excluded by ejection, in percent.
pub const EJECTED_PERCENT_MAX: usize = 50;

const PERCENT_SCALE: usize = 100;
const TWO_CHOICES_COUNT: usize = 2;

/// How a candidate is selected.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[strum(serialize_all = "snake_case")]
pub enum Policy {
    /// The candidate with the lower score of two drawn at random.
    TwoChoices,
    /// A candidate drawn at random.
    Random,
    /// Each candidate in turn.
    RoundRobin,
    /// The candidate with the lowest score; this is what entries use.
    LeastScore,
}

/// Returns the index of the selected candidate, or `None` if there are no candidates.
///
/// `choice_count` is the number of choices made so far; only [`Policy::RoundRobin`] uses it.
pub fn choose<R>(
    policy: Policy,
    candidates: &[&score::UpstreamStats],
    now_ms: u64,
    choice_count: usize,
    rng: &mut R,
) -> Option<usize>
where
    R: Rng,
{
    if candidates.is_empty() {
        return None;
    }
    let count = candidates.len();
    match policy {
        Policy::Random => Some(rng.random_range(0..count)),
        Policy::RoundRobin => Some(choice_count % count),
        Policy::LeastScore => least_healthy(candidates, &(0..count).collect::<Vec<_>>(), now_ms),
        Policy::TwoChoices => two_choices(candidates, now_ms, rng),
    }
}

fn two_choices<R>(candidates: &[&score::UpstreamStats], now_ms: u64, rng: &mut R) -> Option<usize>
where
    R: Rng,
{
    let drawn: Vec<usize> = (0..TWO_CHOICES_COUNT)
        .map(|_| rng.random_range(0..candidates.len()))
        .collect();
    least_healthy(candidates, &drawn, now_ms)
}

/// Returns the drawn candidate with the lowest score. Ejected candidates are excluded unless there
/// are too many of them.
fn least_healthy(
    candidates: &[&score::UpstreamStats],
    drawn: &[usize],
    now_ms: u64,
) -> Option<usize> {
    let is_healthy = |index: &usize| !candidates[*index].is_ejected(now_ms);
    let healthy: Vec<usize> = drawn.iter().copied().filter(is_healthy).collect();
    let ejected = drawn.len() - healthy.len();
    let too_many = ejected * PERCENT_SCALE > drawn.len() * EJECTED_PERCENT_MAX;
    let eligible = if too_many { drawn } else { &healthy };
    least(candidates, eligible.iter().copied())
}

fn least<I>(candidates: &[&score::UpstreamStats], indexes: I) -> Option<usize>
where
    I: Iterator<Item = usize>,
{
    indexes.min_by(|left, right| {
        let left = candidates[*left].score();
        let right = candidates[*right].score();
        left.total_cmp(&right)
    })
}
