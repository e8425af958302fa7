//! The rolls that are played, and what callers ask meanwhile.

use std::{fmt, time::Duration};

use pimentohook_core::leaving::Kind;

pub const GAPS: [Duration; 3] = [
    Duration::from_millis(300),
    Duration::from_millis(1_200),
    Duration::from_secs(4),
];
const ENTRY_COUNTS: [usize; 3] = [3, 6, 43];
const EACH_KIND: [Kind; 4] = [
    Kind::Idempotent,
    Kind::NonIdempotent,
    Kind::ResumableStream,
    Kind::Stream,
];
const MOSTLY_STREAMS: [Kind; 4] = [
    Kind::Idempotent,
    Kind::ResumableStream,
    Kind::ResumableStream,
    Kind::ResumableStream,
];
const MIXES: [Mix; 5] = [
    Mix::even(Duration::from_millis(100)),
    Mix::even(Duration::from_secs(1)),
    Mix::even(Duration::from_secs(3)),
    Mix::even(Duration::from_secs(6)),
    Mix {
        plain: Duration::from_millis(100),
        stream: Duration::from_secs(3),
        kinds: &MOSTLY_STREAMS,
    },
];

/// What callers ask, and how long it takes.
#[derive(Clone, Copy, Debug)]
pub struct Mix {
    pub plain: Duration,
    pub stream: Duration,
    pub kinds: &'static [Kind],
}

impl Mix {
    const fn even(answer: Duration) -> Self {
        Self {
            plain: answer,
            stream: answer,
            kinds: &EACH_KIND,
        }
    }

    pub fn answer(&self, kind: Kind) -> Duration {
        if is_stream(kind) {
            self.stream
        } else {
            self.plain
        }
    }
}

impl fmt::Display for Mix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", self.plain)?;
        if self.plain == self.stream {
            return Ok(());
        }
        write!(f, ", streams {:?}", self.stream)
    }
}

pub fn is_stream(kind: Kind) -> bool {
    matches!(kind, Kind::ResumableStream | Kind::Stream)
}

/// Entries that are restarted.
#[derive(Debug)]
pub struct Roll {
    pub entry_count: usize,
    pub per_step: usize,
    pub gap: Duration,
    pub mix: Mix,
}

/// Returns the plays of a kind of roll; a step of 0 is half of the entries.
pub fn rolls(per_step: usize, gaps: &[Duration]) -> Vec<Roll> {
    let mut rolls = Vec::new();
    for entry_count in ENTRY_COUNTS {
        let half = entry_count.div_ceil(2);
        let per_step = if per_step == 0 { half } else { per_step };
        for gap in gaps {
            rolls.extend(MIXES.map(|mix| Roll {
                entry_count,
                per_step,
                gap: *gap,
                mix,
            }));
        }
    }
    rolls
}
