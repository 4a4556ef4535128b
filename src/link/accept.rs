//! Acceptance of links, and the handshake of either end.

use std::rc::Rc;

use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::LinkSet;
use super::dial;
use super::error::LinkError;
use super::handshake::AuthenticatedPeer;
use super::handshake::LinkEnd;
use super::handshake::LinkStream;
use super::handshake::perform_handshake;
use crate::event::LogEvent;
use crate::kernel::name::WorkerName;
use crate::log_event;

/// The maximum number of accepted connections with an incomplete handshake; further connections wait
/// until they are accepted.
const MAX_HANDSHAKES: usize = 64;

impl LinkSet {
    pub(super) async fn accept_all(self: Rc<Self>, listener: TcpListener) {
        loop {
            if self.pending_handshakes.get() >= MAX_HANDSHAKES {
                self.traffic
                    .record_activity(|activity| activity.delayed += 1);
                tokio::select! {
                    () = self.handshake_ended.notified() => continue,
                    () = self.wait_until_stopped() => return,
                }
            }
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.wait_until_stopped() => return,
            };
            match accepted {
                Ok((connection, _)) => self.accept(connection),
                Err(error) => {
                    let error = error.to_string();
                    log_event!(self.log, LogEvent::LinkRejected, "error" => error);
                    tokio::time::sleep(dial::MIN_BACKOFF).await;
                }
            }
        }
    }

    fn accept(&self, connection: TcpStream) {
        let Some(set) = self.this.upgrade() else {
            return;
        };
        self.pending_handshakes
            .set(self.pending_handshakes.get() + 1);
        actix_rt::spawn(async move {
            let outcome = set.authenticate(connection, LinkEnd::Listener, None).await;
            set.pending_handshakes.set(set.pending_handshakes.get() - 1);
            set.handshake_ended.notify_one();
            match outcome {
                Ok((stream, peer)) if peer.tunnel.is_some() => set.accept_tunnel(stream, peer),
                Ok((stream, peer)) => {
                    let dialer = peer.host.clone();
                    set.run(stream, peer, dialer).await;
                }
                Err(error) => set.log_rejection(&error),
            }
        });
    }

    pub(super) async fn authenticate(
        &self,
        connection: TcpStream,
        end: LinkEnd,
        tunnel: Option<&WorkerName>,
    ) -> Result<(LinkStream, AuthenticatedPeer), LinkError> {
        self.traffic.record_activity(|activity| activity.begun += 1);
        let handshake = perform_handshake(connection, end, &self.settings, self.address, tunnel);
        let outcome = tokio::select! {
            outcome = handshake => outcome,
            () = self.wait_until_stopped() => Err(LinkError::Closed),
        };
        if outcome.is_err() {
            self.traffic
                .record_activity(|activity| activity.failed += 1);
        }
        outcome
    }
}
