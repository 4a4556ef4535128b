//! Settings of links.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use crate::kernel::name::HostName;

/// The time without anything to send after which an empty ping is sent.
pub const PING_INTERVAL: Duration = Duration::from_millis(500);

/// The time without anything received after which a link is closed as silent.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// The key that all hosts share; its value is never printed.
#[derive(Clone, Eq, PartialEq)]
pub struct SharedKey([u8; 32]);

impl SharedKey {
    /// Wraps the bytes of a key.
    #[must_use]
    pub const fn new(key: [u8; 32]) -> Self {
        Self(key)
    }

    pub(super) const fn bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Debug for SharedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SharedKey")
    }
}

/// The settings of the links of one host.
#[derive(Clone, Debug)]
pub struct LinkSettings {
    /// The name of this host.
    pub host: HostName,
    /// The random number that this process drew when it started.
    pub incarnation: u64,
    /// The address at which links are accepted.
    pub listen: SocketAddr,
    /// The address that other hosts dial, if it differs from the one that is listened at.
    pub advertise: Option<SocketAddr>,
    /// The key that all hosts share.
    pub shared_key: SharedKey,
    /// The time without anything to send after which an empty ping is sent.
    pub ping_interval: Duration,
    /// The time without anything received after which a link is closed as silent.
    pub silence_timeout: Duration,
}

impl LinkSettings {
    /// Creates settings with the usual times.
    #[must_use]
    pub const fn new(
        host: HostName,
        incarnation: u64,
        listen: SocketAddr,
        shared_key: SharedKey,
    ) -> Self {
        Self {
            host,
            incarnation,
            listen,
            advertise: None,
            shared_key,
            ping_interval: PING_INTERVAL,
            silence_timeout: SILENCE_TIMEOUT,
        }
    }
}
