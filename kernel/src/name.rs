//! Validated names and identifiers.

use std::borrow::Borrow;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// The maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// The reason why a text is not a valid name or identifier.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum NameError {
    /// The text is empty.
    #[error("a name must not be empty")]
    Empty,
    /// The text is longer than [`MAX_NAME_BYTES`].
    #[error("name of {length} bytes is longer than {MAX_NAME_BYTES}")]
    TooLong {
        /// The length of the text, in bytes.
        length: usize,
    },
    /// The text contains a character other than ASCII letters and digits, `.`, `_`, `-` and `/`.
    #[error("name {name:?} holds the character {character:?}")]
    Character {
        /// The rejected text.
        name: String,
        /// The first character that is not allowed.
        character: char,
    },
    /// The text is not a valid request identifier.
    #[error("{text:?} is not a request identifier such as 9f2c41d0a3b5e671-42")]
    RequestId {
        /// The rejected text.
        text: String,
    },
}

fn check_name(name: &str) -> Result<(), NameError> {
    if name.is_empty() {
        return Err(NameError::Empty);
    }
    if name.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong { length: name.len() });
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-' | '/');
    match name.chars().find(|c| !allowed(*c)) {
        Some(character) => Err(NameError::Character {
            name: name.to_owned(),
            character,
        }),
        None => Ok(()),
    }
}

macro_rules! names {
    ($($(#[$meta:meta])* $name:ident;)*) => {$(
        $(#[$meta])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(into = "String", try_from = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(name: &str) -> Result<Self, NameError> {
                Self::try_from(name)
            }
        }

        impl TryFrom<&str> for $name {
            type Error = NameError;

            fn try_from(name: &str) -> Result<Self, NameError> {
                check_name(name)?;
                Ok(Self(Arc::from(name)))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(name: String) -> Result<Self, NameError> {
                Self::try_from(name.as_str())
            }
        }
    )*};
}

names! {
    /// The name of a data centre.
    DatacenterName;
    /// The name of one of the hosts that run the daemon.
    HostName;
    /// The name of a model that engines serve.
    ModelName;
    /// The name of an operator, as recorded in the audit trail.
    OperatorName;
    /// The name of a region, which holds one or more data centres.
    RegionName;
    /// The name of a placement rule.
    RuleName;
    /// The name of a service that workers provide.
    ServiceName;
    /// The name of a tier.
    TierName;
    /// The name of an engine or of an instance of a plain service.
    WorkerName;
    /// The version of the software that a worker runs.
    WorkerVersion;
    /// The name of a workspace.
    WorkspaceName;
}

/// The rank of a tier; zero is the highest tier.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct TierRank(pub u8);

/// The digest of one block of a prompt, chained with the digests of all preceding blocks.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct BlockDigest(pub u64);

/// The identifier of a request, unique across all hosts and restarts.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::name::RequestId;
///
/// let request = RequestId { incarnation: 0x9f2c, sequence: 42 };
/// assert_eq!(request.to_string(), "0000000000009f2c-42");
/// assert_eq!("0000000000009f2c-42".parse(), Ok(request));
/// ```
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestId {
    /// A random number that identifies the process that received the request; drawn at its start.
    pub incarnation: u64,
    /// The sequence number of the request within that process.
    pub sequence: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{}", self.incarnation, self.sequence)
    }
}

impl FromStr for RequestId {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        let parse = || {
            let (incarnation, sequence) = text.split_once('-')?;
            let incarnation = u64::from_str_radix(incarnation, 16).ok()?;
            let sequence = sequence.parse().ok()?;
            Some(Self {
                incarnation,
                sequence,
            })
        };
        parse().ok_or_else(|| NameError::RequestId {
            text: text.to_owned(),
        })
    }
}

/// The identifier of a grant, unique among the grants of one broker.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct GrantId {
    /// The incarnation of the broker: that of its process, a random number, plus the number of brokers
    /// that the process had started before.
    pub broker: u64,
    /// The sequence number of the grant; each broker counts from one.
    pub sequence: u64,
}
