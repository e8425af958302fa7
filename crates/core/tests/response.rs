//! P2: a response reassembled from late, repeated or missing pieces is either complete or an error.

use pimentohook_core::{id, response};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn accepted_bytes_are_a_prefix_and_the_end_is_accepted_only_if_complete(
        content in prop::collection::vec(any::<u8>(), 0..200),
        other in prop::collection::vec(any::<u8>(), 0..200),
        pieces in prop::collection::vec((any::<prop::sample::Index>(), 0_usize..60), 0..40),
    ) {
        let mut assembler = response::ResponseAssembler::new();
        let mut accepted = Vec::new();
        for (start, length) in pieces {
            let start = start.index(content.len() + 1);
            let end = (start + length).min(content.len());
            if let Ok(new_bytes) = assembler.accept(start as u64, &content[start..end]) {
                accepted.extend_from_slice(new_bytes);
            }
            prop_assert_eq!(&accepted[..], &content[..accepted.len()]);
        }
        let length = content.len() as u64;
        let end_result = assembler.check_end(length, id::Digest::of(&content));
        prop_assert_eq!(end_result.is_ok(), accepted == content);
        // The end of another response that arrives late on the same connection is rejected.
        if other != content {
            let other_end_result = assembler.check_end(other.len() as u64, id::Digest::of(&other));
            prop_assert!(other_end_result.is_err() || accepted == other);
        }
    }
}
