//! Sets of chunk numbers, stored as bit sets.

use serde::{Deserialize, Serialize};

const WORD_BITS: u32 = 64;

/// A set of chunk numbers below a fixed count.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkSet {
    count: u32,
    words: Vec<u64>,
}

impl ChunkSet {
    /// Creates an empty set over `count` chunks.
    #[must_use]
    pub fn new(count: u32) -> Self {
        let words = count.div_ceil(WORD_BITS) as usize;
        Self {
            count,
            words: vec![0; words],
        }
    }

    /// Creates the set of all `count` chunks.
    #[must_use]
    pub fn full(count: u32) -> Self {
        let mut set = Self::new(count);
        (0..count).for_each(|chunk| set.insert(chunk));
        set
    }

    /// Adds a chunk; a number outside the range is ignored.
    pub fn insert(&mut self, chunk: u32) {
        if chunk < self.count {
            self.words[(chunk / WORD_BITS) as usize] |= 1 << (chunk % WORD_BITS);
        }
    }

    /// Removes a chunk.
    pub fn remove(&mut self, chunk: u32) {
        if chunk < self.count {
            self.words[(chunk / WORD_BITS) as usize] &= !(1 << (chunk % WORD_BITS));
        }
    }

    /// Returns whether a chunk is in the set.
    #[must_use]
    pub fn contains(&self, chunk: u32) -> bool {
        let word = self.words.get((chunk / WORD_BITS) as usize);
        chunk < self.count && word.is_some_and(|word| word >> (chunk % WORD_BITS) & 1 == 1)
    }

    /// Returns the number of chunks that the set can contain.
    #[must_use]
    pub const fn range(&self) -> u32 {
        self.count
    }

    /// Returns the number of chunks in the set.
    #[must_use]
    pub fn len(&self) -> u32 {
        self.words.iter().map(|word| word.count_ones()).sum()
    }

    /// Returns whether the set is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.words.iter().all(|word| *word == 0)
    }

    /// Returns whether every chunk is in the set.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.len() == self.count
    }

    /// Iterates over the chunks of this set that are not in `other`.
    pub fn difference<'a>(&'a self, other: &'a Self) -> impl Iterator<Item = u32> + 'a {
        let words = self.words.iter().enumerate();
        words.flat_map(move |(index, word)| {
            let base = u32::try_from(index).unwrap_or(u32::MAX) * WORD_BITS;
            let other_word = other.words.get(index).copied().unwrap_or(0);
            set_bits(word & !other_word).map(move |bit| base + bit)
        })
    }

    /// Returns whether this set has a chunk that is not in `other`.
    #[must_use]
    pub fn exceeds(&self, other: &Self) -> bool {
        let pairs = self.words.iter().zip(&other.words);
        pairs
            .into_iter()
            .any(|(word, other_word)| word & !other_word != 0)
    }

    /// Iterates over the chunks in the set.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        let words = self.words.iter().enumerate();
        words.flat_map(|(index, word)| {
            let base = u32::try_from(index).unwrap_or(u32::MAX) * WORD_BITS;
            set_bits(*word).map(move |bit| base + bit)
        })
    }
}

fn set_bits(mut word: u64) -> impl Iterator<Item = u32> {
    std::iter::from_fn(move || {
        if word == 0 {
            return None;
        }
        let bit = word.trailing_zeros();
        word &= word - 1;
        Some(bit)
    })
}
