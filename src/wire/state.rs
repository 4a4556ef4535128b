//! The state of one direction of a link, which both ends keep alike.

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

/// The incarnations of the two ends of a link, which identifiers leave out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LinkIncarnations {
    /// The incarnation of the host that encodes.
    pub sender: u64,
    /// The incarnation of the host that decodes.
    pub receiver: u64,
}

/// The host whose entry read a request.
#[derive(Clone, Copy, Debug)]
pub enum RequestOwner {
    /// The host that encodes.
    Sender,
    /// The host that decodes.
    Receiver,
}

/// A request identifier: the difference of its sequence if its owner is known, or all of it.
#[derive(Debug, Deserialize, Serialize)]
#[serde(untagged)]
pub enum RequestCode {
    /// The difference from the last sequence of the same owner.
    Delta(i64),
    /// The incarnation and the sequence.
    Full(u64, u64),
}

/// A grant identifier: the code of the broker and the difference of the sequence.
pub type GrantCode = (NumberCode, i64);

/// The tables and counters of one direction of a link.
#[derive(Debug)]
pub struct CodeState {
    /// The incarnations of both ends.
    pub incarnations: LinkIncarnations,
    /// The names sent so far.
    pub names: NameTable,
    /// The words of the texts sent so far.
    pub texts: TextTable,
    /// The block digests sent so far.
    pub digests: NumberTable,
    /// The broker numbers sent so far.
    pub brokers: NumberTable,
    /// The sequences of the grants.
    pub grants: DeltaCounter,
    /// The highest known configuration versions.
    pub versions: DeltaCounter,
    /// The times at which heartbeats were sent, in milliseconds.
    pub sent: DeltaCounter,
    /// The times that heartbeats echo, in milliseconds.
    pub echoes: DeltaCounter,
    sender_requests: DeltaCounter,
    receiver_requests: DeltaCounter,
}

impl CodeState {
    /// Creates the state of a new link.
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

    fn owner(&mut self, owner: RequestOwner) -> (u64, &mut DeltaCounter) {
        match owner {
            RequestOwner::Sender => (self.incarnations.sender, &mut self.sender_requests),
            RequestOwner::Receiver => (self.incarnations.receiver, &mut self.receiver_requests),
        }
    }

    /// Returns the code of a request identifier.
    pub fn encode_request(&mut self, request: RequestId, owner: RequestOwner) -> RequestCode {
        let (incarnation, counter) = self.owner(owner);
        if request.incarnation == incarnation {
            RequestCode::Delta(counter.encode(request.sequence))
        } else {
            RequestCode::Full(request.incarnation, request.sequence)
        }
    }

    /// Returns the request identifier of a code.
    pub fn decode_request(&mut self, code: &RequestCode, owner: RequestOwner) -> RequestId {
        let (incarnation, counter) = self.owner(owner);
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
    pub fn encode_grant(&mut self, grant: GrantId) -> GrantCode {
        let broker = self.brokers.encode(grant.broker);
        (broker, self.grants.encode(grant.sequence))
    }

    /// Returns the grant identifier of a code.
    pub fn decode_grant(&mut self, code: &GrantCode) -> Result<GrantId, CodecError> {
        Ok(GrantId {
            broker: self.brokers.decode(&code.0)?,
            sequence: self.grants.decode(code.1),
        })
    }
}

/// Returns the whole milliseconds of a duration.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the whole microseconds of a duration.
pub fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
