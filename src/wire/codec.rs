//! Encoder and decoder of the frames of one link.
//!
//! A frame is a sequence of messages. A message is one byte with its kind number, followed by its
//! row, a CBOR item that is an array of fields for most kinds. Durations in such arrays are in whole
//! milliseconds, token gaps in whole microseconds.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde::de::IgnoredAny;

use super::LinkMessage;
use super::bundle;
use super::error::CodecError;
use super::host;
use super::progress::ProgressKind;
use super::state::CodecState;
use super::state::LinkIncarnations;
use super::state::RequestOwner;
use super::state::millis;
use crate::kernel::ask::Ask;
use crate::kernel::quarantine::CrashCount;

/// The maximum length of a frame, in bytes, and of a configuration or a state update.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// The maximum length of any other message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 256 << 10;

/// The maximum number of messages in one frame.
pub const MAX_FRAME_MESSAGES: usize = 1024;

// The kind numbers of the messages; 6, 27 to 31 and 49 are not in use.
const HEARTBEAT: u8 = 0;
const ASK: u8 = 1;
const WITHDRAW: u8 = 2;
const GRANT: u8 = 3;
const REFUSE: u8 = 4;
const REFER: u8 = 5;
const DECLARE: u8 = 7;
const CELL_SUMMARY: u8 = 8;
const CONFIGURATION: u8 = 9;
const CONFIGURATION_WANTED: u8 = 10;
const CRASH: u8 = 11;
const QUERY: u8 = 12;
const QUERY_ANSWER: u8 = 13;
const MEMBERS: u8 = 14;
const CONFIGURATION_DELTAS: u8 = 15;

/// The lowest kind of a report; each [`ProgressKind`] has its own kind, counted from here.
const REPORT: u8 = 16;

/// The highest kind of a report. Reports of unknown kinds are decoded and skipped, since their rows
/// change the tables of the link; rows of other kinds after [`RATES`] must not.
const LAST_REPORT: u8 = 31;

const USAGE: u8 = 32;
const WAITING: u8 = 33;
const STATE_WANTED: u8 = 34;
const STATE: u8 = 35;
const VERSIONED_ASK: u8 = 36;
const STREAM_VERSION: u8 = 37;
const STREAM_WANTED: u8 = 38;
const CRASHED_PARTS: u8 = 39;
const SOUND_PARTS: u8 = 40;
const RATES: u8 = 41;
const USAGE_SUM: u8 = 42;
const SOUND_ANSWER: u8 = 43;
const STREAM_RECORDS: u8 = 44;
const STREAM_BEGUN: u8 = 45;
const BEGUN_STREAMS: u8 = 46;
const CLASSED_MEMBERS: u8 = 47;
const USAGE_BUNDLE: u8 = 48;
const RELEASE_EVIDENCE: u8 = 49;
const WORKSPACES: u8 = 50;
const HEDGE_ASK: u8 = 51;

fn write<T: Serialize>(frame: &mut Vec<u8>, kind: u8, row: &T) -> Result<(), CodecError> {
    frame.push(kind);
    ciborium::into_writer(row, frame).map_err(|error| CodecError::Cbor(error.to_string()))
}

/// Reads a row and advances `rest` behind it; a row longer than `limit` bytes is an error.
fn read<T: DeserializeOwned>(rest: &mut &[u8], limit: usize) -> Result<T, CodecError> {
    let length = rest.len().min(limit);
    let mut bytes = &rest[..length];
    let value = ciborium::from_reader(&mut bytes);
    let value = value.map_err(|error| CodecError::Cbor(error.to_string()))?;
    *rest = &rest[length - bytes.len()..];
    Ok(value)
}

/// Encodes the messages in one direction of a link.
///
/// The encoding of a message depends on the messages before it.
///
/// # Examples
///
/// ```
/// use borageladder::kernel::configuration::ConfigVersion;
/// use borageladder::wire::FrameDecoder;
/// use borageladder::wire::FrameEncoder;
/// use borageladder::wire::LinkIncarnations;
/// use borageladder::wire::LinkMessage;
///
/// let incarnations = LinkIncarnations { sender: 1, receiver: 2 };
/// let message = LinkMessage::ConfigurationWanted(ConfigVersion(7));
/// let mut frame = Vec::new();
/// FrameEncoder::new(incarnations).encode(&message, &mut frame)?;
/// assert_eq!(FrameDecoder::new(incarnations).decode(&frame)?, [message]);
/// # Ok::<(), borageladder::wire::CodecError>(())
/// ```
#[derive(Debug)]
pub struct FrameEncoder(CodecState);

impl FrameEncoder {
    /// Creates the encoder of a new link, with empty tables.
    #[must_use]
    pub fn new(incarnations: LinkIncarnations) -> Self {
        Self(CodecState::new(incarnations))
    }

    /// Appends a message to a frame.
    ///
    /// # Errors
    ///
    /// Returns [`CodecError::MessageTooLong`] if the message exceeds the limit of its kind; the
    /// frame is then unchanged. Encoding can go on if that was a configuration, a list of deltas, a
    /// state update, evidence, a query or its rows. After any other error the link must be closed, because
    /// the tables of the two ends may differ.
    pub fn encode(&mut self, message: &LinkMessage, frame: &mut Vec<u8>) -> Result<(), CodecError> {
        let start = frame.len();
        self.append_message(message, frame)?;
        let length = frame.len() - start;
        let limit = match message {
            LinkMessage::Configuration(_) | LinkMessage::State(_) => MAX_FRAME_BYTES,
            _ => MAX_MESSAGE_BYTES,
        };
        if length > limit {
            frame.truncate(start);
            return Err(CodecError::MessageTooLong { length });
        }
        Ok(())
    }

    fn append_message(
        &mut self,
        message: &LinkMessage,
        frame: &mut Vec<u8>,
    ) -> Result<(), CodecError> {
        let state = &mut self.0;
        match message {
            LinkMessage::Heartbeat(beat) => write(frame, HEARTBEAT, &state.encode_heartbeat(beat)),
            LinkMessage::Members(list) => write(frame, MEMBERS, &state.encode_members(list)),
            LinkMessage::ClassedMembers(list) => {
                write(frame, CLASSED_MEMBERS, &host::classed_row(list))
            }
            LinkMessage::Ask(ask) if ask.hedged_worker.is_some() => write(frame, HEDGE_ASK, ask),
            LinkMessage::Ask(ask) => match &ask.version {
                None => write(frame, ASK, &state.encode_ask(ask)),
                Some(version) => {
                    let row = (state.encode_ask(ask), version);
                    write(frame, VERSIONED_ASK, &row)
                }
            },
            LinkMessage::Withdraw { service, request } => {
                let row = state.encode_withdrawal(service, *request);
                write(frame, WITHDRAW, &row)
            }
            LinkMessage::Grant(grant) => write(frame, GRANT, &state.encode_grant(grant)),
            LinkMessage::Refuse(refusal) => write(frame, REFUSE, &state.encode_refusal(refusal)),
            LinkMessage::Refer(referral) => write(frame, REFER, &state.encode_referral(referral)),
            LinkMessage::Report { service, report } => {
                let kind = REPORT + ProgressKind::of(report.progress) as u8;
                write(frame, kind, &state.encode_report(service, report))
            }
            LinkMessage::Declare { service, running } => {
                write(frame, DECLARE, &state.encode_declaration(service, running))
            }
            LinkMessage::Rates { service, rates } => write(frame, RATES, &(service, rates)),
            LinkMessage::Workspaces { service, running } => {
                write(frame, WORKSPACES, &(service, running))
            }
            LinkMessage::Summary(summary) => {
                write(frame, CELL_SUMMARY, &state.encode_summary(summary))
            }
            LinkMessage::Configuration(configuration) => {
                write(frame, CONFIGURATION, configuration.as_ref())
            }
            LinkMessage::ConfigurationDeltas(deltas) => write(frame, CONFIGURATION_DELTAS, deltas),
            LinkMessage::ConfigurationWanted(version) => {
                write(frame, CONFIGURATION_WANTED, version)
            }
            LinkMessage::Crash(count) => {
                let remaining = millis(count.remaining);
                let row = (count.digest, count.crashes, remaining, &count.worker);
                write(frame, CRASH, &row)
            }
            LinkMessage::CrashedParts(reports) => write(frame, CRASHED_PARTS, reports),
            LinkMessage::SoundParts(parts) => write(frame, SOUND_PARTS, parts),
            LinkMessage::BegunStreams(batch) => write(frame, BEGUN_STREAMS, batch),
            LinkMessage::StreamRecords(batch) => write(frame, STREAM_RECORDS, batch),
            LinkMessage::StreamBegun { stream, version } => {
                write(frame, STREAM_BEGUN, &(stream, version))
            }
            LinkMessage::SoundAnswer { age, parts } => {
                write(frame, SOUND_ANSWER, &(millis(*age), parts))
            }
            LinkMessage::Waiting(request) => {
                let code = state.encode_request_id(*request, RequestOwner::Receiver);
                write(frame, WAITING, &code)
            }
            LinkMessage::StateWanted(poll) => write(frame, STATE_WANTED, poll),
            LinkMessage::State(update) => write(frame, STATE, update),
            LinkMessage::StreamVersion { stream, version } => {
                write(frame, STREAM_VERSION, &(stream, version))
            }
            LinkMessage::StreamWanted(stream) => write(frame, STREAM_WANTED, stream),
            LinkMessage::Usage(report) => write(frame, USAGE, &state.encode_usage(report)),
            LinkMessage::UsageSum(sum) => write(frame, USAGE_SUM, &host::sum_row(sum)),
            LinkMessage::UsageBundle(bundle) => {
                write(frame, USAGE_BUNDLE, &bundle::bundle_row(bundle))
            }
            LinkMessage::ReleaseEvidence(reports) => write(frame, RELEASE_EVIDENCE, reports),
            LinkMessage::Query { number, text } => write(frame, QUERY, &(number, text)),
            LinkMessage::QueryAnswer { number, rows } => {
                write(frame, QUERY_ANSWER, &(number, rows))
            }
        }
    }
}

/// Decodes the messages in one direction of a link.
///
/// Messages of unknown kinds, which a host of a newer build may send, are skipped and counted.
#[derive(Debug)]
pub struct FrameDecoder {
    state: CodecState,
    skipped: u64,
}

impl FrameDecoder {
    /// Creates the decoder of a new link; takes the same incarnations as the encoder at the other
    /// end.
    #[must_use]
    pub fn new(incarnations: LinkIncarnations) -> Self {
        Self {
            state: CodecState::new(incarnations),
            skipped: 0,
        }
    }

    /// Returns the number of messages of unknown kinds that were skipped.
    #[must_use]
    pub const fn skipped(&self) -> u64 {
        self.skipped
    }

    /// Decodes all messages of a frame whose kinds are known.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame is too long, has too many messages or holds an invalid one;
    /// the link must then be closed.
    pub fn decode(&mut self, frame: &[u8]) -> Result<Vec<LinkMessage>, CodecError> {
        if frame.len() > MAX_FRAME_BYTES {
            let length = frame.len();
            return Err(CodecError::FrameTooLong { length });
        }
        let mut rest = frame;
        let mut messages = Vec::new();
        let mut count = 0;
        while let Some((kind, row)) = rest.split_first() {
            if count == MAX_FRAME_MESSAGES {
                return Err(CodecError::TooManyMessages);
            }
            count += 1;
            rest = row;
            match self.decode_message(*kind, &mut rest)? {
                Some(message) => messages.push(message),
                None => self.skipped += 1,
            }
        }
        Ok(messages)
    }

    /// Decodes the row of a message; returns `None` for one of an unknown kind.
    fn decode_message(
        &mut self,
        kind: u8,
        rest: &mut &[u8],
    ) -> Result<Option<LinkMessage>, CodecError> {
        let state = &mut self.state;
        let limit = MAX_MESSAGE_BYTES;
        Ok(Some(match kind {
            HEARTBEAT => LinkMessage::Heartbeat(state.decode_heartbeat(read(rest, limit)?)?),
            MEMBERS => LinkMessage::Members(state.decode_members(read(rest, limit)?)?),
            CLASSED_MEMBERS => LinkMessage::ClassedMembers(host::read_classed(read(rest, limit)?)),
            ASK => LinkMessage::Ask(Box::new(state.decode_ask(read(rest, limit)?)?)),
            VERSIONED_ASK => {
                let (row, version) = read(rest, limit)?;
                let ask = state.decode_ask(row)?;
                LinkMessage::Ask(Box::new(Ask {
                    version: Some(version),
                    ..ask
                }))
            }
            HEDGE_ASK => LinkMessage::Ask(Box::new(read(rest, limit)?)),
            WITHDRAW => {
                let (service, request) = state.decode_withdrawal(read(rest, limit)?)?;
                LinkMessage::Withdraw { service, request }
            }
            GRANT => LinkMessage::Grant(state.decode_grant(read(rest, limit)?)?),
            REFUSE => LinkMessage::Refuse(state.decode_refusal(&read(rest, limit)?)?),
            REFER => LinkMessage::Refer(state.decode_referral(read(rest, limit)?)?),
            DECLARE => {
                let (service, running) = state.decode_declaration(read(rest, limit)?)?;
                LinkMessage::Declare { service, running }
            }
            RATES => {
                let (service, rates) = read(rest, limit)?;
                LinkMessage::Rates { service, rates }
            }
            WORKSPACES => {
                let (service, running) = read(rest, limit)?;
                LinkMessage::Workspaces { service, running }
            }
            CELL_SUMMARY => LinkMessage::Summary(state.decode_summary(read(rest, limit)?)?),
            CONFIGURATION => LinkMessage::Configuration(Arc::new(read(rest, MAX_FRAME_BYTES)?)),
            CONFIGURATION_DELTAS => LinkMessage::ConfigurationDeltas(read(rest, limit)?),
            CONFIGURATION_WANTED => LinkMessage::ConfigurationWanted(read(rest, limit)?),
            CRASH => {
                let (digest, crashes, remaining, worker) = read(rest, limit)?;
                LinkMessage::Crash(CrashCount {
                    digest,
                    crashes,
                    worker,
                    remaining: Duration::from_millis(remaining),
                })
            }
            CRASHED_PARTS => LinkMessage::CrashedParts(read(rest, limit)?),
            SOUND_PARTS => LinkMessage::SoundParts(read(rest, limit)?),
            BEGUN_STREAMS => LinkMessage::BegunStreams(read(rest, limit)?),
            STREAM_RECORDS => LinkMessage::StreamRecords(read(rest, limit)?),
            SOUND_ANSWER => {
                let (age, parts) = read(rest, limit)?;
                let age = Duration::from_millis(age);
                LinkMessage::SoundAnswer { age, parts }
            }
            WAITING => {
                let code = read(rest, limit)?;
                LinkMessage::Waiting(state.decode_request_id(&code, RequestOwner::Receiver))
            }
            STATE_WANTED => LinkMessage::StateWanted(read(rest, limit)?),
            STATE => LinkMessage::State(read(rest, MAX_FRAME_BYTES)?),
            STREAM_BEGUN => {
                let (stream, version) = read(rest, limit)?;
                LinkMessage::StreamBegun { stream, version }
            }
            STREAM_VERSION => {
                let (stream, version) = read(rest, limit)?;
                LinkMessage::StreamVersion { stream, version }
            }
            STREAM_WANTED => LinkMessage::StreamWanted(read(rest, limit)?),
            USAGE => LinkMessage::Usage(state.decode_usage(read(rest, limit)?)?),
            USAGE_SUM => LinkMessage::UsageSum(host::read_sum(read(rest, limit)?)),
            USAGE_BUNDLE => {
                let bundle = bundle::read_bundle(read(rest, limit)?)?;
                LinkMessage::UsageBundle(Arc::new(bundle))
            }
            RELEASE_EVIDENCE => LinkMessage::ReleaseEvidence(read(rest, limit)?),
            QUERY => {
                let (number, text) = read(rest, limit)?;
                LinkMessage::Query { number, text }
            }
            QUERY_ANSWER => {
                let (number, rows) = read(rest, limit)?;
                LinkMessage::QueryAnswer { number, rows }
            }
            REPORT..=LAST_REPORT => {
                let progress_kind = ProgressKind::ALL.get(usize::from(kind - REPORT));
                let report = state.decode_report(progress_kind.copied(), read(rest, limit)?)?;
                let Some((service, report)) = report else {
                    return Ok(None);
                };
                LinkMessage::Report { service, report }
            }
            _ => {
                let _skipped: IgnoredAny = read(rest, MAX_FRAME_BYTES)?;
                return Ok(None);
            }
        }))
    }
}
