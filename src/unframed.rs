//! Bodies without a length for callers of HTTP/1.0, which has no chunked encoding.
//!
//! Such a body ends with its connection. Until it is complete, any close resets the connection, so
//! that a truncated body can be told from a complete one.

use std::pin::Pin;
use std::rc::Rc;
use std::rc::Weak;
use std::task::Context;
use std::task::Poll;

use actix_http::ConnectionType;
use actix_http::Response;
use actix_http::Version;
use actix_http::body::BodySize;
use actix_http::body::BoxBody;
use actix_http::body::MessageBody;
use bytes::Bytes;

use crate::probe::ConnectionProbe;

/// Adapts a response to the version of its request; one of HTTP/1.1 or with a length stays as it is.
pub fn adapt_response(
    mut response: Response<BoxBody>,
    version: Version,
    connection: Option<&Rc<ConnectionProbe>>,
) -> Response<BoxBody> {
    if version >= Version::HTTP_11 || response.body().size() != BodySize::Stream {
        return response;
    }
    let head = response.head_mut();
    head.no_chunking(true);
    head.set_connection_type(ConnectionType::Close);
    // Without a handle the process has no descriptor left, and the close stays orderly.
    let Some(connection) = connection else {
        return response;
    };
    let connection = Rc::downgrade(connection);
    response.map_body(|_, body| BoxBody::new(UnframedBody::new(body, connection)))
}

/// A body that ends with its connection.
struct UnframedBody {
    body: BoxBody,
    connection: Weak<ConnectionProbe>,
}

impl UnframedBody {
    fn new(body: BoxBody, connection: Weak<ConnectionProbe>) -> Self {
        let body = Self { body, connection };
        body.set_reset_on_close(true);
        body
    }

    fn set_reset_on_close(&self, reset: bool) {
        if let Some(connection) = self.connection.upgrade() {
            // If the option can't be set, the connection is closed as usual.
            let _ = connection.set_reset_on_close(reset);
        }
    }
}

impl MessageBody for UnframedBody {
    type Error = Box<dyn std::error::Error>;

    fn size(&self) -> BodySize {
        BodySize::Stream
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let next = Pin::new(&mut self.body).poll_next(cx);
        if matches!(next, Poll::Ready(None)) {
            self.set_reset_on_close(false);
        }
        next
    }
}
