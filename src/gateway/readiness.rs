//! The readiness endpoint, probed by the load balancer.

use std::rc::Rc;
use std::time::Duration;

use actix_codec::Decoder;
use actix_http::StatusCode;
use actix_http::h1::Codec;
use actix_http::h1::Message;
use bytes::BytesMut;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::caller::CallerWriter;
use super::host::GatewayHost;
use crate::listener::accept_connections;
use crate::server::StopSignal;

/// The idle timeout of a connection of the load balancer.
const IDLE_TIME: Duration = Duration::from_secs(15);

/// The initial capacity of the read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 1 << 10;

/// Answers readiness probes until the process ends.
pub async fn serve_readiness(host: Rc<GatewayHost>, listener: TcpListener) {
    // A stopping host keeps answering, with status 503.
    let never = StopSignal::default();
    accept_connections(listener, &never, |stream, _| {
        actix_rt::spawn(answer_connection(Rc::clone(&host), stream));
    })
    .await;
}

async fn answer_connection(host: Rc<GatewayHost>, mut stream: TcpStream) {
    let mut codec = Codec::new(host.http.clone());
    let mut received = BytesMut::with_capacity(READ_BUFFER_BYTES);
    loop {
        match codec.decode(&mut received) {
            Ok(Some(Message::Item(request))) => {
                let path_matches = request.path() == host.dialect.readiness_path();
                let status = match (path_matches, host.is_ready()) {
                    (false, _) => StatusCode::NOT_FOUND,
                    (true, true) => StatusCode::OK,
                    (true, false) => StatusCode::SERVICE_UNAVAILABLE,
                };
                let (_, writer) = stream.split();
                let mut caller = CallerWriter::new(writer, &mut codec, &host);
                let reason = status.canonical_reason().unwrap_or_default();
                let answered = caller.write_local_answer(status, None, reason).await;
                if answered.is_err() || !caller.keep_alive() {
                    return;
                }
            }
            Ok(Some(Message::Chunk(_))) => (),
            Ok(None) => match timeout(IDLE_TIME, stream.read_buf(&mut received)).await {
                Ok(Ok(count)) if count > 0 => (),
                _ => return,
            },
            Err(_) => return,
        }
    }
}
