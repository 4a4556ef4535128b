//! The network traffic of a request to a worker and its answer.

use std::rc::Rc;

use crate::cell::SlotLease;
use crate::context::HostContext;
use crate::metering;
use crate::metrics::TrafficCarrier;
use crate::metrics::TrafficDirection;
use crate::metrics::TrafficDistance;
use crate::request::PlacedRequest;

/// Adds the received bytes of one answer to the metrics when it is dropped, however the answer
/// ended.
pub struct TrafficCount {
    context: Rc<HostContext>,
    distance: TrafficDistance,
    /// The number of bytes received so far.
    pub received: u64,
}

impl TrafficCount {
    /// Adds the bytes of the request to the metrics and starts the count of received bytes.
    pub fn new(context: &Rc<HostContext>, placed: &PlacedRequest, lease: &SlotLease) -> Self {
        let distance = metering::worker_distance(context, &lease.grant().worker);
        let sent = placed.incoming.body.len() as u64;
        let direction = TrafficDirection::Sent;
        context
            .metrics
            .traffic(TrafficCarrier::Worker, direction, distance, sent);
        Self {
            context: Rc::clone(context),
            distance,
            received: 0,
        }
    }
}

impl Drop for TrafficCount {
    fn drop(&mut self) {
        let metrics = &self.context.metrics;
        let direction = TrafficDirection::Received;
        metrics.traffic(
            TrafficCarrier::Worker,
            direction,
            self.distance,
            self.received,
        );
    }
}
