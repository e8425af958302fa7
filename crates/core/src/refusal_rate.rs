//! When callers that were refused are told to come back.
//!
//! The load it answers: engines that are out while weights go in, or too few of them. A caller
//! comes back once. Where hardly anybody is refused it finds room at once, and its first token may
//! still come in time. Where many are, one that came back soon would be refused again, so it is
//! sent away until the others have been served, each for a time of its own.

use std::{sync::atomic, time};

/// Refusals are counted over this many slots of time.
const SLOT_COUNT: u32 = 4;
const SLOT_MS: u64 = 250;

/// Below this share of refusals, in hundredths, there is room again at once.
const LIGHT_PERCENT: u32 = 8;
/// At this share of refusals callers are sent away for as long as they may be.
const HEAVY_PERCENT: u32 = 25;

const SOON: time::Duration = time::Duration::from_millis(60);
const LATE_MIN: time::Duration = time::Duration::from_millis(500);
const LATE_MAX: time::Duration = time::Duration::from_secs(2);

/// Callers wait no longer than this part of their time, as a divisor.
const WAIT_DIVISOR: u32 = 3;
/// The part of a time that is drawn, in hundredths, so that callers do not return together.
const SPREAD_PERCENT: u32 = 30;
const HUNDRED: u32 = 100;

/// How many requests of one service were lately refused, of those that came.
#[derive(Debug, Default)]
pub struct RefusalRate {
    slots: [atomic::AtomicU64; SLOT_COUNT as usize],
}

/// What came within one slot of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Slot {
    /// Which slot of time it is, since the process began.
    index: u32,
    offered: u16,
    refused: u16,
}

impl Slot {
    fn unpack(packed: u64) -> Self {
        let [_, _, _, _, offered @ .., refused_high, refused_low] = packed.to_be_bytes();
        Self {
            index: u32::try_from(packed >> 32).unwrap_or(u32::MAX),
            offered: u16::from_be_bytes(offered),
            refused: u16::from_be_bytes([refused_high, refused_low]),
        }
    }

    fn pack(self) -> u64 {
        u64::from(self.index) << 32 | u64::from(self.offered) << 16 | u64::from(self.refused)
    }
}

fn slot_index(now_ms: u64) -> u32 {
    u32::try_from(now_ms / SLOT_MS).unwrap_or(u32::MAX)
}

impl RefusalRate {
    /// Records that a request was served or refused, `now_ms` after the process began.
    pub fn record(&self, now_ms: u64, is_refused: bool) {
        let index = slot_index(now_ms);
        let slot = &self.slots[(index % SLOT_COUNT) as usize];
        let count = |packed| {
            let mut known = Slot::unpack(packed);
            if known.index != index {
                known = Slot {
                    index,
                    ..Slot::default()
                };
            }
            known.offered = known.offered.saturating_add(1);
            known.refused = known.refused.saturating_add(u16::from(is_refused));
            Some(known.pack())
        };
        let ordering = atomic::Ordering::Relaxed;
        // The closure always gives a value, so this can't fail.
        let _ = slot.fetch_update(ordering, ordering, count);
    }

    /// Returns the share of requests that were refused within the last second, in hundredths.
    #[must_use]
    pub fn refused_percent(&self, now_ms: u64) -> u32 {
        let newest = slot_index(now_ms);
        let slots = self.slots.iter();
        let slots = slots.map(|slot| Slot::unpack(slot.load(atomic::Ordering::Relaxed)));
        let recent = slots.filter(|slot| newest.saturating_sub(slot.index) < SLOT_COUNT);
        let (offered, refused) = recent.fold((0, 0), |(offered, refused), slot| {
            (
                offered + u32::from(slot.offered),
                refused + u32::from(slot.refused),
            )
        });
        (refused * HUNDRED).checked_div(offered).unwrap_or(0)
    }

    /// Returns when a caller that is refused now is to come back.
    ///
    /// `remaining` is what is left of its time and `draw` a number drawn evenly from 0 to 1.
    #[must_use]
    pub fn retry_after(&self, now_ms: u64, remaining: time::Duration, draw: f64) -> time::Duration {
        let percent = self.refused_percent(now_ms);
        let longest = if percent < LIGHT_PERCENT {
            SOON
        } else {
            let share = f64::from(percent.min(HEAVY_PERCENT)) / f64::from(HEAVY_PERCENT);
            LATE_MIN + LATE_MAX.saturating_sub(LATE_MIN).mul_f64(share)
        };
        let spread = longest * SPREAD_PERCENT / HUNDRED;
        let drawn = longest.saturating_sub(spread.mul_f64(draw.clamp(0.0, 1.0)));
        drawn.min(remaining / WAIT_DIVISOR)
    }
}
