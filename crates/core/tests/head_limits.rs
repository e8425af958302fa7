//! Tests of the limits of heads.

use std::time;

use pimentohook_core::head_limits::{self, HeadLimits, HeadReader, Progress};
use rstest::rstest;

const TIMEOUT: time::Duration = time::Duration::from_secs(5);
const PARTIAL: Progress = Progress::Partial(Some(TIMEOUT));
const HEAD: &str = "GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n\r\n";
const HEADERS: &str = "Host: a\r\nX: b";

fn limits(max_bytes: usize) -> HeadLimits {
    HeadLimits {
        timeout: Some(TIMEOUT),
        max_bytes: Some(max_bytes),
    }
}

/// A head that ends at a split is not taken for the beginning of another one.
#[rstest]
#[case::with_returns(HEAD)]
#[case::without_returns("GET / HTTP/1.1\nHost: a\n\n")]
#[case::after_empty_lines("\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n")]
fn a_head_is_whole_at_its_empty_line_wherever_it_is_split(#[case] head: &str) {
    for split in 0..head.len() {
        let mut reader = HeadReader::default();
        let (first, second) = head.split_at(split);
        let is_begun = first.contains('G');
        let expected = if is_begun { PARTIAL } else { Progress::Between };
        let progress = reader.read(first.as_bytes(), || limits(HEAD.len()));
        assert_eq!(progress, expected, "{split}");
        let progress = reader.read(second.as_bytes(), || limits(HEAD.len()));
        assert_eq!(progress, Progress::Between, "{split}");
    }
}

#[rstest]
#[case::at_the_limit(0, Progress::Between)]
#[case::one_over(1, Progress::TooLarge)]
fn only_the_bytes_of_headers_are_counted(#[case] over: usize, #[case] expected: Progress) {
    for split in 1..HEAD.len() {
        let mut reader = HeadReader::default();
        let sent = format!("{HEAD}and a body");
        let (first, second) = sent.split_at(split);
        let progress = reader.read(first.as_bytes(), || limits(HEADERS.len() - over));
        if progress != PARTIAL {
            assert_eq!(progress, expected, "{split}");
            continue;
        }
        let progress = reader.read(second.as_bytes(), || limits(HEADERS.len() - over));
        assert_eq!(progress, expected, "{split}");
    }
}

#[test]
fn a_head_keeps_the_limits_with_which_it_began() {
    let mut reader = HeadReader::default();
    let (first, second) = HEAD.split_at(20);
    assert_eq!(reader.read(first.as_bytes(), || limits(1_000)), PARTIAL);
    let progress = reader.read(second.as_bytes(), || limits(1));
    assert_eq!(progress, Progress::Between);
    let progress = reader.read(first.as_bytes(), || limits(1));
    assert_eq!(progress, Progress::TooLarge);
}

#[test]
fn an_absurd_timeout_is_never_due() {
    let now = time::Instant::now();
    assert_eq!(head_limits::due(now, now, time::Duration::MAX), None);
    let later = now + TIMEOUT;
    assert_eq!(head_limits::due(now, later, TIMEOUT), Some(later + TIMEOUT));
}
