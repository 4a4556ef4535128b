//! The handshake in which both ends of a link authenticate each other with the shared key.
//!
//! Each end sends a hello message with a fresh nonce, then its proof, which is the keyed hash of a
//! label and both hello messages. The two ends use different labels, so a proof can't be reflected
//! to the end that computed it.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::SinkExt;
use futures_util::StreamExt;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::accept_async_with_config;
use tokio_tungstenite::client_async_with_config;
use tokio_tungstenite::tungstenite::Error as SocketError;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use super::error::HandshakeError;
use super::error::LinkError;
use super::settings::LinkSettings;
use super::settings::SharedKey;
use super::watched::WatchedStream;
use crate::kernel::name::HostName;
use crate::kernel::name::WorkerName;
use crate::wire::MAX_FRAME_BYTES;
use crate::wire::WireRevision;

/// The time limit of a handshake, and of opening the connection before it.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// The version of the protocol between hosts.
const PROTOCOL_VERSION: u8 = 1;

/// The maximum length of a handshake message, in bytes.
const MAX_HANDSHAKE_BYTES: usize = 512;

/// The size of the read buffer and of the write buffer of a connection, in bytes.
const BUFFER_BYTES: usize = 8 << 10;

/// The labels that make the proofs of the two ends differ.
const DIALER_LABEL: &[u8] = b"borageladder link dialer";
const LISTENER_LABEL: &[u8] = b"borageladder link listener";

/// A WebSocket connection between two hosts.
pub type LinkStream = WebSocketStream<WatchedStream<TcpStream>>;

/// The role of this host on a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkEnd {
    /// This host opened the connection.
    Dialer,
    /// This host accepted the connection.
    Listener,
}

/// The first message of each end, sent before the proof of the key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct HelloMessage {
    version: u8,
    host: String,
    incarnation: u64,
    address: SocketAddr,
    nonce: [u8; 32],
    /// The worker to which the dialer wants a tunnel; `None` for a link.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    tunnel: Option<String>,
    /// The revision of the messages that the host understands; `None` up to
    /// [`WireRevision::UNSTATED`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    revision: Option<WireRevision>,
}

/// The host at the other end of a link, after it proved the shared key.
#[derive(Clone, Debug)]
pub struct AuthenticatedPeer {
    /// The name of the peer.
    pub host: HostName,
    /// The random number that the peer's process drew at its start.
    pub incarnation: u64,
    /// The address at which the peer accepts links.
    pub address: SocketAddr,
    /// The worker to which the peer wants a tunnel through this host; `None` for a link.
    pub tunnel: Option<WorkerName>,
    /// The revision of the messages that the peer understands; `None` if it states none.
    pub revision: Option<WireRevision>,
}

fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_write_buffer_size(MAX_FRAME_BYTES * 2)
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

fn handshake_error(error: HandshakeError) -> LinkError {
    LinkError::Handshake(error)
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "the signature that `map_err` needs"
)]
fn socket_error(error: SocketError) -> LinkError {
    LinkError::Socket(error.to_string())
}

/// Opens a WebSocket on a connection, proves the shared key to the peer and checks its proof.
///
/// `own_address` is the address at which this host accepts links, which is sent to the peer, as is
/// the worker to which this host wants a tunnel, if any.
///
/// # Errors
///
/// Returns an error if the connection fails, a message is malformed, the proof is wrong or late, or
/// the peer can't be linked because of its protocol version or name.
pub async fn perform_handshake(
    connection: TcpStream,
    end: LinkEnd,
    settings: &LinkSettings,
    own_address: SocketAddr,
    tunnel: Option<&WorkerName>,
) -> Result<(LinkStream, AuthenticatedPeer), LinkError> {
    let handshake = exchange_proofs(connection, end, settings, own_address, tunnel);
    let outcome = timeout(HANDSHAKE_TIMEOUT, handshake).await;
    outcome.unwrap_or(Err(handshake_error(HandshakeError::Timeout)))
}

async fn exchange_proofs(
    connection: TcpStream,
    end: LinkEnd,
    settings: &LinkSettings,
    own_address: SocketAddr,
    tunnel: Option<&WorkerName>,
) -> Result<(LinkStream, AuthenticatedPeer), LinkError> {
    connection.set_nodelay(true)?;
    let mut stream = open_socket(connection, end).await?;
    let own_hello = HelloMessage {
        version: PROTOCOL_VERSION,
        host: settings.host.as_str().to_owned(),
        incarnation: settings.incarnation,
        address: own_address,
        nonce: rand::random(),
        tunnel: tunnel.map(ToString::to_string),
        revision: Some(WireRevision::CURRENT),
    };
    let own_bytes = encode(&own_hello)?;
    send(&mut stream, own_bytes.clone()).await?;
    let peer_bytes = receive(&mut stream).await?;
    let peer_hello = decode(&peer_bytes)?;
    let key = &settings.shared_key;
    let (own_proof, expected) = own_and_expected_proof(key, end, &own_bytes, &peer_bytes);
    send(&mut stream, own_proof.as_bytes().to_vec()).await?;
    check_proof(&receive(&mut stream).await?, &expected)?;
    let peer = check_peer(&peer_hello, settings)?;
    Ok((stream, peer))
}

async fn open_socket(connection: TcpStream, end: LinkEnd) -> Result<LinkStream, LinkError> {
    let config = Some(socket_config());
    let address = connection.peer_addr()?;
    let connection = WatchedStream::new(connection);
    match end {
        LinkEnd::Dialer => {
            let url = format!("ws://{address}/link");
            let client = client_async_with_config(url, connection, config).await;
            client.map(|(stream, _)| stream).map_err(socket_error)
        }
        LinkEnd::Listener => {
            let server = accept_async_with_config(connection, config).await;
            server.map_err(socket_error)
        }
    }
}

/// Returns the proof that this end sends and the one that it expects from the peer.
fn own_and_expected_proof(
    key: &SharedKey,
    end: LinkEnd,
    own: &[u8],
    peer: &[u8],
) -> (blake3::Hash, blake3::Hash) {
    match end {
        LinkEnd::Dialer => (
            compute_proof(key, DIALER_LABEL, own, peer),
            compute_proof(key, LISTENER_LABEL, own, peer),
        ),
        LinkEnd::Listener => (
            compute_proof(key, LISTENER_LABEL, peer, own),
            compute_proof(key, DIALER_LABEL, peer, own),
        ),
    }
}

fn compute_proof(key: &SharedKey, label: &[u8], dialer: &[u8], listener: &[u8]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(key.bytes());
    for part in [label, dialer, listener] {
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize()
}

fn check_proof(proof: &[u8], expected: &blake3::Hash) -> Result<(), LinkError> {
    let proof = <[u8; 32]>::try_from(proof);
    // `blake3::Hash` compares in constant time, so the timing reveals nothing about the expected
    // hash.
    if proof.is_ok_and(|proof| blake3::Hash::from(proof) == *expected) {
        Ok(())
    } else {
        Err(handshake_error(HandshakeError::Proof))
    }
}

fn check_peer(
    hello: &HelloMessage,
    settings: &LinkSettings,
) -> Result<AuthenticatedPeer, LinkError> {
    if hello.version != PROTOCOL_VERSION {
        let version = hello.version;
        return Err(handshake_error(HandshakeError::Version { version }));
    }
    let host = HostName::try_from(hello.host.as_str());
    let host = host.map_err(|error| handshake_error(HandshakeError::Name(error)))?;
    if host == settings.host {
        return Err(handshake_error(HandshakeError::SameName));
    }
    let tunnel = hello.tunnel.as_deref().map(WorkerName::try_from);
    let tunnel = tunnel.transpose();
    Ok(AuthenticatedPeer {
        host,
        incarnation: hello.incarnation,
        address: hello.address,
        tunnel: tunnel.map_err(|error| handshake_error(HandshakeError::Name(error)))?,
        revision: hello.revision,
    })
}

fn encode(hello: &HelloMessage) -> Result<Vec<u8>, LinkError> {
    let mut bytes = Vec::new();
    let written = ciborium::into_writer(hello, &mut bytes);
    written.map_err(|error| handshake_error(HandshakeError::Malformed(error.to_string())))?;
    Ok(bytes)
}

fn decode(bytes: &[u8]) -> Result<HelloMessage, LinkError> {
    let hello = ciborium::from_reader(bytes);
    hello.map_err(|error| handshake_error(HandshakeError::Malformed(error.to_string())))
}

pub(super) async fn send(stream: &mut LinkStream, bytes: Vec<u8>) -> Result<(), LinkError> {
    let sent = stream.send(Message::binary(bytes)).await;
    sent.map_err(socket_error)
}

pub(super) async fn receive(stream: &mut LinkStream) -> Result<Vec<u8>, LinkError> {
    let message = stream.next().await.ok_or(LinkError::Closed)?;
    match message.map_err(socket_error)? {
        Message::Binary(bytes) if bytes.len() <= MAX_HANDSHAKE_BYTES => Ok(bytes.to_vec()),
        Message::Close(_) => Err(LinkError::Closed),
        _ => Err(handshake_error(HandshakeError::Malformed(
            "unexpected message".to_owned(),
        ))),
    }
}
