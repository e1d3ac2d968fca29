//! Tests the frame decoder on arbitrary bytes and on the output of the encoder.
#![allow(clippy::unwrap_used)]

use aspenrail::{
    link::{FrameDecoder, FrameError, encode_frame},
    prelude::*,
};
use proptest::prelude::*;

const MAX_BYTES: usize = 4_096;

fn envelope(number: u64, text: &str) -> Envelope {
    let command = PublishCommand {
        team: text.into(),
        key: "k".into(),
        subject: "s".into(),
        body: text.into(),
    };
    let operation = Operation::Propose(Command::Publish(command));
    let reply_to = "127.0.0.1:1".parse().unwrap();
    let message = Message::ControlRequest(ControlRequest { id: number, reply_to, operation });
    Envelope { in_force: Revision(number), message }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn any_bytes_are_refused_or_decoded_without_harm(data in proptest::collection::vec(any::<u8>(), 0..600), split_index in 0_usize..600) {
        let mut frames = FrameDecoder::new(MAX_BYTES);
        let split_index = split_index.min(data.len());
        for chunk in [&data[..split_index], &data[split_index..]] {
            frames.push(chunk);
            while let Ok(Some(_)) = frames.next_frame::<Envelope>() {}
        }
    }

    #[test]
    fn frames_survive_any_split(texts in proptest::collection::vec("[a-z]{0,40}", 1..6), step in 1_usize..50) {
        let sent: Vec<_> = texts.iter().enumerate().map(|(index, it)| envelope(index as u64, it)).collect();
        let stream: Vec<u8> = sent.iter().flat_map(|it| encode_frame(it, MAX_BYTES).unwrap().to_vec()).collect();
        let mut frames = FrameDecoder::new(MAX_BYTES);
        let mut received = Vec::new();
        for chunk in stream.chunks(step) {
            frames.push(chunk);
            while let Some(message) = frames.next_frame::<Envelope>().unwrap() {
                received.push(message);
            }
        }
        prop_assert_eq!(received, sent);
    }

    #[test]
    fn flipped_byte_never_panics(index in 0_usize..200, mask in 1_u8..=255) {
        let mut data = encode_frame(&envelope(7, "text"), MAX_BYTES).unwrap().to_vec();
        let index = index % data.len();
        data[index] ^= mask;
        let mut frames = FrameDecoder::new(MAX_BYTES);
        frames.push(&data);
        while let Ok(Some(_)) = frames.next_frame::<Envelope>() {}
    }
}

#[test]
fn frame_larger_than_allowed_is_refused_on_both_sides() {
    let text = "x".repeat(MAX_BYTES);
    let large = envelope(1, &text);
    assert!(matches!(encode_frame(&large, MAX_BYTES), Err(FrameError::TooLarge { .. })));
    let mut frames = FrameDecoder::new(MAX_BYTES);
    frames.push(&encode_frame(&large, 1 << 20).unwrap()[..8]);
    assert!(matches!(frames.next_frame::<Envelope>(), Err(FrameError::TooLarge { .. })));
}

#[test]
fn bytes_left_over_are_refused() {
    let mut data = encode_frame(&envelope(1, "a"), MAX_BYTES).unwrap().to_vec();
    data.push(0);
    data[0] += 1;
    let mut frames = FrameDecoder::new(MAX_BYTES);
    frames.push(&data);
    assert!(matches!(frames.next_frame::<Envelope>(), Err(FrameError::Undecodable(_))));
}

/// Enums of the schema must round-trip through `bincode`, which cannot decode untagged enums.
#[test]
fn every_shape_of_enum_survives() {
    let messages = [
        Message::NotLeader(None),
        Message::NotLeader(Some("[::1]:9".parse().unwrap())),
        Message::ControlReply(ControlReply {
            id: 1,
            result: ControlResult::Refused(refusal(ErrorKind::Internal, "x")),
        }),
        Message::ControlReply(ControlReply { id: 1, result: ControlResult::Ok(Reply::Done) }),
    ];
    for message in messages {
        let sent = Envelope { in_force: Revision(1), message };
        let mut frames = FrameDecoder::new(MAX_BYTES);
        frames.push(&encode_frame(&sent, MAX_BYTES).unwrap());
        assert_eq!(frames.next_frame::<Envelope>().unwrap(), Some(sent));
    }
}
