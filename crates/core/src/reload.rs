//! How an engine is made to load a version again that it holds already.
//!
//! An engine does nothing for an order that is in effect. So it is ordered to hold half of the layers
//! only, which drops the others, then all layers, which loads those again, and the same for the other
//! half. Whether it does so is taken from its reports alone.
//!
//! ```
//! use pimentohook_core::reload;
//!
//! let mut reload = reload::Reload::new(16);
//! assert_eq!(reload.next_order(&(0..16)), Some(8..16));
//! reload.record_held(&(8..16), true);
//! assert_eq!(reload.next_order(&(8..16)), Some(0..16));
//! reload.record_held(&(0..16), true);
//! assert_eq!(reload.next_order(&(0..16)), Some(0..8));
//! ```

use std::ops;

/// The number of orders after which it is given up: an engine that does as ordered needs four, and
/// some may be lost.
const ORDERS_MAX: u32 = 32;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Half {
    Lower,
    Upper,
}

/// A reload of all layers.
#[derive(Clone, Debug)]
pub struct Reload {
    layer_count: u32,
    /// The halves that are still to be loaded again.
    remaining: Vec<Half>,
    /// The half that the engine holds no longer.
    dropped: Option<Half>,
    order_count: u32,
}

impl Reload {
    /// Begins to reload a model of so many layers. One of a single layer can't be loaded again.
    #[must_use]
    pub fn new(layer_count: u32) -> Self {
        Self {
            layer_count,
            remaining: vec![Half::Lower, Half::Upper],
            dropped: None,
            order_count: 0,
        }
    }

    /// Records the layers that the engine holds, and whether its last load is vouched for.
    pub fn record_held(&mut self, held: &ops::Range<u32>, is_vouched: bool) {
        if self.is_all(held) {
            if let Some(loaded) = self.dropped.take().filter(|_| is_vouched) {
                self.remaining.retain(|half| *half != loaded);
            }
        } else if *held == self.kept_without(Half::Lower) {
            self.dropped = Some(Half::Lower);
        } else if *held == self.kept_without(Half::Upper) {
            self.dropped = Some(Half::Upper);
        }
    }

    /// Returns the layers that the engine is to be ordered to hold next; `None` if all are loaded
    /// again, or it does not do as ordered.
    #[must_use]
    pub fn next_order(&self, held: &ops::Range<u32>) -> Option<ops::Range<u32>> {
        if self.order_count >= ORDERS_MAX || self.layer_count < 2 {
            return None;
        }
        let half = self.remaining.first()?;
        if self.is_all(held) {
            Some(self.kept_without(*half))
        } else {
            Some(self.all())
        }
    }

    /// Records that an order is sent.
    pub const fn record_order(&mut self) {
        self.order_count += 1;
    }

    /// Returns whether all layers are loaded again.
    #[must_use]
    pub const fn is_done(&self) -> bool {
        self.remaining.is_empty()
    }

    /// Returns whether these are all layers.
    #[must_use]
    pub fn is_all(&self, layers: &ops::Range<u32>) -> bool {
        *layers == self.all()
    }

    fn all(&self) -> ops::Range<u32> {
        0..self.layer_count
    }

    fn kept_without(&self, half: Half) -> ops::Range<u32> {
        let middle = self.layer_count / 2;
        match half {
            Half::Lower => middle..self.layer_count,
            Half::Upper => 0..middle,
        }
    }
}
