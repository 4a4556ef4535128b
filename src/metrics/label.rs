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

            /// Returns the value as it stands in the label.
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
    /// How a request ended.
    RequestOutcome {
        /// The whole answer arrived within its deadline.
        InTime "in-time",
        /// The whole answer arrived after its deadline.
        Late "late",
        /// The answer ended before it was whole.
        Cut "cut",
        /// The caller left before the answer was whole.
        CallerLeft "caller-left",
        /// The request was refused and did not run.
        Refused "refused",
        /// The request was not valid and did not run.
        Rejected "rejected",
        /// It is not known whether the request ran.
        Unknown "unknown",
    }

    /// Why the prefill of a prompt was wasted.
    WasteCause {
        /// The answer was not whole.
        NotWhole "not-whole",
        /// The answer was late.
        Late "late",
        /// Another live worker of the cell had the prefix cached.
        Recomputed "recomputed",
    }

    /// What became of an attempt to claim an idempotency key.
    ClaimOutcome {
        /// The claim was inserted and the request may run.
        Won "won",
        /// Another request holds the claim and runs.
        InProgress "in-progress",
        /// The kept answer was sent again.
        Repeated "repeated",
        /// The outcome of the claim's holder is unknown.
        Unknown "unknown",
        /// The reply was lost and the claim was read back.
        ReadBack "read-back",
        /// The claim was given back because nothing ran.
        Released "released",
        /// The platform did not answer.
        Unavailable "unavailable",
    }

    /// What carries traffic.
    TrafficCarrier {
        /// A link between hosts.
        Link "link",
        /// A connection to a worker.
        Worker "worker",
    }

    /// The direction of traffic, as the host sees it.
    TrafficDirection {
        /// From the host.
        Sent "sent",
        /// To the host.
        Received "received",
    }

    /// How far traffic goes.
    TrafficDistance {
        /// Within a data centre.
        Datacenter "datacenter",
        /// Between data centres of a region.
        Region "region",
        /// Between regions, which is billed.
        BetweenRegions "between-regions",
    }

    /// What became of a call to the platform.
    CallOutcome {
        /// The platform answered.
        Answered "answered",
        /// The platform answered with an error.
        Failed "failed",
        /// The platform did not answer in time.
        TimedOut "timed-out",
    }
}

/// The labels that most metrics have: the tier and the service of a request.
#[derive(Clone, Debug)]
pub struct WorkLabels {
    tier: StringValue,
    service: StringValue,
}

impl WorkLabels {
    /// Creates the labels once, to be used for many records.
    #[must_use]
    pub fn new(tier: &TierName, service: &ServiceName) -> Self {
        Self {
            tier: StringValue::from(tier.to_string()),
            service: StringValue::from(service.to_string()),
        }
    }

    pub(super) fn pair(&self) -> [KeyValue; 2] {
        [
            KeyValue::new("tier", self.tier.clone()),
            KeyValue::new("service", self.service.clone()),
        ]
    }

    pub(super) fn with(&self, label: &'static str, value: &'static str) -> [KeyValue; 3] {
        let [tier, service] = self.pair();
        [tier, service, KeyValue::new(label, value)]
    }
}
