//! Round trips of messages through the frame codec, and rejection of invalid frames.

mod link_support;

use borageladder::kernel::configuration::ConfigVersion;
use borageladder::wire::CodecError;
use borageladder::wire::FrameDecoder;
use borageladder::wire::FrameEncoder;
use borageladder::wire::LinkIncarnations;
use borageladder::wire::LinkMessage;
use borageladder::wire::MAX_FRAME_MESSAGES;
use borageladder::wire::MAX_MESSAGE_BYTES;
use link_support::samples::TO_BROKER;
use link_support::samples::TO_ENTRY;
use link_support::samples::ask;
use link_support::samples::broker_messages;
use link_support::samples::entry_messages;
use link_support::samples::grant;
use link_support::samples::name;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;

#[yare::parameterized(
    from_entry = { TO_BROKER, entry_messages() },
    from_broker = { TO_ENTRY, broker_messages() },
)]
fn every_message_is_decoded_as_it_was_encoded(
    incarnations: LinkIncarnations,
    messages: Vec<LinkMessage>,
) {
    let mut encoder = FrameEncoder::new(incarnations);
    let mut decoder = FrameDecoder::new(incarnations);
    // The second round sends the names and numbers of the first one as table indexes.
    for _ in 0..2 {
        let mut frame = Vec::new();
        for message in &messages {
            encoder
                .encode(message, &mut frame)
                .expect("a short message");
        }
        assert_eq!(decoder.decode(&frame).expect("a valid frame"), messages);
    }
}

#[test]
fn tables_stay_equal_when_old_values_are_replaced() {
    let mut encoder = FrameEncoder::new(TO_BROKER);
    let mut decoder = FrameDecoder::new(TO_BROKER);
    for round in 0..5_000 {
        let mut ask = ask(round * 7 % 1_500);
        ask.workspace = name(&format!("workspace-{}", round * 31 % 1_700));
        let message = LinkMessage::Ask(Box::new(ask));
        let mut frame = Vec::new();
        encoder
            .encode(&message, &mut frame)
            .expect("a short message");
        assert_eq!(decoder.decode(&frame).expect("a valid frame"), [message]);
    }
}

#[yare::parameterized(
    empty = { "" },
    numbers = { "best of 3 with 12" },
    padded = { "007 and 0 and 10" },
    long = { "12345678901 bytes" },
    placeholder = { "a\0b 7" },
    other_script = { "札幌 3 番" },
)]
fn a_choice_is_decoded_as_it_was_encoded(choice: &str) {
    let mut encoder = FrameEncoder::new(TO_ENTRY);
    let mut decoder = FrameDecoder::new(TO_ENTRY);
    for repeated in [choice.to_owned(), choice.to_owned(), choice.repeat(40)] {
        let mut grant = grant(1);
        grant.choice = repeated;
        let message = LinkMessage::Grant(grant);
        let mut frame = Vec::new();
        encoder
            .encode(&message, &mut frame)
            .expect("a short message");
        assert_eq!(decoder.decode(&frame).expect("a valid frame"), [message]);
    }
}

#[test]
fn a_long_message_leaves_the_frame_as_it_was() {
    let mut encoder = FrameEncoder::new(TO_BROKER);
    let mut frame = vec![1, 2, 3];
    let rows = "x".repeat(MAX_MESSAGE_BYTES + 1);
    let error = encoder.encode(&LinkMessage::QueryAnswer { number: 1, rows }, &mut frame);
    assert!(matches!(error, Err(CodecError::MessageTooLong { .. })));
    assert_eq!(frame, [1, 2, 3]);
}

#[test]
fn a_frame_with_too_many_messages_is_refused() {
    let mut encoder = FrameEncoder::new(TO_BROKER);
    let mut frame = Vec::new();
    for _ in 0..=MAX_FRAME_MESSAGES {
        let message = LinkMessage::ConfigurationWanted(ConfigVersion(1));
        encoder
            .encode(&message, &mut frame)
            .expect("a short message");
    }
    let decoded = FrameDecoder::new(TO_BROKER).decode(&frame);
    assert!(matches!(decoded, Err(CodecError::TooManyMessages)));
}

/// Frames that declare lists and texts of enormous lengths, nest lists in place of fields, refer to
/// an empty table index, have an unknown kind or end early.
#[yare::parameterized(
    list = { &[1, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff] },
    prefix = { &[1, 0x8a, 0, 0x61, b'a', 0xf6, 0x61, b'b', 0, 0, 0, 0, 0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xf4] },
    text = { &[12, 0x82, 1, 0x7b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, b'x'] },
    nested = { &[9, 0x81, 0x81, 0x81, 0x81, 0x81, 0x81, 0x81, 0x81, 0x81, 0x81, 0x81, 0x81] },
    empty_index = { &[2, 0x82, 0x18, 0x40, 0] },
    unknown_kind = { &[200] },
    cut = { &[1] },
)]
fn a_malformed_frame_is_an_error(frame: &[u8]) {
    FrameDecoder::new(TO_BROKER)
        .decode(frame)
        .expect_err("a malformed frame");
}

fn seeded(cases: u32) -> Config {
    Config {
        cases,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(41),
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(seeded(4_000))]

    /// Decoding random bytes neither panics nor returns more messages than the bytes can hold.
    #[test]
    fn any_bytes_are_decoded_or_refused(frames in vec(vec(any::<u8>(), 0..200), 1..4)) {
        let mut decoder = FrameDecoder::new(TO_BROKER);
        for frame in &frames {
            if let Ok(messages) = decoder.decode(frame) {
                assert!(messages.len() * 2 <= frame.len());
            }
        }
    }

    /// The same holds for valid frames with a few changed bytes and up to a quarter cut off, which
    /// reach further into the decoder than random bytes.
    #[test]
    fn damaged_frames_are_decoded_or_refused(
        damage in vec((any::<u16>(), any::<u8>()), 1..4),
        cut in any::<u16>(),
    ) {
        let mut encoder = FrameEncoder::new(TO_BROKER);
        let mut frame = Vec::new();
        for message in entry_messages() {
            encoder.encode(&message, &mut frame).expect("a short message");
        }
        for (position, value) in damage {
            let position = usize::from(position) % frame.len();
            frame[position] = value;
        }
        frame.truncate(frame.len() - usize::from(cut) % frame.len() / 4);
        let mut decoder = FrameDecoder::new(TO_BROKER);
        if let Ok(messages) = decoder.decode(&frame) {
            assert!(messages.len() * 2 <= frame.len());
        }
    }
}
