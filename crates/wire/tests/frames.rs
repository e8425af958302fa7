//! Tests that the frame decoder yields the same frames however a stream is split, and that no input
//! makes it panic.

use bytes::Bytes;
use pimentohook_wire::frames::{Decoder, FRAME_MAX_BYTES, Frame};
use proptest::prelude::*;

fn frame() -> impl Strategy<Value = Frame> {
    prop_oneof![
        Just(Frame::KeepAlive),
        (any::<u64>(), prop::collection::vec(any::<u8>(), 0..100)).prop_map(
            |(offset_bytes, bytes)| Frame::Data {
                offset_bytes,
                bytes: Bytes::from(bytes),
            }
        ),
        ".{0,40}".prop_map(|reason| Frame::Failed { reason }),
    ]
}

proptest! {
    #[test]
    fn frames_do_not_depend_on_how_the_stream_is_split(
        frames in prop::collection::vec(frame(), 0..10),
        piece_lengths in prop::collection::vec(1_usize..50, 1..20),
    ) {
        let mut stream = Vec::new();
        for frame in &frames {
            stream.extend_from_slice(&frame.to_bytes().expect("frames encode"));
        }
        let mut decoder = Decoder::new();
        let mut decoded = Vec::new();
        let mut remaining = &stream[..];
        for piece_length in piece_lengths.iter().cycle() {
            let (piece, tail) = remaining.split_at((*piece_length).min(remaining.len()));
            decoder.push(piece);
            while let Some(frame) = decoder.try_next::<Frame>().expect("frames decode") {
                decoded.push(frame);
            }
            remaining = tail;
            if remaining.is_empty() {
                break;
            }
        }
        prop_assert_eq!(decoded, frames);
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..400),
    ) {
        let mut decoder = Decoder::new();
        decoder.push(&bytes);
        while let Ok(Some(_)) = decoder.try_next::<Frame>() {}
    }
}

#[test]
fn a_frame_beyond_the_limit_is_rejected_before_its_body_arrives() {
    let mut decoder = Decoder::new();
    let length = u32::try_from(FRAME_MAX_BYTES + 1).expect("fits");
    decoder.push(&length.to_le_bytes());
    assert!(decoder.try_next::<Frame>().is_err());
}

/// The receiver would refuse the frame and could not decode the rest of the stream.
#[test]
fn the_sender_refuses_a_frame_that_is_longer_than_allowed() {
    let frame = |length: usize| Frame::Data {
        offset_bytes: 0,
        bytes: Bytes::from(vec![0; length]),
    };
    let longest = FRAME_MAX_BYTES - 100;
    assert!(frame(longest).to_bytes().is_ok());
    let refused = frame(FRAME_MAX_BYTES).to_bytes();
    assert!(
        matches!(
            refused,
            Err(pimentohook_wire::CodecError::FrameTooLong { .. })
        ),
        "the frame was encoded"
    );
}
