//! A simulated instance of a plain service, which is an upstream that serves no model; it counts
//! the runs of each idempotency key.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use borageladder_kernel::ask::LoadReport;
use borageladder_kernel::name::WorkerName;
use futures_util::future::LocalBoxFuture;
use serde::Deserialize;
use serde::Serialize;

use crate::server;
use crate::server::CallHandler;
use crate::server::ServerState;
use crate::server::ServiceCall;
use crate::server::json_answer;

/// One call that the service ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallRecord {
    /// The value of `x-request-id`; empty if the header is absent or not text.
    pub request: String,
    /// The HTTP method.
    pub method: String,
    /// The path without the query.
    pub path: String,
    /// The value of `idempotency-key`; `None` if the header is absent or not text.
    pub key: Option<String>,
    /// The number of calls with this key so far, this one included; 1 without a key.
    pub run: usize,
}

/// The JSON body of the answer to `GET /calls`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallList {
    /// The calls in the order in which they ran.
    pub calls: Vec<CallRecord>,
}

/// The JSON body of the answer to a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallAnswer {
    /// The worker name of the instance that ran the call.
    pub worker: WorkerName,
    /// The record of the call.
    #[serde(flatten)]
    pub call: CallRecord,
    /// The body of the call as text, with replacement characters for invalid UTF-8.
    pub body: String,
}

/// The HTTP service of one instance of a plain service.
#[derive(Debug)]
pub struct PlainService {
    name: WorkerName,
    state: Rc<ServerState>,
    list: RefCell<CallList>,
}

impl PlainService {
    /// Serves an instance on the current thread and returns its bound address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(address: SocketAddr, name: WorkerName) -> io::Result<SocketAddr> {
        let state = Rc::new(ServerState::default());
        let service = Rc::new(Self {
            name,
            state: Rc::clone(&state),
            list: RefCell::default(),
        });
        server::start(address, state, service)
    }

    fn run(&self, call: &ServiceCall) -> Response<BoxBody> {
        let record = self.record(call);
        self.state.log.add(&record.request);
        self.list.borrow_mut().calls.push(record.clone());
        if self.state.faults.take_reset_request() {
            call.connection.reset();
        }
        let answer = CallAnswer {
            worker: self.name.clone(),
            call: record,
            body: String::from_utf8_lossy(&call.body).into_owned(),
        };
        json_answer(StatusCode::OK, &answer)
    }

    fn record(&self, call: &ServiceCall) -> CallRecord {
        let key = call.header("idempotency-key").map(str::to_owned);
        let request = call.header("x-request-id").unwrap_or_default().to_owned();
        let list = self.list.borrow();
        let has_same_key = |record: &&CallRecord| key.is_some() && record.key == key;
        let run = list.calls.iter().filter(has_same_key).count() + 1;
        CallRecord {
            request,
            method: call.method.to_string(),
            path: call.path.clone(),
            key,
            run,
        }
    }

    fn load(&self) -> LoadReport {
        LoadReport {
            leaving: self.state.faults.is_leaving(),
            ..LoadReport::default()
        }
    }
}

impl CallHandler for PlainService {
    fn answer(self: Rc<Self>, call: ServiceCall) -> LocalBoxFuture<'static, Response<BoxBody>> {
        Box::pin(async move {
            match (call.method.as_str(), call.path.as_str()) {
                ("GET", "/calls") => json_answer(StatusCode::OK, &*self.list.borrow()),
                ("GET", "/load") => json_answer(StatusCode::OK, &self.load()),
                _ => self.run(&call),
            }
        })
    }
}
