//! Reading of the next request while one is served.

use std::time::Duration;

use bytes::BytesMut;
use tokio::io::AsyncReadExt;
use tokio::io::Interest;
use tokio::net::tcp::ReadHalf;
use tokio::time::sleep;

/// Free space reserved in the receive buffer before each read, in bytes.
pub(super) const READ_BYTES: usize = 4 << 10;

/// Size of the receive buffer at which reading pauses while a request is served, in bytes.
const MAX_READ_AHEAD_BYTES: usize = READ_BYTES;

/// Interval between two checks for a close while reading pauses.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Waits until the caller disconnects; bytes of the next request are buffered meanwhile.
///
/// Once [`MAX_READ_AHEAD_BYTES`] are buffered, reading stops and only the close is awaited.
pub(super) async fn wait_for_disconnect(reader: &mut ReadHalf<'_>, received: &mut BytesMut) {
    while received.len() < MAX_READ_AHEAD_BYTES {
        received.reserve(READ_BYTES);
        match reader.read_buf(received).await {
            Ok(0) | Err(_) => return,
            Ok(_) => (),
        }
    }
    loop {
        match reader.ready(Interest::READABLE).await {
            Ok(ready) if !ready.is_read_closed() => sleep(CLOSE_CHECK_INTERVAL).await,
            Ok(_) | Err(_) => return,
        }
    }
}
