//! A simulated model engine with an OpenAI-style HTTP interface.

mod cache;
mod completion;
mod runner;
mod stream;

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BodyStream;
use actix_http::body::BoxBody;
use actix_http::header::CONTENT_TYPE;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use borageladder_kernel::ask::LoadReport;
use borageladder_kernel::name::ModelName;
use borageladder_kernel::name::WorkerName;
use futures_util::future::LocalBoxFuture;
use serde::Deserialize;
use serde_json::json;

use self::cache::CacheAnswer;
use self::completion::CompletionKind;
use self::completion::CompletionRequest;
use self::runner::EngineRunner;
use self::stream::StreamRecord;
use crate::model::EngineProfile;
use crate::server;
use crate::server::CallHandler;
use crate::server::ServerState;
use crate::server::ServiceCall;
use crate::server::empty_answer;
use crate::server::json_answer;
use crate::server::text_answer;

/// The exit code of the process when a prompt triggers the injected crash fault.
pub const CRASH_EXIT_CODE: i32 = 3;

/// The configuration of a simulated engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// The worker name, sent in the `x-engine` header of successful completion answers.
    pub name: WorkerName,
    /// The models that the engine serves.
    pub models: Vec<ModelName>,
    /// The speed and the capacity limits of the engine.
    pub profile: EngineProfile,
}

/// The HTTP service of a simulated engine.
#[derive(Debug)]
pub struct EngineService {
    models: Vec<ModelName>,
    name: WorkerName,
    state: Rc<ServerState>,
    runner: Rc<EngineRunner>,
}

#[derive(Deserialize)]
struct AfterQuery {
    #[serde(default)]
    after: u64,
}

impl EngineService {
    /// Serves an engine on the current thread and returns its bound address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(address: SocketAddr, spec: EngineSpec) -> io::Result<SocketAddr> {
        let state = Rc::new(ServerState::default());
        let runner = Rc::new(EngineRunner::new(spec.profile));
        actix_rt::spawn(runner::run(Rc::clone(&runner)));
        let service = Rc::new(Self {
            models: spec.models,
            name: spec.name,
            state: Rc::clone(&state),
            runner,
        });
        server::start(address, state, service)
    }

    async fn route(&self, call: ServiceCall) -> Response<BoxBody> {
        let path = call.path.as_str();
        if let Some(label) = path.strip_prefix("/v1/streams/") {
            return self.handle_stream(&call, label);
        }
        match (call.method.as_str(), path) {
            ("POST", "/v1/chat/completions") => self.complete(CompletionKind::Chat, &call).await,
            ("POST", "/v1/completions") => self.complete(CompletionKind::Text, &call).await,
            ("GET", "/load") => json_answer(StatusCode::OK, &self.load()),
            ("GET", "/cache/events") => self.cache_events(&call),
            _ => text_answer(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    async fn complete(&self, kind: CompletionKind, call: &ServiceCall) -> Response<BoxBody> {
        let label = call.header("x-request-id").map(str::to_owned);
        let label = label.unwrap_or_else(|| self.runner.next_label());
        self.state.log.add(&label);
        let completion = match CompletionRequest::parse(kind, label, &call.body) {
            Ok(completion) => completion,
            Err(error) => return error_answer("invalid_request", &error.to_string()),
        };
        if self.state.faults.crashes_on(&completion.prompt) {
            std::process::exit(CRASH_EXIT_CODE);
        }
        if self.state.faults.take_reset_request() {
            call.connection.reset();
            return empty_answer();
        }
        if !self.serves(completion.model.as_deref()) {
            return error_answer("model_not_found", "the engine does not serve the model");
        }
        let stream = completion.stream;
        let record = self.runner.admit(completion);
        if stream {
            self.stream_answer(&record, 0)
        } else {
            self.full_answer(&record).await
        }
    }

    async fn full_answer(&self, record: &Rc<StreamRecord>) -> Response<BoxBody> {
        match record.wait().await {
            Ok(usage) => {
                let answer = record.completion.full_answer(usage);
                let mut response = json_answer(StatusCode::OK, &answer);
                self.add_engine_header(&mut response);
                response
            }
            Err(error) => error_answer("cancelled", &error.to_string()),
        }
    }

    fn stream_answer(&self, record: &Rc<StreamRecord>, after: usize) -> Response<BoxBody> {
        let body = BodyStream::new(Box::pin(record.read(after)));
        let mut response = Response::build(StatusCode::OK)
            .insert_header((CONTENT_TYPE, "text/event-stream"))
            .body(body)
            .map_into_boxed_body();
        self.add_engine_header(&mut response);
        response
    }

    fn handle_stream(&self, call: &ServiceCall, label: &str) -> Response<BoxBody> {
        match call.method.as_str() {
            "GET" => self.resume(call, label),
            "DELETE" => {
                self.runner.cancel(label);
                empty_answer()
            }
            _ => text_answer(StatusCode::METHOD_NOT_ALLOWED, "no such method"),
        }
    }

    fn resume(&self, call: &ServiceCall, label: &str) -> Response<BoxBody> {
        let Some(query) = call.parse_query::<AfterQuery>() else {
            return text_answer(StatusCode::BAD_REQUEST, "after must be a number");
        };
        let after = usize::try_from(query.after).unwrap_or(usize::MAX);
        match self.runner.record(label) {
            Some(record) => self.stream_answer(&record, after),
            None => text_answer(StatusCode::NOT_FOUND, "no such stream"),
        }
    }

    fn cache_events(&self, call: &ServiceCall) -> Response<BoxBody> {
        let Some(query) = call.parse_query::<AfterQuery>() else {
            return text_answer(StatusCode::BAD_REQUEST, "after must be a number");
        };
        let batch = self.runner.cache_events(query.after);
        json_answer(StatusCode::OK, &CacheAnswer::from(&batch))
    }

    fn load(&self) -> LoadReport {
        LoadReport {
            leaving: self.state.faults.is_leaving(),
            ..self.runner.load()
        }
    }

    fn serves(&self, model: Option<&str>) -> bool {
        let served = |model| self.models.iter().any(|served| served.as_str() == model);
        model.is_none_or(served)
    }

    fn add_engine_header(&self, response: &mut Response<BoxBody>) {
        let name = HeaderName::from_static("x-engine");
        if let Ok(value) = HeaderValue::from_str(self.name.as_str()) {
            response.headers_mut().insert(name, value);
        }
    }
}

impl CallHandler for EngineService {
    fn answer(self: Rc<Self>, call: ServiceCall) -> LocalBoxFuture<'static, Response<BoxBody>> {
        Box::pin(async move { self.route(call).await })
    }

    fn faults_changed(&self) {
        if let Some(factor) = self.state.faults.take_slowdown() {
            self.runner.set_slowdown(factor);
        }
    }
}

fn error_answer(code: &str, message: &str) -> Response<BoxBody> {
    let status = match code {
        "model_not_found" => StatusCode::NOT_FOUND,
        "cancelled" => StatusCode::CONFLICT,
        _ => StatusCode::BAD_REQUEST,
    };
    json_answer(
        status,
        &json!({"error": {"code": code, "message": message}}),
    )
}
