//! One established link: sends queued messages and delivers received ones.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::SinkExt;
use futures_util::StreamExt;
use futures_util::stream::SplitSink;
use futures_util::stream::SplitStream;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::sync::Notify;
use tokio::time::timeout;
use tokio::time::timeout_at;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

use super::error::LinkError;
use super::handshake::AuthenticatedPeer;
use super::knowledge::PeerKnowledge;
use super::queue::SendQueue;
use super::watched::ArrivalTime;
use super::watched::WatchedStream;
use crate::kernel::name::HostName;
use crate::wire::CodecError;
use crate::wire::FrameDecoder;
use crate::wire::FrameEncoder;
use crate::wire::LinkIncarnations;
use crate::wire::LinkMessage;
use crate::wire::MAX_FRAME_MESSAGES;

/// The frame length from which no further message is appended, in bytes.
const FULL_FRAME_BYTES: usize = 64 << 10;

/// What a host needs to use an established link: the peer, the send queue and the close signal.
#[derive(Debug)]
pub struct LinkHandle {
    /// The host at the other end.
    pub peer: AuthenticatedPeer,
    /// The host that opened the connection.
    pub dialer: HostName,
    /// The messages waiting to be sent.
    pub queue: SendQueue,
    /// The signal to close the link.
    pub close: Notify,
    /// What the peer understands.
    pub knowledge: PeerKnowledge,
    /// The number of received messages of unknown kinds.
    pub skipped: Cell<u64>,
    /// The number of sent pings.
    pub pings: Cell<u64>,
    /// The time that is added to the silence timeout while this host itself runs late.
    pub allowance: Rc<Cell<Duration>>,
}

impl LinkHandle {
    /// Creates the handle of a link to an authenticated peer, with an empty queue.
    #[must_use]
    pub fn new(peer: AuthenticatedPeer, dialer: HostName, knowledge: PeerKnowledge) -> Self {
        Self {
            peer,
            dialer,
            queue: SendQueue::default(),
            close: Notify::new(),
            knowledge,
            skipped: Cell::new(0),
            pings: Cell::new(0),
            allowance: Rc::default(),
        }
    }

    /// Returns the address at which the peer accepts links.
    pub fn address(&self) -> SocketAddr {
        self.peer.address
    }
}

/// The ping interval and the silence timeout of one link.
#[derive(Clone, Copy, Debug)]
pub struct LinkTimes {
    /// The time for which the send queue stays empty before a ping is sent.
    pub ping_interval: Duration,
    /// The time without received bytes after which the link is closed.
    pub silence_timeout: Duration,
}

/// The callback for received messages; gets the name of the sending host and the message.
pub type MessageReceiver = Rc<dyn Fn(&HostName, LinkMessage)>;

/// Runs an established link until it is closed or fails, and returns the reason.
pub async fn run_link<S>(
    stream: WebSocketStream<WatchedStream<S>>,
    handle: &LinkHandle,
    own_incarnation: u64,
    times: LinkTimes,
    receiver: &MessageReceiver,
) -> LinkError
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let peer_incarnation = handle.peer.incarnation;
    let encoder = FrameEncoder::new(LinkIncarnations {
        sender: own_incarnation,
        receiver: peer_incarnation,
    });
    let decoder = FrameDecoder::new(LinkIncarnations {
        sender: peer_incarnation,
        receiver: own_incarnation,
    });
    let arrival = stream.get_ref().arrival();
    let (sink, stream) = stream.split();
    tokio::select! {
        error = send_all(sink, handle, encoder, times.ping_interval) => error,
        error = receive_all(stream, &arrival, handle, decoder, times.silence_timeout, receiver) => error,
        () = handle.close.notified() => LinkError::Closed,
    }
}

async fn send_all<S>(
    mut sink: SplitSink<WebSocketStream<WatchedStream<S>>, Message>,
    handle: &LinkHandle,
    mut encoder: FrameEncoder,
    ping_interval: Duration,
) -> LinkError
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    loop {
        let ready = timeout(ping_interval, handle.queue.wait_nonempty()).await;
        let message = if ready.is_ok() {
            match next_frame(handle, &mut encoder) {
                Ok(frame) if frame.is_empty() => continue,
                Ok(frame) => Message::binary(frame),
                Err(error) => return error.into(),
            }
        } else {
            handle.pings.update(|pings| pings + 1);
            Message::Ping(bytes::Bytes::new())
        };
        if let Err(error) = sink.send(message).await {
            return LinkError::Socket(error.to_string());
        }
    }
}

fn next_frame(handle: &LinkHandle, encoder: &mut FrameEncoder) -> Result<Vec<u8>, CodecError> {
    let queue = &handle.queue;
    let mut frame = Vec::new();
    for _ in 0..MAX_FRAME_MESSAGES {
        if frame.len() >= FULL_FRAME_BYTES {
            break;
        }
        let Some(message) = queue.pop() else {
            break;
        };
        let Some(message) = handle.knowledge.adapt(message) else {
            continue;
        };
        if matches!(message, LinkMessage::Configuration(_)) && !frame.is_empty() {
            // A configuration can take up the whole frame limit, so it must come first in its
            // frame.
            queue.push_front(message);
            break;
        }
        match encoder.encode(&message, &mut frame) {
            Err(CodecError::MessageTooLong { .. }) if is_self_contained(&message) => {}
            outcome => outcome?,
        }
    }
    Ok(frame)
}

/// Returns whether a message is dropped if it is too long. Encoding such a message leaves the
/// tables of the encoder unchanged, so the link need not be closed.
fn is_self_contained(message: &LinkMessage) -> bool {
    matches!(
        message,
        LinkMessage::Configuration(_)
            | LinkMessage::ConfigurationDeltas(_)
            | LinkMessage::Query { .. }
            | LinkMessage::QueryAnswer { .. }
            | LinkMessage::ReleaseEvidence(_)
    )
}

async fn receive_all<S>(
    mut stream: SplitStream<WebSocketStream<WatchedStream<S>>>,
    arrival: &ArrivalTime,
    handle: &LinkHandle,
    mut decoder: FrameDecoder,
    silence_timeout: Duration,
    receiver: &MessageReceiver,
) -> LinkError
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    loop {
        let due = || arrival.get() + silence_timeout + handle.allowance.get();
        let silent_at = due();
        let Ok(next) = timeout_at(silent_at, stream.next()).await else {
            if due() > silent_at {
                // Bytes of an incomplete frame have arrived in the meantime, or this host runs late.
                continue;
            }
            return LinkError::Silent;
        };
        let frame = match next {
            Some(Ok(Message::Binary(frame))) => frame,
            Some(Ok(Message::Ping(_) | Message::Pong(_))) => continue,
            Some(Ok(_)) | None => return LinkError::Closed,
            Some(Err(error)) => return LinkError::Socket(error.to_string()),
        };
        let messages = decoder.decode(&frame);
        handle.skipped.set(decoder.skipped());
        match messages {
            Ok(messages) => {
                for message in messages {
                    receiver(&handle.peer.host, message);
                }
            }
            Err(error) => return error.into(),
        }
    }
}
