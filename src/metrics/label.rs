//! The values of metric labels.

use opentelemetry::KeyValue;
use opentelemetry::StringValue;

use crate::kernel::name::ServiceName;
use crate::kernel::name::TierName;

macro_rules! labels {
    ($($(#[$meta:meta])* $label:ident { $($(#[$value_meta:meta])* $value:ident $text:literal,)* })*) => {$(
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum $label {
            $($(#[$value_meta])* $value,)*
        }

        impl $label {
            /// All values.
            pub const ALL: &'static [Self] = &[$(Self::$value,)*];

            /// Returns the label value.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$value => $text,)*
                }
            }
        }
    )*};
}

labels! {
    /// The outcome of a request.
    RequestOutcome {
        /// The complete answer arrived within the deadline.
        InTime "in-time",
        /// The complete answer arrived after the deadline.
        Late "late",
        /// The answer was cut off before its end.
        Cut "cut",
        /// The caller disconnected before the answer was complete.
        CallerLeft "caller-left",
        /// The request was valid, but was refused and did not run.
        Refused "refused",
        /// The request did not run and its refusal has no [`RefusalReason`], for example because
        /// the request was invalid or another one with its idempotency key is in progress.
        ///
        /// [`RefusalReason`]: crate::kernel::ask::RefusalReason
        Rejected "rejected",
        /// Whether the request ran could not be determined.
        Unknown "unknown",
    }

    /// What became of a handshake of a link.
    HandshakeLabel {
        /// It was begun, by this host or by the other.
        Begun "begun",
        /// It failed, or its connection could not be opened.
        Failed "failed",
        /// It waited until others had ended, since too many were in progress.
        Delayed "delayed",
    }

    /// What became of a hedge, the second dispatch of a slow request.
    HedgeLabel {
        /// It was sent.
        Sent "sent",
        /// Its answer was relayed.
        Won "won",
        /// It was cancelled, since the first dispatch was answered.
        Lost "lost",
        /// It ended without an answer that can be relayed.
        Failed "failed",
        /// It was cancelled with the request, since the caller disconnected.
        Cancelled "cancelled",
    }

    /// Why the prefill of a prompt was wasted.
    WasteCause {
        /// The answer was incomplete.
        Incomplete "not-whole",
        /// The answer arrived after the deadline.
        Late "late",
        /// Another live worker of the cell had the prefix cached.
        Recomputed "recomputed",
    }

    /// The outcome of an attempt to claim an idempotency key.
    ClaimAttemptLabel {
        /// The claim was inserted and the request may run.
        Won "won",
        /// Another request holds the claim and may still be running.
        InProgress "in-progress",
        /// The stored answer was replayed, or the key was used for a request with other content.
        Repeated "repeated",
        /// The outcome of the request that holds the claim is unknown.
        Unknown "unknown",
        /// The answer to the insertion was lost and the claim was read back from the platform's
        /// table.
        ReadBack "read-back",
        /// The claim was released because the request did not run.
        Released "released",
        /// The claim could not be made or its stored answer not be read, for example because the
        /// platform did not answer.
        Unavailable "unavailable",
    }

    /// The kind of connection that carries traffic.
    TrafficCarrier {
        /// A link between hosts.
        Link "link",
        /// A connection to a worker.
        Worker "worker",
    }

    /// The direction of traffic, relative to the host.
    TrafficDirection {
        /// Sent by the host.
        Sent "sent",
        /// Received by the host.
        Received "received",
    }

    /// The network distance that traffic covers.
    TrafficDistance {
        /// Within a data centre.
        Datacenter "datacenter",
        /// Between data centres of one region.
        Region "region",
        /// Between regions, where traffic is billed.
        BetweenRegions "between-regions",
    }

    /// The side of a release that a request was sent to.
    ReleaseSide {
        /// The version that the order names.
        Target "target",
        /// The other versions.
        Baseline "baseline",
    }

    /// What became of the answer to a request that was sent during a release.
    ReleaseOutcome {
        /// It began or was complete, and is no failure.
        Answered "answered",
        /// It is a failure that the worker signed.
        Failed "failed",
        /// It did not come, or ended early.
        Lost "lost",
    }

    /// The outcome of a call to the platform.
    CallOutcome {
        /// The platform answered.
        Answered "answered",
        /// The call failed: the platform answered with an error, or not at all.
        Failed "failed",
        /// The platform did not answer in time.
        TimedOut "timed-out",
    }
}

/// The labels `tier` and `service` of a request.
#[derive(Clone, Debug)]
pub struct RequestLabels {
    tier: StringValue,
    service: StringValue,
}

impl RequestLabels {
    /// Creates the labels, to be reused for all measurements of a request.
    #[must_use]
    pub fn new(tier: &TierName, service: &ServiceName) -> Self {
        Self {
            tier: StringValue::from(tier.to_string()),
            service: StringValue::from(service.to_string()),
        }
    }

    pub(super) fn attributes(&self) -> [KeyValue; 2] {
        [
            KeyValue::new("tier", self.tier.clone()),
            KeyValue::new("service", self.service.clone()),
        ]
    }

    pub(super) fn attributes_with(
        &self,
        label: &'static str,
        value: &'static str,
    ) -> [KeyValue; 3] {
        let [tier, service] = self.attributes();
        [tier, service, KeyValue::new(label, value)]
    }
}
