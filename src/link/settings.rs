//! Settings of links.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use crate::kernel::name::HostName;

/// The default time for which the send queue stays empty before a ping is sent; longer than the interval
/// of heartbeats.
pub const PING_INTERVAL: Duration = Duration::from_millis(1_250);

/// The default time without received bytes after which a link is closed.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// The secret key that all hosts share; its `Debug` output hides the value.
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
    /// The random number that this process drew at its start.
    pub incarnation: u64,
    /// The address of the listening socket.
    pub listen: SocketAddr,
    /// The address that other hosts dial; `None` if it is that of the listening socket.
    pub advertise: Option<SocketAddr>,
    /// The key that all hosts share.
    pub shared_key: SharedKey,
    /// The time for which the send queue stays empty before a ping is sent.
    pub ping_interval: Duration,
    /// The time without received bytes after which a link is closed.
    pub silence_timeout: Duration,
}

impl LinkSettings {
    /// Creates settings with the default times and without an advertised address.
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
