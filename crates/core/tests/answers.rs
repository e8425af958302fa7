//! P2: an answer put together from pieces that are late, repeated or missing is whole or an error.

use pimentohook_core::{id, response};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn what_is_passed_on_is_a_prefix_and_the_end_is_believed_only_when_whole(
        content in prop::collection::vec(any::<u8>(), 0..200),
        other in prop::collection::vec(any::<u8>(), 0..200),
        pieces in prop::collection::vec((any::<prop::sample::Index>(), 0_usize..60), 0..40),
    ) {
        let mut assembler = response::ResponseAssembler::new();
        let mut passed_on = Vec::new();
        for (start, length) in pieces {
            let start = start.index(content.len() + 1);
            let end = (start + length).min(content.len());
            if let Ok(fresh) = assembler.accept(start as u64, &content[start..end]) {
                passed_on.extend_from_slice(fresh);
            }
            prop_assert_eq!(&passed_on[..], &content[..passed_on.len()]);
        }
        let length = content.len() as u64;
        let ended = assembler.check_end(length, id::Digest::of(&content));
        prop_assert_eq!(ended.is_ok(), passed_on == content);
        // The end of another answer, late on this one's connection, is not taken for its own.
        if other != content {
            let foreign = assembler.check_end(other.len() as u64, id::Digest::of(&other));
            prop_assert!(foreign.is_err() || passed_on == other);
        }
    }
}
