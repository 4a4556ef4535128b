//! The bounded queue of messages that wait to be sent on one link.

use std::cell::RefCell;
use std::collections::VecDeque;

use tokio::sync::Notify;

use crate::wire::LinkMessage;

/// The most messages that wait on one link.
pub const MAX_QUEUED_MESSAGES: usize = 8_192;

/// The most bytes of text that wait on one link.
pub const MAX_QUEUED_TEXT_BYTES: usize = 4 << 20;

/// The queue is full; the message was not queued.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueFull;

/// Returns the bytes of text in a message, which may be large.
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

/// Messages that wait to be sent, in their order.
#[derive(Debug, Default)]
pub struct SendQueue {
    state: RefCell<QueueState>,
    filled: Notify,
}

impl SendQueue {
    /// Appends a message.
    ///
    /// A heartbeat or a configuration replaces an older one that still waits at the end.
    ///
    /// # Errors
    ///
    /// Returns an error if the queue is full.
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
        self.filled.notify_one();
        Ok(())
    }

    /// Removes the first message.
    pub fn pop(&self) -> Option<LinkMessage> {
        let mut state = self.state.borrow_mut();
        let message = state.messages.pop_front()?;
        state.text_bytes -= text_bytes(&message);
        Some(message)
    }

    /// Puts a message back that was removed first.
    pub fn push_front(&self, message: LinkMessage) {
        let mut state = self.state.borrow_mut();
        state.text_bytes += text_bytes(&message);
        state.messages.push_front(message);
    }

    /// Returns whether no message waits.
    pub fn is_empty(&self) -> bool {
        self.state.borrow().messages.is_empty()
    }

    /// Waits until a message was appended.
    pub async fn filled(&self) {
        while self.is_empty() {
            self.filled.notified().await;
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
