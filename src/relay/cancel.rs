//! Cancellation of requests whose callers disconnected.

use std::net::SocketAddr;

use crate::kernel::configuration::ServiceKind;
use crate::kernel::name::RequestId;
use crate::request::PlacedRequest;
use crate::upstream;

/// Cancels a request at its engine when it is dropped without being disarmed.
///
/// Only requests to engines are cancelled.
#[derive(Debug)]
pub struct CancelGuard {
    engine: Option<SocketAddr>,
    request: RequestId,
}

impl CancelGuard {
    /// Creates the guard of a dispatched request.
    pub fn new(placed: &PlacedRequest, address: SocketAddr) -> Self {
        let is_engine = placed.incoming.kind == ServiceKind::Engine;
        Self {
            engine: is_engine.then_some(address),
            request: placed.id,
        }
    }

    /// Disables the cancellation, because the request has ended at its engine or the engine is
    /// gone.
    pub fn disarm(&mut self) {
        self.engine = None;
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if let Some(address) = self.engine.take() {
            let request = self.request;
            actix_rt::spawn(async move { upstream::cancel(address, request).await });
        }
    }
}
