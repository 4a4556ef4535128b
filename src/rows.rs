//! What this host has to say to an operator's query, as rows.

use serde_json::Value;
use serde_json::json;

use crate::context::HostContext;
use crate::journal::RequestPhase;
use crate::journal::RequestRecord;
use crate::kernel::name::RequestId;

/// The most rows of one table that a host sends.
pub const MAX_ROWS: usize = 1_000;

/// A question that a host answers from its own state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LocalQuestion {
    /// The requests in a phase.
    Requests(RequestPhase),
    /// The steps of one request.
    Steps(RequestId),
    /// The workers of the brokers that run here.
    Workers,
    /// This host itself.
    Host,
}

impl LocalQuestion {
    /// Returns the question as text, to be sent to other hosts.
    #[must_use]
    pub fn to_text(self) -> String {
        match self {
            Self::Requests(phase) => format!("requests {}", phase.as_str()),
            Self::Steps(request) => format!("steps {request}"),
            Self::Workers => "workers".to_owned(),
            Self::Host => "host".to_owned(),
        }
    }

    /// Reads a question that another host sent.
    #[must_use]
    pub fn from_text(text: &str) -> Option<Self> {
        match text.split_once(' ') {
            Some(("requests", phase)) => RequestPhase::from_text(phase).map(Self::Requests),
            Some(("steps", request)) => request.parse().ok().map(Self::Steps),
            None if text == "workers" => Some(Self::Workers),
            None if text == "host" => Some(Self::Host),
            _ => None,
        }
    }

    /// Returns the names of the columns of the answer.
    #[must_use]
    pub const fn columns(self) -> &'static [&'static str] {
        match self {
            Self::Requests(_) => &[
                "request", "workspace", "service", "model", "tier", "rule", "worker", "age_ms",
                "code", "ran", "host",
            ],
            Self::Steps(_) => &["request", "after_ms", "host", "step"],
            Self::Workers => &["worker", "service", "datacenter", "limit", "running", "straggler"],
            Self::Host => &["host", "datacenter", "version", "ready", "waiting", "running", "brokers"],
        }
    }
}

/// Returns the rows of this host for a question; none for one that can't be read.
#[must_use]
pub fn local(context: &HostContext, text: &str) -> Vec<Vec<Value>> {
    let mut rows = match LocalQuestion::from_text(text) {
        Some(LocalQuestion::Requests(phase)) => request_rows(context, phase),
        Some(LocalQuestion::Steps(request)) => step_rows(context, request),
        Some(LocalQuestion::Workers) => worker_rows(context),
        Some(LocalQuestion::Host) => vec![host_row(context)],
        None => Vec::new(),
    };
    let surplus = rows.len().saturating_sub(MAX_ROWS);
    rows.drain(..surplus);
    rows
}

fn request_rows(context: &HostContext, phase: RequestPhase) -> Vec<Vec<Value>> {
    let journal = context.journal.borrow();
    let row = |record: &RequestRecord| request_row(context, record);
    journal.in_phase(phase).map(row).collect()
}

fn request_row(context: &HostContext, record: &RequestRecord) -> Vec<Value> {
    let age = context.clock.now().since(record.received).as_millis();
    vec![
        json!(record.request.to_string()),
        json!(record.workspace.as_str()),
        json!(record.service.as_str()),
        json!(record.model.as_ref().map(|model| model.as_str())),
        json!(record.tier.as_str()),
        json!(record.rule.as_ref().map(|rule| rule.as_str())),
        json!(record.worker.as_ref().map(|worker| worker.as_str())),
        json!(age),
        json!(record.code),
        json!(record.ran.map(|ran| ran.as_str())),
        json!(context.host().as_str()),
    ]
}

fn step_rows(context: &HostContext, request: RequestId) -> Vec<Vec<Value>> {
    let journal = context.journal.borrow();
    let Some(record) = journal.find(request) else { return Vec::new() };
    let steps = record.steps.iter();
    steps
        .map(|step| {
            vec![
                json!(request.to_string()),
                json!(step.after.as_millis()),
                json!(context.host().as_str()),
                json!(step.text),
            ]
        })
        .collect()
}

fn worker_rows(context: &HostContext) -> Vec<Vec<Value>> {
    context.cells.with_brokers(|brokers| {
        let cells = brokers.iter();
        let rows = cells.flat_map(|(cell, broker)| {
            broker.workers().map(move |worker| {
                vec![
                    json!(worker.worker.as_str()),
                    json!(cell.service.as_str()),
                    json!(cell.datacenter.as_str()),
                    json!(worker.limit),
                    json!(worker.running),
                    json!(worker.straggler),
                ]
            })
        });
        rows.collect()
    })
}

fn host_row(context: &HostContext) -> Vec<Value> {
    let journal = context.journal.borrow();
    vec![
        json!(context.host().as_str()),
        json!(context.datacenter().as_str()),
        json!(context.applied().configuration.version.0),
        json!(context.is_ready()),
        json!(journal.in_phase(RequestPhase::Waiting).count()),
        json!(journal.in_phase(RequestPhase::Running).count()),
        json!(context.cells.own_cells().len()),
    ]
}
