//! The codec state of one direction of a link, which is the same at both ends.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::code::DeltaCounter;
use super::code::NameTable;
use super::code::NumberCode;
use super::code::NumberTable;
use super::code::TextTable;
use super::error::CodecError;
use crate::kernel::name::GrantId;
use crate::kernel::name::RequestId;

/// The incarnations of the two ends of a link, which are left out of the codes of request
/// identifiers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LinkIncarnations {
    /// The incarnation of the encoding host.
    pub sender: u64,
    /// The incarnation of the decoding host.
    pub receiver: u64,
}

/// The host whose entry read a request.
#[derive(Clone, Copy, Debug)]
pub enum RequestOwner {
    /// The encoding host.
    Sender,
    /// The decoding host.
    Receiver,
}

/// The code of a request identifier, which is shorter for requests of the expected owner.
#[derive(Debug, Deserialize, Serialize)]
#[serde(untagged)]
pub enum RequestCode {
    /// The difference from the previous sequence number of the expected owner.
    Delta(i64),
    /// The incarnation and the sequence number of a request of another owner.
    Full(u64, u64),
}

/// The code of a grant identifier: the code of the broker number and the difference from the
/// previous sequence number.
pub type GrantCode = (NumberCode, i64);

/// The tables and counters of one direction of a link.
#[derive(Debug)]
pub struct CodecState {
    /// The incarnations of both ends.
    pub incarnations: LinkIncarnations,
    /// The table of names.
    pub names: NameTable,
    /// The table of templates of texts.
    pub texts: TextTable,
    /// The table of digests of cache blocks.
    pub digests: NumberTable,
    /// The table of broker numbers.
    pub brokers: NumberTable,
    /// The sequence numbers of grants.
    pub grants: DeltaCounter,
    /// The highest known configuration versions in heartbeats.
    pub versions: DeltaCounter,
    /// The times at which heartbeats were sent, in milliseconds.
    pub sent: DeltaCounter,
    /// The times that heartbeats echo, in milliseconds.
    pub echoes: DeltaCounter,
    sender_requests: DeltaCounter,
    receiver_requests: DeltaCounter,
}

impl CodecState {
    /// Creates the state of a new link, with empty tables.
    pub fn new(incarnations: LinkIncarnations) -> Self {
        Self {
            incarnations,
            names: NameTable::default(),
            texts: TextTable::default(),
            digests: NumberTable::default(),
            brokers: NumberTable::default(),
            grants: DeltaCounter::default(),
            versions: DeltaCounter::default(),
            sent: DeltaCounter::default(),
            echoes: DeltaCounter::default(),
            sender_requests: DeltaCounter::default(),
            receiver_requests: DeltaCounter::default(),
        }
    }

    fn incarnation_and_counter(&mut self, owner: RequestOwner) -> (u64, &mut DeltaCounter) {
        match owner {
            RequestOwner::Sender => (self.incarnations.sender, &mut self.sender_requests),
            RequestOwner::Receiver => (self.incarnations.receiver, &mut self.receiver_requests),
        }
    }

    /// Returns the code of a request identifier; `owner` is the expected owner of the request.
    pub fn encode_request_id(&mut self, request: RequestId, owner: RequestOwner) -> RequestCode {
        let (incarnation, counter) = self.incarnation_and_counter(owner);
        if request.incarnation == incarnation {
            RequestCode::Delta(counter.encode(request.sequence))
        } else {
            RequestCode::Full(request.incarnation, request.sequence)
        }
    }

    /// Returns the request identifier of a code; `owner` must be that given to the encoder.
    pub fn decode_request_id(&mut self, code: &RequestCode, owner: RequestOwner) -> RequestId {
        let (incarnation, counter) = self.incarnation_and_counter(owner);
        match *code {
            RequestCode::Delta(delta) => RequestId {
                incarnation,
                sequence: counter.decode(delta),
            },
            RequestCode::Full(incarnation, sequence) => RequestId {
                incarnation,
                sequence,
            },
        }
    }

    /// Returns the code of a grant identifier.
    pub fn encode_grant_id(&mut self, grant: GrantId) -> GrantCode {
        let broker = self.brokers.encode(grant.broker);
        (broker, self.grants.encode(grant.sequence))
    }

    /// Returns the grant identifier of a code.
    pub fn decode_grant_id(&mut self, code: &GrantCode) -> Result<GrantId, CodecError> {
        Ok(GrantId {
            broker: self.brokers.decode(&code.0)?,
            sequence: self.grants.decode(code.1),
        })
    }
}

/// Returns a duration in whole milliseconds, rounded down.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns a duration in whole microseconds, rounded down.
pub fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
