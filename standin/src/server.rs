//! The HTTP server that all stand-ins share, with its control and log calls.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpMessage;
use actix_http::HttpService;
use actix_http::KeepAlive;
use actix_http::Method;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_http::header::CONTENT_TYPE;
use actix_http::header::HeaderMap;
use actix_rt::net::TcpListener;
use actix_rt::net::TcpStream;
use actix_service::Service;
use actix_service::ServiceFactory;
use actix_service::fn_service;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::control::FaultCommand;
use crate::control::FaultState;
use crate::control::RequestLog;
use crate::transport::ConnectionState;
use crate::transport::FaultStream;

/// The upper limit of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// The first bytes of a connection that carries a control call.
const CONTROL_START: &[u8] = b"POST /control";

/// The keep-alive timeout of an idle connection.
const IDLE_TIMEOUT: Duration = Duration::from_mins(5);

/// The delay after a failed accept before the next connection is accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A completely read HTTP request.
#[derive(Debug)]
pub struct ServiceCall {
    /// The HTTP method.
    pub method: Method,
    /// The path without the query.
    pub path: String,
    /// The percent-encoded query; empty if absent.
    pub query: String,
    /// The request headers.
    pub headers: HeaderMap,
    /// The complete request body.
    pub body: Bytes,
    /// The connection that carries the call.
    pub connection: Rc<ConnectionState>,
}

impl ServiceCall {
    /// Returns a header as text, or `None` if it is absent or not text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Deserializes the query, or returns `None` if it does not match the type.
    #[must_use]
    pub fn parse_query<T: DeserializeOwned>(&self) -> Option<T> {
        serde_urlencoded::from_str(&self.query).ok()
    }
}

/// The request handler of a stand-in.
pub trait CallHandler: 'static {
    /// Answers a call other than `POST /control` and `GET /log`.
    fn answer(self: Rc<Self>, call: ServiceCall) -> LocalBoxFuture<'static, Response<BoxBody>>;

    /// Runs after each control call, so that the handler can apply changed faults.
    fn faults_changed(&self) {}
}

/// The state that the server and its handler share.
#[derive(Debug, Default)]
pub struct ServerState {
    /// The injected faults.
    pub faults: FaultState,
    /// The log of received requests.
    pub log: RequestLog,
}

/// Creates an answer with a JSON body, or a 500 answer if serialization fails.
#[must_use]
pub fn json_answer<T: Serialize>(status: StatusCode, body: &T) -> Response<BoxBody> {
    match serde_json::to_vec(body) {
        Ok(body) => Response::build(status)
            .insert_header((CONTENT_TYPE, "application/json"))
            .body(body)
            .map_into_boxed_body(),
        Err(error) => text_answer(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// Creates an answer with a text body.
#[must_use]
pub fn text_answer(status: StatusCode, text: &str) -> Response<BoxBody> {
    Response::build(status)
        .body(text.to_owned())
        .map_into_boxed_body()
}

/// Creates a 204 answer without a body.
#[must_use]
pub fn empty_answer() -> Response<BoxBody> {
    Response::new(StatusCode::NO_CONTENT)
}

/// Binds the address, spawns a task on the current thread that serves it until the runtime ends, and
/// returns the address that was bound.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn start<H: CallHandler>(
    address: SocketAddr,
    state: Rc<ServerState>,
    handler: Rc<H>,
) -> io::Result<SocketAddr> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    let address = listener.local_addr()?;
    actix_rt::spawn(serve(listener, state, handler));
    Ok(address)
}

async fn serve<H: CallHandler>(listener: TcpListener, state: Rc<ServerState>, handler: Rc<H>) {
    let shared = Rc::clone(&state);
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(IDLE_TIMEOUT))
        .client_request_timeout(Duration::ZERO)
        .h1_allow_half_closed(false)
        .tcp_nodelay(true)
        .on_connect_ext(|stream: &FaultStream, extensions| {
            extensions.insert(Rc::clone(stream.state()));
        })
        .h1(fn_service(move |request: Request| {
            answer(request, Rc::clone(&shared), Rc::clone(&handler))
        }));
    let Ok(service) = factory.new_service(()).await else {
        return;
    };
    let service = Rc::new(service);
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let connection =
                    serve_connection(stream, peer, Rc::clone(&state), Rc::clone(&service));
                actix_rt::spawn(connection);
            }
            Err(_) => actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve_connection<S>(
    stream: TcpStream,
    peer: SocketAddr,
    state: Rc<ServerState>,
    service: Rc<S>,
) where
    S: Service<(FaultStream, Option<SocketAddr>)>,
{
    if state.faults.rejects_connections() && !carries_control(&stream).await {
        state.faults.consume_rejection();
        // Without a reset, the peer could mistake the end of the connection for an empty answer.
        let _ = stream.set_zero_linger();
        return;
    }
    let _ = stream.set_nodelay(true);
    let connection = state.faults.register_connection();
    let stream = FaultStream::new(stream, connection);
    // Connection errors are ignored: they are part of the injected faults, and the peer sees them.
    let _ = service.call((stream, Some(peer))).await;
}

async fn carries_control(stream: &TcpStream) -> bool {
    let mut start = [0; CONTROL_START.len()];
    matches!(stream.peek(&mut start).await, Ok(count) if start[..count] == *CONTROL_START)
}

async fn answer<H: CallHandler>(
    mut request: Request,
    state: Rc<ServerState>,
    handler: Rc<H>,
) -> Result<Response<BoxBody>, Infallible> {
    let connection = match request.conn_data::<Rc<ConnectionState>>() {
        Some(connection) => Rc::clone(connection),
        None => Rc::default(),
    };
    let Some(body) = read_body(&mut request).await else {
        return Ok(text_answer(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body is too large or incomplete",
        ));
    };
    let call = ServiceCall {
        method: request.method().clone(),
        path: request.path().to_owned(),
        query: request.uri().query().unwrap_or_default().to_owned(),
        headers: request.headers().clone(),
        body,
        connection,
    };
    Ok(route(call, state, handler).await)
}

async fn route<H: CallHandler>(
    call: ServiceCall,
    state: Rc<ServerState>,
    handler: Rc<H>,
) -> Response<BoxBody> {
    match (call.method.as_str(), call.path.as_str()) {
        ("POST", "/control") => {
            call.connection.exempt();
            let response = control(&call.body, &state.faults);
            handler.faults_changed();
            response
        }
        ("GET", "/log") => json_answer(StatusCode::OK, &state.log.answer()),
        _ => {
            actix_rt::time::sleep(state.faults.delay()).await;
            handler.answer(call).await
        }
    }
}

fn control(body: &[u8], faults: &FaultState) -> Response<BoxBody> {
    match serde_json::from_slice::<FaultCommand>(body) {
        Ok(command) => {
            faults.apply(command);
            json_answer(StatusCode::OK, &serde_json::json!({}))
        }
        Err(error) => text_answer(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

async fn read_body(request: &mut Request) -> Option<Bytes> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.ok()?;
        if body.len() + chunk.len() > MAX_BODY_BYTES {
            return None;
        }
        body.extend_from_slice(&chunk);
    }
    Some(body.freeze())
}
