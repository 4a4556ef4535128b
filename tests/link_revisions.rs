//! Links to hosts of other builds: which messages a host sends to a peer that states its revision,
//! and to one that states none.

mod link_support;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use borageladder::kernel::ask::WorkProgress;
use borageladder::kernel::name::HostName;
use borageladder::link::LinkSet;
use borageladder::wire::FrameDecoder;
use borageladder::wire::LinkIncarnations;
use borageladder::wire::LinkMessage;
use borageladder::wire::WireRevision;
use futures_util::SinkExt;
use futures_util::StreamExt;
use link_support::host;
use link_support::log;
use link_support::run;
use link_support::samples::report;
use link_support::settings;
use link_support::until;
use serde::Serialize;
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::client_async;
use tokio_tungstenite::tungstenite::Message;

const OWN_INCARNATION: u64 = 11;
const PEER_INCARNATION: u64 = 22;

/// The key that [`settings`] gives to all hosts.
const SHARED_KEY: [u8; 32] = [7; 32];

/// The first message of a link, with the fields of builds that don't state their revision.
#[derive(Serialize)]
struct PeerHello {
    version: u8,
    host: String,
    incarnation: u64,
    address: SocketAddr,
    nonce: [u8; 32],
    #[serde(skip_serializing_if = "Option::is_none")]
    revision: Option<u16>,
}

/// A peer whose messages are written by the test.
struct ScriptedPeer {
    stream: WebSocketStream<TcpStream>,
    decoder: FrameDecoder,
}

impl ScriptedPeer {
    async fn connect(address: SocketAddr, incarnation: u64, revision: Option<u16>) -> Self {
        let connection = TcpStream::connect(address).await.expect("a listener");
        let url = format!("ws://{address}/link");
        let opened = client_async(url, connection).await;
        let (mut stream, _) = opened.expect("a WebSocket");
        let hello = PeerHello {
            version: 1,
            host: "peer".to_owned(),
            incarnation,
            address: "127.0.0.1:9".parse().expect("an address"),
            nonce: [3; 32],
            revision,
        };
        let mut own = Vec::new();
        ciborium::into_writer(&hello, &mut own).expect("a short message");
        send(&mut stream, own.clone()).await;
        let other = receive(&mut stream).await.expect("a hello");
        let proof = proof(b"borageladder link dialer", &own, &other);
        send(&mut stream, proof.as_bytes().to_vec()).await;
        receive(&mut stream).await.expect("a proof");
        let decoder = FrameDecoder::new(LinkIncarnations {
            sender: OWN_INCARNATION,
            receiver: incarnation,
        });
        Self { stream, decoder }
    }

    async fn next_message(&mut self) -> LinkMessage {
        loop {
            let frame = receive(&mut self.stream).await.expect("a frame");
            let messages = self.decoder.decode(&frame).expect("a valid frame");
            if let Some(message) = messages.into_iter().next() {
                return message;
            }
        }
    }
}

fn proof(label: &[u8], dialer: &[u8], listener: &[u8]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(&SHARED_KEY);
    for part in [label, dialer, listener] {
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize()
}

async fn send(stream: &mut WebSocketStream<TcpStream>, bytes: Vec<u8>) {
    let sent = stream.send(Message::binary(bytes)).await;
    sent.expect("an open connection");
}

async fn receive(stream: &mut WebSocketStream<TcpStream>) -> Option<Vec<u8>> {
    while let Some(Ok(message)) = stream.next().await {
        if let Message::Binary(bytes) = message {
            return Some(bytes.to_vec());
        }
    }
    None
}

async fn start() -> Rc<LinkSet> {
    let receive = Rc::new(|_: &HostName, _| ());
    let log = log();
    let links = LinkSet::start(settings("own", OWN_INCARNATION), &log, receive);
    links.await.expect("a free port")
}

fn rejected() -> LinkMessage {
    let rest = Duration::from_secs(3);
    report(70, WorkProgress::Rejected { rest })
}

/// Links a peer, sends it a rejection, and returns what it receives and whether the link is still
/// there once the peer has broken it.
async fn received_by(links: &LinkSet, incarnation: u64, revision: Option<u16>) -> LinkMessage {
    let name = host("peer");
    let mut peer = ScriptedPeer::connect(links.own_address(), incarnation, revision).await;
    until(|| links.peer_incarnation(&name) == Some(incarnation)).await;
    links.send(&name, rejected()).expect("a link");
    let message = peer.next_message().await;
    drop(peer);
    until(|| !links.is_connected(&name)).await;
    message
}

#[test]
fn a_peer_is_sent_what_the_revision_that_it_states_knows() {
    run(async {
        let links = start().await;
        let failed = report(70, WorkProgress::Failed);
        let received = received_by(&links, PEER_INCARNATION, Some(1)).await;
        assert_eq!(received, failed);
        let newer = WireRevision::CURRENT.0 + 5;
        let received = received_by(&links, PEER_INCARNATION, Some(newer)).await;
        assert_eq!(received, rejected());
    });
}

// Guards against a link to a host of an early build that ends at each rejection.
#[test]
fn a_peer_that_breaks_the_link_at_a_later_kind_is_sent_none_again() {
    run(async {
        let links = start().await;
        let received = received_by(&links, PEER_INCARNATION, None).await;
        assert_eq!(received, rejected());
        let received = received_by(&links, PEER_INCARNATION, None).await;
        assert_eq!(received, report(70, WorkProgress::Failed));
        // A peer that has started again may be of another build.
        let received = received_by(&links, PEER_INCARNATION + 1, None).await;
        assert_eq!(received, rejected());
    });
}
