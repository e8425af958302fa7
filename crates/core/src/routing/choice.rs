//! Which candidate gets a request: power of two choices, and the baselines it is compared with.
//!
//! The cost of a choice does not grow with the number of candidates: it draws a fixed number of
//! them. Where ejections would leave nobody, or more than [`EJECTED_SHARE_MAX`] of a draw, the
//! ejected compete like the others, so that a fault that hits everyone ejects no one.

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use super::score;

/// Largest share of candidates that may be left out of a draw.
pub const EJECTED_SHARE_MAX: f64 = 0.5;

const DRAW_COUNT: usize = 4;

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
    /// The one with the lowest score of all; its cost grows with the candidates.
    LeastScore,
}

/// Chooses one of `candidates`; `None` where there are none.
///
/// `turn` counts the choices made so far.
pub fn choose<R>(
    policy: Policy,
    candidates: &[&score::Record],
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
        Policy::LeastScore => least(candidates, 0..count),
        Policy::TwoChoices => two_choices(candidates, now_ms, rng),
    }
}

fn two_choices<R>(candidates: &[&score::Record], now_ms: u64, rng: &mut R) -> Option<usize>
where
    R: Rng,
{
    let drawn: Vec<usize> = (0..DRAW_COUNT)
        .map(|_| rng.random_range(0..candidates.len()))
        .collect();
    let healthy = |index: &usize| !candidates[*index].is_ejected(now_ms);
    let kept: Vec<usize> = drawn.iter().copied().filter(healthy).collect();
    let ejected = drawn.len() - kept.len();
    let too_many = (ejected * 100) > (drawn.len() * EJECTED_PERCENT_MAX);
    let pool = if too_many { &drawn } else { &kept };
    least(candidates, pool.iter().copied().take(2))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a share between 0 and 1"
)]
const EJECTED_PERCENT_MAX: usize = (EJECTED_SHARE_MAX * 100.0) as usize;

fn least<I>(candidates: &[&score::Record], indexes: I) -> Option<usize>
where
    I: Iterator<Item = usize>,
{
    indexes.min_by(|left, right| {
        let left = candidates[*left].score();
        let right = candidates[*right].score();
        left.total_cmp(&right)
    })
}
