//! The encoding of messages: what it keeps, how small it is and what it refuses.

use std::sync::Arc;
use std::time::Duration;

use borageladder::kernel::ask::Ask;
use borageladder::kernel::ask::Grant;
use borageladder::kernel::ask::Refusal;
use borageladder::kernel::ask::RefusalReason;
use borageladder::kernel::ask::RunningWork;
use borageladder::kernel::ask::WorkProgress;
use borageladder::kernel::ask::WorkReport;
use borageladder::kernel::clock::ClockTime;
use borageladder::kernel::configuration::ConfigVersion;
use borageladder::kernel::configuration::Configuration;
use borageladder::kernel::name::BlockDigest;
use borageladder::kernel::name::GrantId;
use borageladder::kernel::name::NameError;
use borageladder::kernel::name::RequestId;
use borageladder::kernel::name::TierRank;
use borageladder::wire::CellSummary;
use borageladder::wire::CodecError;
use borageladder::wire::FrameDecoder;
use borageladder::wire::FrameEncoder;
use borageladder::wire::Heartbeat;
use borageladder::wire::LinkIncarnations;
use borageladder::wire::LinkMessage;
use borageladder::wire::MAX_FRAME_MESSAGES;
use borageladder::wire::MAX_MESSAGE_BYTES;
use borageladder::wire::MemberEntry;
use borageladder::wire::MemberList;
use borageladder::wire::Referral;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;

const ENTRY: u64 = 0x9f2c_41d0_a3b5_e671;
const BROKER: u64 = 0x1b7d_0042_c3d4_0919;
const FORWARD: LinkIncarnations = LinkIncarnations {
    sender: ENTRY,
    receiver: BROKER,
};
const BACK: LinkIncarnations = LinkIncarnations {
    sender: BROKER,
    receiver: ENTRY,
};

fn name<N: for<'a> TryFrom<&'a str, Error = NameError>>(text: &str) -> N {
    N::try_from(text).expect("a valid name")
}

fn request(sequence: u64) -> RequestId {
    RequestId {
        incarnation: ENTRY,
        sequence,
    }
}

fn grant(sequence: u64) -> GrantId {
    GrantId {
        broker: 0x77aa_0000_1111_2222,
        sequence,
    }
}

/// The ask of a letter whose prompt shares its first two blocks with others and has two of its own.
fn ask(sequence: u64) -> Ask {
    let own = sequence.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1 << 63;
    Ask {
        request: request(sequence),
        service: name("drafter"),
        model: Some(name("letter-writer-70b")),
        workspace: name("hokkaido-grievances"),
        tier: TierRank(1),
        budget: Duration::from_millis(19_500),
        prompt_tokens: 3_000,
        max_answer_tokens: 1_200,
        prefix: vec![
            BlockDigest(0xfedc_ba98_7654_3210),
            BlockDigest(0xa5a5_5a5a_0f0f_f0f0),
            BlockDigest(own),
            BlockDigest(!own),
        ],
        suspect: false,
    }
}

fn permission(sequence: u64) -> Grant {
    Grant {
        grant: grant(sequence / 2),
        request: request(sequence),
        worker: name("drafter-worker-17"),
        expires_in: Duration::from_secs(2),
        choice: format!(
            "best of 12 with room: finish in {} ms, {} prompt tokens cached",
            4_000 + sequence % 9_000,
            64 * (sequence % 40)
        ),
    }
}

fn report(sequence: u64, progress: WorkProgress) -> LinkMessage {
    LinkMessage::Report {
        service: name("drafter"),
        report: WorkReport {
            request: request(sequence),
            grant: grant(sequence / 2),
            worker: name("drafter-worker-17"),
            progress,
        },
    }
}

fn reports(sequence: u64) -> [LinkMessage; 3] {
    let after = Duration::from_millis(520);
    let finished = WorkProgress::Finished {
        answer_tokens: 900,
        token_gap: Duration::from_millis(27),
    };
    [
        report(sequence, WorkProgress::Dispatched),
        report(sequence, WorkProgress::FirstToken { after }),
        report(sequence, finished),
    ]
}

fn heartbeat(second: u64) -> Heartbeat {
    Heartbeat {
        datacenter: name("sapporo-a"),
        incarnation: ENTRY,
        applied: ConfigVersion(6_000_000),
        known: ConfigVersion(6_000_001),
        confirmed: ConfigVersion(6_000_000),
        fresh: true,
        stopping: false,
        sent: ClockTime::from_millis(second * 500),
        echo: Some(ClockTime::from_millis(second * 500 + 7_000)),
    }
}

/// The bytes of the WebSocket header before a frame from a dialer, which masks its frames.
fn header_bytes(frame: &[u8]) -> usize {
    const LONGEST_SHORT_FRAME: usize = 125;
    if frame.len() <= LONGEST_SHORT_FRAME {
        6
    } else {
        8
    }
}

fn encoded(encoder: &mut FrameEncoder, messages: &[LinkMessage]) -> usize {
    let mut frame = Vec::new();
    for message in messages {
        encoder
            .encode(message, &mut frame)
            .expect("a short message");
    }
    frame.len() + header_bytes(&frame)
}

/// The bytes of asks, grants and reports for one request, where each frame carries `batch` of them.
fn bytes_per_request(batch: u64) -> usize {
    const REQUESTS: u64 = 1_000;
    let mut forward = FrameEncoder::new(FORWARD);
    let mut back = FrameEncoder::new(BACK);
    let mut bytes = 0;
    for first in (0..REQUESTS).step_by(usize::try_from(batch).expect("a small number")) {
        let sequences = first + 4_000_000_000..first + batch + 4_000_000_000;
        let asks = sequences
            .clone()
            .map(|one| LinkMessage::Ask(Box::new(ask(one))));
        let grants = sequences
            .clone()
            .map(|one| LinkMessage::Grant(permission(one)));
        let reports = sequences.flat_map(reports);
        bytes += encoded(&mut forward, &asks.collect::<Vec<_>>());
        bytes += encoded(&mut back, &grants.collect::<Vec<_>>());
        for kind in 0..3 {
            let kinds = reports.clone().skip(kind).step_by(3);
            bytes += encoded(&mut forward, &kinds.collect::<Vec<_>>());
        }
    }
    bytes / usize::try_from(REQUESTS).expect("a small number")
}

#[test]
fn a_request_takes_at_most_a_hundred_bytes() {
    let batched = bytes_per_request(8);
    let single = bytes_per_request(1);
    println!("bytes for each request: {batched} in frames of 8, {single} in frames of 1");
    assert!(batched <= 100, "{batched} bytes");
}

#[test]
fn heartbeats_fit_the_budget_of_a_node() {
    const LOCAL_PEERS: usize = 33;
    const REMOTE_LINKS: usize = 2 * 2 * 10;
    const HEARTBEATS_PER_SECOND: usize = 2;
    const PACKET_BYTES: usize = 40;
    const NODE_BYTES_PER_SECOND: usize = 24_000;
    let mut encoder = FrameEncoder::new(FORWARD);
    let first = encoded(&mut encoder, &[LinkMessage::Heartbeat(heartbeat(0))]);
    let mut largest = 0;
    for second in 1..100 {
        let beat = LinkMessage::Heartbeat(heartbeat(second));
        largest = largest.max(encoded(&mut encoder, &[beat]));
    }
    let packets = (LOCAL_PEERS + REMOTE_LINKS) * HEARTBEATS_PER_SECOND;
    let rate = packets * (largest + PACKET_BYTES);
    println!("heartbeat: {first} bytes first, then {largest}; {rate} bytes a second and node");
    assert!(rate <= NODE_BYTES_PER_SECOND, "{rate} bytes a second");
}

fn all_messages() -> Vec<LinkMessage> {
    let mut messages = vec![
        LinkMessage::Heartbeat(heartbeat(1)),
        LinkMessage::Members(MemberList {
            datacenter: name("sapporo-a"),
            members: vec![MemberEntry {
                host: name("host-1"),
                address: "127.0.0.1:7000".parse().expect("an address"),
                incarnation: 5,
                stopping: true,
            }],
        }),
        LinkMessage::Ask(Box::new(ask(70))),
        LinkMessage::Withdraw {
            service: name("drafter"),
            request: RequestId {
                incarnation: 3,
                sequence: u64::MAX,
            },
        },
        LinkMessage::Declare {
            service: name("drafter"),
            running: vec![RunningWork {
                request: request(9),
                grant: grant(4),
                worker: name("drafter-worker-1"),
                tier: TierRank(3),
                prompt_tokens: 17,
            }],
        },
        LinkMessage::Summary(CellSummary {
            service: name("drafter"),
            datacenter: name("sapporo-a"),
            free_slots: 3,
            waiting: vec![0, 1, 70_000],
        }),
        LinkMessage::Configuration(Arc::new(Configuration::default())),
        LinkMessage::ConfigurationWanted(ConfigVersion(8)),
        LinkMessage::Strike {
            digest: u64::MAX,
            strikes: 2,
        },
        LinkMessage::Query {
            number: 1,
            text: "show waiting".to_owned(),
        },
        LinkMessage::QueryAnswer {
            number: 1,
            rows: "[]".to_owned(),
        },
    ];
    messages.extend(reports(70));
    for progress in [
        WorkProgress::Stopped,
        WorkProgress::Failed,
        WorkProgress::Released,
    ] {
        messages.push(report(71, progress));
    }
    messages
}

fn answers() -> Vec<LinkMessage> {
    let reasons = [
        RefusalReason::Capacity,
        RefusalReason::Deadline,
        RefusalReason::Dropped,
        RefusalReason::NoWorker,
        RefusalReason::Platform,
        RefusalReason::Quarantined,
        RefusalReason::Stale,
    ];
    let mut messages = vec![
        LinkMessage::Grant(permission(70)),
        LinkMessage::Refer(Referral {
            request: request(70),
            datacenter: name("kushiro-a"),
            host: name("host-2"),
        }),
    ];
    messages.extend(reasons.map(|reason| {
        LinkMessage::Refuse(Refusal {
            request: request(71),
            reason,
            retry_after: Duration::from_secs(3),
        })
    }));
    messages
}

#[yare::parameterized(
    from_entry = { FORWARD, all_messages() },
    from_broker = { BACK, answers() },
)]
fn every_message_comes_back_whole(incarnations: LinkIncarnations, messages: Vec<LinkMessage>) {
    let mut encoder = FrameEncoder::new(incarnations);
    let mut decoder = FrameDecoder::new(incarnations);
    // The second round uses the tables that the first one filled.
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
fn tables_stay_alike_when_old_values_give_way() {
    let mut encoder = FrameEncoder::new(FORWARD);
    let mut decoder = FrameDecoder::new(FORWARD);
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
    marked = { "a\0b 7" },
    other_script = { "札幌 3 番" },
)]
fn a_choice_comes_back_as_it_was(choice: &str) {
    let mut encoder = FrameEncoder::new(BACK);
    let mut decoder = FrameDecoder::new(BACK);
    for repeated in [choice.to_owned(), choice.to_owned(), choice.repeat(40)] {
        let mut grant = permission(1);
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
    let mut encoder = FrameEncoder::new(FORWARD);
    let mut frame = vec![1, 2, 3];
    let rows = "x".repeat(MAX_MESSAGE_BYTES + 1);
    let error = encoder.encode(&LinkMessage::QueryAnswer { number: 1, rows }, &mut frame);
    assert!(matches!(error, Err(CodecError::MessageTooLong { .. })));
    assert_eq!(frame, [1, 2, 3]);
}

#[test]
fn a_frame_with_too_many_messages_is_refused() {
    let mut encoder = FrameEncoder::new(FORWARD);
    let mut frame = Vec::new();
    for _ in 0..=MAX_FRAME_MESSAGES {
        let message = LinkMessage::ConfigurationWanted(ConfigVersion(1));
        encoder
            .encode(&message, &mut frame)
            .expect("a short message");
    }
    let decoded = FrameDecoder::new(FORWARD).decode(&frame);
    assert!(matches!(decoded, Err(CodecError::TooManyMessages)));
}

/// A frame that declares lists, texts and byte strings of enormous lengths.
#[yare::parameterized(
    list = { &[1, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff] },
    prefix = { &[1, 0x8a, 0, 0x61, b'a', 0xf6, 0x61, b'b', 0, 0, 0, 0, 0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xf4] },
    text = { &[12, 0x82, 1, 0x7b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, b'x'] },
    nested = { &[9, 0x81, 0x81, 0x81, 0x81, 0x81, 0x81, 0x81, 0x81, 0x81, 0x81, 0x81, 0x81] },
    unknown_place = { &[2, 0x82, 0x18, 0x40, 0] },
    unknown_kind = { &[200] },
    cut = { &[1] },
)]
fn a_malformed_frame_is_an_error(frame: &[u8]) {
    FrameDecoder::new(FORWARD)
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

    /// Whatever the bytes, decoding neither panics nor returns more than the bytes can hold.
    #[test]
    fn any_bytes_are_decoded_or_refused(frames in vec(vec(any::<u8>(), 0..200), 1..4)) {
        let mut decoder = FrameDecoder::new(FORWARD);
        for frame in &frames {
            if let Ok(messages) = decoder.decode(frame) {
                assert!(messages.len() * 2 <= frame.len());
            }
        }
    }

    /// Frames that differ in a few bytes from valid ones get further than random ones.
    #[test]
    fn damaged_frames_are_decoded_or_refused(
        damage in vec((any::<u16>(), any::<u8>()), 1..4),
        cut in any::<u16>(),
    ) {
        let mut encoder = FrameEncoder::new(FORWARD);
        let mut frame = Vec::new();
        for message in all_messages() {
            encoder.encode(&message, &mut frame).expect("a short message");
        }
        for (place, value) in damage {
            let place = usize::from(place) % frame.len();
            frame[place] = value;
        }
        frame.truncate(frame.len() - usize::from(cut) % frame.len() / 4);
        let mut decoder = FrameDecoder::new(FORWARD);
        if let Ok(messages) = decoder.decode(&frame) {
            assert!(messages.len() * 2 <= frame.len());
        }
    }
}
