//! Which candidate gets a request: the one with the lowest score, and the baselines it is compared
//! with.
//!
//! Callers pass a sample of bounded size, so the cost of a choice is bounded as well. Where more
//! than [`EJECTED_PERCENT_MAX`] of the candidates are ejected, the ejected compete like the others,
//! so that a fault that hits everyone ejects no one.

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use super::score;

/// Largest share of candidates that may be left out, in hundredths.
pub const EJECTED_PERCENT_MAX: usize = 50;

const HUNDRED: usize = 100;
const DRAW_COUNT: usize = 2;

/// How a candidate is chosen.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[strum(serialize_all = "snake_case")]
pub enum Policy {
    /// The better of two drawn candidates.
    TwoChoices,
    /// Any candidate.
    Random,
    /// Each in turn.
    RoundRobin,
    /// The one with the lowest score; what entries use.
    LeastScore,
}

/// Chooses one of `candidates`; `None` where there are none.
///
/// `turn` counts the choices made so far.
pub fn choose<R>(
    policy: Policy,
    candidates: &[&score::UpstreamStats],
    now_ms: u64,
    turn: usize,
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
        Policy::RoundRobin => Some(turn % count),
        Policy::LeastScore => least_healthy(candidates, &(0..count).collect::<Vec<_>>(), now_ms),
        Policy::TwoChoices => two_choices(candidates, now_ms, rng),
    }
}

fn two_choices<R>(candidates: &[&score::UpstreamStats], now_ms: u64, rng: &mut R) -> Option<usize>
where
    R: Rng,
{
    let drawn: Vec<usize> = (0..DRAW_COUNT)
        .map(|_| rng.random_range(0..candidates.len()))
        .collect();
    least_healthy(candidates, &drawn, now_ms)
}

/// Leaves ejected candidates out, unless too many of them are.
fn least_healthy(
    candidates: &[&score::UpstreamStats],
    drawn: &[usize],
    now_ms: u64,
) -> Option<usize> {
    let healthy = |index: &usize| !candidates[*index].is_ejected(now_ms);
    let kept: Vec<usize> = drawn.iter().copied().filter(healthy).collect();
    let ejected = drawn.len() - kept.len();
    let too_many = ejected * HUNDRED > drawn.len() * EJECTED_PERCENT_MAX;
    let pool = if too_many { drawn } else { &kept };
    least(candidates, pool.iter().copied())
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
