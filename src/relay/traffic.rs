//! The bytes that an answer costs on the network.

use std::rc::Rc;

use crate::cell::SlotLease;
use crate::context::HostContext;
use crate::metering;
use crate::metrics::TrafficCarrier;
use crate::metrics::TrafficDirection;
use crate::metrics::TrafficDistance;
use crate::request::PlacedRequest;

/// Counts the bytes of one answer when it ends, in whatever way.
pub struct TrafficCount {
    context: Rc<HostContext>,
    distance: TrafficDistance,
    /// The bytes that have arrived.
    pub received: u64,
}

impl TrafficCount {
    /// Counts the bytes that were sent and starts to count those that arrive.
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
