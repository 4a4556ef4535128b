//! The bounded send queue of one link.

use std::cell::RefCell;
use std::collections::VecDeque;

use tokio::sync::Notify;

use crate::wire::LinkMessage;

/// The maximum number of messages in the send queue of one link.
pub const MAX_QUEUED_MESSAGES: usize = 8_192;

/// The maximum total length of the queries and result rows in the send queue of one link, in bytes.
pub const MAX_QUEUED_TEXT_BYTES: usize = 4 << 20;

/// The error for a full queue; the message was not queued.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueFull;

/// Returns the length of the query or of the result rows in a message, in bytes; 0 for other
/// messages, which the queue limits only by their number.
pub fn text_bytes(message: &LinkMessage) -> usize {
    match message {
        LinkMessage::Query { text, .. } => text.len(),
        LinkMessage::QueryAnswer { rows, .. } => rows.len(),
        _ => 0,
    }
}

#[derive(Debug, Default)]
struct QueueState {
    messages: VecDeque<LinkMessage>,
    text_bytes: usize,
}

/// Messages waiting to be sent, first in, first out.
#[derive(Debug, Default)]
pub struct SendQueue {
    state: RefCell<QueueState>,
    message_added: Notify,
}

impl SendQueue {
    /// Appends a message.
    ///
    /// A heartbeat or a configuration replaces a message of the same kind at the end of the queue.
    ///
    /// # Errors
    ///
    /// Returns an error if the queue holds [`MAX_QUEUED_MESSAGES`], or if its texts would exceed
    /// [`MAX_QUEUED_TEXT_BYTES`] with the message.
    pub fn push(&self, message: LinkMessage) -> Result<(), QueueFull> {
        let mut state = self.state.borrow_mut();
        let bytes = text_bytes(&message);
        let full = state.messages.len() >= MAX_QUEUED_MESSAGES
            || state.text_bytes + bytes > MAX_QUEUED_TEXT_BYTES;
        if full {
            return Err(QueueFull);
        }
        if state
            .messages
            .back()
            .is_some_and(|last| replaces(&message, last))
        {
            state.messages.pop_back();
        }
        state.text_bytes += bytes;
        state.messages.push_back(message);
        self.message_added.notify_one();
        Ok(())
    }

    /// Removes and returns the first message; `None` if the queue is empty.
    pub fn pop(&self) -> Option<LinkMessage> {
        let mut state = self.state.borrow_mut();
        let message = state.messages.pop_front()?;
        state.text_bytes -= text_bytes(&message);
        Some(message)
    }

    /// Puts a removed message back at the front, regardless of the limits.
    pub fn push_front(&self, message: LinkMessage) {
        let mut state = self.state.borrow_mut();
        state.text_bytes += text_bytes(&message);
        state.messages.push_front(message);
    }

    /// Returns whether the queue holds no message.
    pub fn is_empty(&self) -> bool {
        self.state.borrow().messages.is_empty()
    }

    /// Waits until the queue holds a message.
    pub async fn wait_nonempty(&self) {
        while self.is_empty() {
            self.message_added.notified().await;
        }
    }
}

fn replaces(message: &LinkMessage, last: &LinkMessage) -> bool {
    matches!(
        (message, last),
        (LinkMessage::Heartbeat(_), LinkMessage::Heartbeat(_))
            | (LinkMessage::Configuration(_), LinkMessage::Configuration(_))
    )
}
