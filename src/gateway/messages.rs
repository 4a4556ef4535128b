//! What a gateway host does with the messages of other hosts.

use std::rc::Rc;
use std::time::Duration;

use super::host::GatewayHost;
use super::release;
use super::streams;
use super::sync;
use crate::kernel::name::HostName;
use crate::kernel::stream::StreamRecord;
use crate::kernel::stream::StreamStage;
use crate::wire::LinkMessage;

/// Passes a message of another host to the part of this host that it is for.
pub(super) fn handle(host: &Rc<GatewayHost>, from: &HostName, message: LinkMessage) {
    host.members.receive(from, &message);
    match message {
        LinkMessage::CrashedParts(reports) => host.crashes.receive_reports(from, &reports),
        LinkMessage::SoundParts(parts) => host.crashes.receive_answer(from, Duration::ZERO, &parts),
        LinkMessage::SoundAnswer { age, parts } => host.crashes.receive_answer(from, age, &parts),
        LinkMessage::Usage(report) => host.record_peer_usage(from, &report),
        LinkMessage::UsageBundle(bundle) => host.record_usage_bundle(from, &bundle),
        LinkMessage::UsageSum(sum) => host.record_usage_sum(from, &sum),
        LinkMessage::StateWanted(poll) => sync::record_poll(host, from, poll),
        LinkMessage::State(update) => sync::receive_update(host, from, *update),
        LinkMessage::ReleaseEvidence(reports) => release::receive_reports(host, reports),
        LinkMessage::StreamBegun { stream, version } => {
            streams::receive_record(host, stream, Some(StreamRecord::begun(version)));
        }
        LinkMessage::StreamVersion { stream, version } => {
            let record = version.map(StreamRecord::dispatched);
            streams::receive_record(host, stream, record);
        }
        LinkMessage::BegunStreams(batch) => {
            host.streams.log.receive(StreamStage::Begun, &batch);
        }
        LinkMessage::StreamRecords(batch) => {
            host.streams.log.receive(StreamStage::Dispatched, &batch);
        }
        LinkMessage::StreamWanted(stream) => streams::answer_lookup(host, from, stream),
        other => host.cells.receive(from, other),
    }
}
