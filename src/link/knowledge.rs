//! What the peer at the other end of a link understands.
//!
//! Builds up to [`WireRevision::UNSTATED`] don't state their revision. A host that states none is
//! taken for the last of them. If its end of the link breaks on the first message that earlier ones
//! don't know, it is taken for the earliest until it starts again.

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;

use super::handshake::AuthenticatedPeer;
use crate::wire::LinkMessage;
use crate::wire::WireRevision;

/// The time after an assumption within which the end of the link speaks against it.
const ASSUMPTION_TIME: Duration = Duration::from_secs(1);

/// What the peer at the other end of a link understands.
#[derive(Debug)]
pub struct PeerKnowledge {
    revision: WireRevision,
    is_stated: bool,
    /// The time of the first message that only the assumed revision knows; `None` before it.
    assumed_at: Cell<Option<Instant>>,
}

impl PeerKnowledge {
    /// Returns what a peer is known to understand; `is_earliest` tells whether an earlier link has
    /// shown that it knows the earliest revision only.
    #[must_use]
    pub fn of(peer: &AuthenticatedPeer, is_earliest: bool) -> Self {
        let assumed = if is_earliest {
            WireRevision::EARLIEST
        } else {
            WireRevision::UNSTATED
        };
        Self {
            revision: peer.revision.unwrap_or(assumed),
            is_stated: peer.revision.is_some(),
            assumed_at: Cell::new(None),
        }
    }

    /// Returns the revision that the peer states, or that it is taken to have.
    #[must_use]
    pub const fn revision(&self) -> WireRevision {
        self.revision
    }

    /// Returns whether the peer states its revision.
    #[must_use]
    pub const fn is_stated(&self) -> bool {
        self.is_stated
    }

    /// Returns a message in the form that the peer understands; `None` if there is none.
    pub fn adapt(&self, message: LinkMessage) -> Option<LinkMessage> {
        let is_assumed = !self.is_stated && message.revision() > WireRevision::EARLIEST;
        if is_assumed && self.assumed_at.get().is_none() {
            self.assumed_at.set(Some(Instant::now()));
        }
        message.for_revision(self.revision)
    }

    /// Returns whether a break of the link by the peer shows that it only knows the earliest revision.
    #[must_use]
    pub fn is_refuted_by_break(&self) -> bool {
        let assumes = self.revision == WireRevision::UNSTATED && !self.is_stated;
        let assumed_at = self.assumed_at.get().filter(|_| assumes);
        assumed_at.is_some_and(|at| at.elapsed() < ASSUMPTION_TIME)
    }
}
