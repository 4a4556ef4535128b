//! Counts of the messages and handshakes that a host exchanges with other hosts.

use std::cell::Cell;

use crate::wire::LinkMessage;
use crate::wire::MessageKind;

/// The number of messages of one kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MessageCount {
    /// The kind.
    pub kind: MessageKind,
    /// The messages that were queued to be sent.
    pub sent: u64,
    /// The messages that were received.
    pub received: u64,
}

/// The handshakes of links, and the pings on links without other messages.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LinkActivity {
    /// The handshakes that were begun, by either end.
    pub begun: u64,
    /// The handshakes that failed, or for which no connection could be opened.
    pub failed: u64,
    /// The times that connections waited to be accepted since too many handshakes were in progress.
    pub delayed: u64,
    /// The pings that were sent.
    pub pings: u64,
}

/// Counts of messages by kind since the last call of [`Self::take`].
#[derive(Debug)]
pub struct MessageCounter {
    sent: Vec<Cell<u64>>,
    received: Vec<Cell<u64>>,
    activity: Cell<LinkActivity>,
}

impl Default for MessageCounter {
    fn default() -> Self {
        let zeros = || MessageKind::ALL.iter().map(|_| Cell::new(0)).collect();
        Self {
            sent: zeros(),
            received: zeros(),
            activity: Cell::default(),
        }
    }
}

impl MessageCounter {
    /// Counts a message that is queued to be sent to another host.
    pub fn record_sent(&self, message: &LinkMessage) {
        increment(&self.sent[message.kind() as usize]);
    }

    /// Counts a message that was received from another host.
    pub fn record_received(&self, message: &LinkMessage) {
        increment(&self.received[message.kind() as usize]);
    }

    /// Changes the counts of handshakes and pings.
    pub fn record_activity(&self, change: impl FnOnce(&mut LinkActivity)) {
        let mut activity = self.activity.get();
        change(&mut activity);
        self.activity.set(activity);
    }

    /// Returns the counts of handshakes and pings, and resets them.
    #[must_use]
    pub fn take_activity(&self) -> LinkActivity {
        self.activity.take()
    }

    /// Returns the counts of the kinds that were exchanged, and resets them.
    #[must_use]
    pub fn take(&self) -> Vec<MessageCount> {
        let counts = MessageKind::ALL.iter().map(|kind| MessageCount {
            kind: *kind,
            sent: self.sent[*kind as usize].take(),
            received: self.received[*kind as usize].take(),
        });
        counts
            .filter(|count| count.sent + count.received > 0)
            .collect()
    }
}

fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}
