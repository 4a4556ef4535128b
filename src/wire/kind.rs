//! Kinds of messages, for counting and logging them.

use super::LinkMessage;

macro_rules! kinds {
    ($($kind:ident $name:literal;)*) => {
        /// The kind of a [`LinkMessage`].
        #[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
        pub enum MessageKind {
            $(#[doc = concat!("The kind `", $name, "`.")] $kind,)*
        }

        impl MessageKind {
            /// All kinds.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)*];

            /// Returns the name of the kind in kebab case.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$kind => $name,)*
                }
            }
        }

        impl LinkMessage {
            /// Returns the kind of the message.
            #[must_use]
            pub const fn kind(&self) -> MessageKind {
                match self {
                    $(Self::$kind { .. } => MessageKind::$kind,)*
                }
            }
        }
    };
}

kinds! {
    Heartbeat "heartbeat";
    Members "members";
    ClassedMembers "classed-members";
    Ask "ask";
    Withdraw "withdraw";
    Grant "grant";
    Refuse "refuse";
    Refer "refer";
    Report "report";
    Declare "declare";
    Rates "rates";
    Workspaces "workspaces";
    Summary "summary";
    Configuration "configuration";
    ConfigurationDeltas "configuration-deltas";
    ConfigurationWanted "configuration-wanted";
    Crash "crash";
    CrashedParts "crashed-parts";
    SoundParts "sound-parts";
    SoundAnswer "sound-answer";
    Waiting "waiting";
    Usage "usage";
    UsageSum "usage-sum";
    UsageBundle "usage-bundle";
    ReleaseEvidence "release-evidence";
    StateWanted "state-wanted";
    State "state";
    StreamBegun "stream-begun";
    StreamVersion "stream-version";
    StreamWanted "stream-wanted";
    BegunStreams "begun-streams";
    StreamRecords "stream-records";
    Query "query";
    QueryAnswer "query-answer";
}
