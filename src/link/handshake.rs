//! The handshake in which both ends of a link prove the shared key.
//!
//! Each end sends a greeting with a fresh nonce, then the keyed hash of both greetings. The hashes
//! of the two ends differ by a label, so neither can be sent back to the end that made it.

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

use super::error::HandshakeFault;
use super::error::LinkError;
use super::settings::LinkSettings;
use super::settings::SharedKey;
use super::watched::WatchedStream;
use crate::kernel::name::HostName;
use crate::wire::MAX_FRAME_BYTES;

/// The time within which a handshake must be complete.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// The version of the protocol between hosts.
const PROTOCOL_VERSION: u8 = 1;

/// The longest message of a handshake, in bytes.
const MAX_HANDSHAKE_BYTES: usize = 512;

/// The size of the buffers of one connection, in bytes.
const BUFFER_BYTES: usize = 8 << 10;

const DIALER_LABEL: &[u8] = b"borageladder link dialer";
const LISTENER_LABEL: &[u8] = b"borageladder link listener";

/// A WebSocket connection between two hosts.
pub type LinkStream = WebSocketStream<WatchedStream<TcpStream>>;

/// The end of a link that this host is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkEnd {
    /// This host opened the connection.
    Dialer,
    /// This host accepted the connection.
    Listener,
}

/// What a host says about itself before the proof.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Greeting {
    version: u8,
    host: String,
    incarnation: u64,
    address: SocketAddr,
    nonce: [u8; 32],
}

/// The other end of a link, after it proved the shared key.
#[derive(Clone, Debug)]
pub struct ProvenPeer {
    /// The name of the host.
    pub host: HostName,
    /// The random number that the host drew when it started.
    pub incarnation: u64,
    /// The address at which the host accepts links.
    pub address: SocketAddr,
}

fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_write_buffer_size(MAX_FRAME_BYTES * 2)
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

fn fault(fault: HandshakeFault) -> LinkError {
    LinkError::Handshake(fault)
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "the signature that `map_err` needs"
)]
fn socket_error(error: SocketError) -> LinkError {
    LinkError::Socket(error.to_string())
}

/// Proves the shared key to the other end of a connection and checks its proof.
///
/// # Errors
///
/// Returns an error if the other end does not prove the key in time or breaks the protocol.
pub async fn shake_hands(
    connection: TcpStream,
    end: LinkEnd,
    settings: &LinkSettings,
    address: SocketAddr,
) -> Result<(LinkStream, ProvenPeer), LinkError> {
    let handshake = exchange(connection, end, settings, address);
    let outcome = timeout(HANDSHAKE_TIMEOUT, handshake).await;
    outcome.unwrap_or(Err(fault(HandshakeFault::Timeout)))
}

async fn exchange(
    connection: TcpStream,
    end: LinkEnd,
    settings: &LinkSettings,
    address: SocketAddr,
) -> Result<(LinkStream, ProvenPeer), LinkError> {
    connection.set_nodelay(true)?;
    let mut stream = open_socket(connection, end).await?;
    let own = Greeting {
        version: PROTOCOL_VERSION,
        host: settings.host.as_str().to_owned(),
        incarnation: settings.incarnation,
        address,
        nonce: rand::random(),
    };
    let own_bytes = encode(&own)?;
    send(&mut stream, own_bytes.clone()).await?;
    let peer_bytes = receive(&mut stream).await?;
    let peer = decode(&peer_bytes)?;
    let key = &settings.shared_key;
    let (own_proof, expected) = proofs(key, end, &own_bytes, &peer_bytes);
    send(&mut stream, own_proof.as_bytes().to_vec()).await?;
    check_proof(&receive(&mut stream).await?, &expected)?;
    let peer = check_peer(&peer, settings)?;
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

fn proofs(key: &SharedKey, end: LinkEnd, own: &[u8], peer: &[u8]) -> (blake3::Hash, blake3::Hash) {
    match end {
        LinkEnd::Dialer => (
            proof(key, DIALER_LABEL, own, peer),
            proof(key, LISTENER_LABEL, own, peer),
        ),
        LinkEnd::Listener => (
            proof(key, LISTENER_LABEL, peer, own),
            proof(key, DIALER_LABEL, peer, own),
        ),
    }
}

fn proof(key: &SharedKey, label: &[u8], dialer: &[u8], listener: &[u8]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(key.bytes());
    for part in [label, dialer, listener] {
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize()
}

fn check_proof(proof: &[u8], expected: &blake3::Hash) -> Result<(), LinkError> {
    let proof = <[u8; 32]>::try_from(proof);
    // The comparison of two hashes takes the same time wherever they differ.
    if proof.is_ok_and(|proof| blake3::Hash::from(proof) == *expected) {
        Ok(())
    } else {
        Err(fault(HandshakeFault::Proof))
    }
}

fn check_peer(peer: &Greeting, settings: &LinkSettings) -> Result<ProvenPeer, LinkError> {
    if peer.version != PROTOCOL_VERSION {
        let version = peer.version;
        return Err(fault(HandshakeFault::Version { version }));
    }
    let host = HostName::try_from(peer.host.as_str());
    let host = host.map_err(|error| fault(HandshakeFault::Name(error)))?;
    if host == settings.host {
        return Err(fault(HandshakeFault::SameName));
    }
    Ok(ProvenPeer {
        host,
        incarnation: peer.incarnation,
        address: peer.address,
    })
}

fn encode(greeting: &Greeting) -> Result<Vec<u8>, LinkError> {
    let mut bytes = Vec::new();
    let written = ciborium::into_writer(greeting, &mut bytes);
    written.map_err(|error| fault(HandshakeFault::Malformed(error.to_string())))?;
    Ok(bytes)
}

fn decode(bytes: &[u8]) -> Result<Greeting, LinkError> {
    let greeting = ciborium::from_reader(bytes);
    greeting.map_err(|error| fault(HandshakeFault::Malformed(error.to_string())))
}

async fn send(stream: &mut LinkStream, bytes: Vec<u8>) -> Result<(), LinkError> {
    let sent = stream.send(Message::binary(bytes)).await;
    sent.map_err(socket_error)
}

async fn receive(stream: &mut LinkStream) -> Result<Vec<u8>, LinkError> {
    let message = stream.next().await.ok_or(LinkError::Closed)?;
    match message.map_err(socket_error)? {
        Message::Binary(bytes) if bytes.len() <= MAX_HANDSHAKE_BYTES => Ok(bytes.to_vec()),
        Message::Close(_) => Err(LinkError::Closed),
        _ => Err(fault(HandshakeFault::Malformed(
            "unexpected message".to_owned(),
        ))),
    }
}
