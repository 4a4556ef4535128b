//! Prints the frames of the sample messages, one a line in hexadecimal; `scripts/record-frames` runs
//! it on the build whose frames are wanted, so it uses only what the earliest of them has.

mod link_support;

use borageladder::wire::FrameEncoder;
use borageladder::wire::LinkIncarnations;
use borageladder::wire::LinkMessage;
use link_support::samples::TO_BROKER;
use link_support::samples::TO_ENTRY;
use link_support::samples::broker_messages;
use link_support::samples::entry_messages;

fn print_frames(direction: &str, incarnations: LinkIncarnations, messages: &[LinkMessage]) {
    let mut encoder = FrameEncoder::new(incarnations);
    // The second round sends the names and numbers of the first one as table indexes.
    for _ in 0..2 {
        let mut frame = Vec::new();
        for message in messages {
            let encoded = encoder.encode(message, &mut frame);
            encoded.expect("a short message");
        }
        let bytes: Vec<String> = frame.iter().map(|byte| format!("{byte:02x}")).collect();
        println!("frame {direction} {} {}", messages.len(), bytes.concat());
    }
}

#[test]
fn print_sample_frames() {
    print_frames("to-broker", TO_BROKER, &entry_messages());
    print_frames("to-entry", TO_ENTRY, &broker_messages());
}
