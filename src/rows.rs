//! The rows with which this host answers operators' queries.

use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::context::HostContext;
use crate::journal::RequestPhase;
use crate::journal::RequestRecord;
use crate::journal::RequestStep;
use crate::kernel::ask::Refusal;
use crate::kernel::ask::RefusalReason;
use crate::kernel::broker::WorkerView;
use crate::kernel::configuration::Configuration;
use crate::kernel::configuration::WorkerSpec;
use crate::kernel::configuration::WorkerState;
use crate::kernel::name::RequestId;
use crate::kernel::name::WorkerName;
use crate::language::TableName;

/// The maximum number of rows per answer of a host; the first rows of a longer answer are dropped.
pub const MAX_HOST_ROWS: usize = 1_000;

/// The columns of the answer to `explain`.
pub const STEP_COLUMNS: [&str; 4] = ["request", "after-ms", "host", "step"];

const EXPLAIN: &str = "explain ";

const DROP: &str = "drop ";

/// The Retry-After time of a request that an operator dropped.
const DROPPED_RETRY_AFTER: Duration = Duration::from_secs(30);

/// An operator's query or command that each host answers from its own state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HostQuery {
    /// The rows of a result table.
    Table(TableName),
    /// The steps of one request.
    Steps(RequestId),
    /// The refusal of a waiting request by an operator. The host where the request waited answers
    /// with one row.
    Drop(RequestId),
}

impl HostQuery {
    /// Returns the text form, which is sent to other hosts.
    #[must_use]
    pub fn to_text(self) -> String {
        match self {
            Self::Table(table) => table.as_str().to_owned(),
            Self::Steps(request) => format!("{EXPLAIN}{request}"),
            Self::Drop(request) => format!("{DROP}{request}"),
        }
    }

    /// Parses the text form; `None` if it is invalid.
    #[must_use]
    pub fn from_text(text: &str) -> Option<Self> {
        if let Some(request) = text.strip_prefix(EXPLAIN) {
            return request.parse().ok().map(Self::Steps);
        }
        if let Some(request) = text.strip_prefix(DROP) {
            return request.parse().ok().map(Self::Drop);
        }
        let table = TableName::ALL.iter().find(|table| table.as_str() == text);
        table.copied().map(Self::Table)
    }
}

/// Returns the rows of this host for a [`HostQuery`] in text form, at most [`MAX_HOST_ROWS`]; empty
/// if the text is invalid.
///
/// A [`HostQuery::Drop`] refuses the request if it waits on this host.
#[must_use]
pub fn host_rows(context: &HostContext, text: &str) -> Vec<Vec<Value>> {
    let mut rows = match HostQuery::from_text(text) {
        Some(HostQuery::Table(table)) => table_rows(context, table),
        Some(HostQuery::Steps(request)) => step_rows(context, request),
        Some(HostQuery::Drop(request)) => drop_request(context, request),
        None => Vec::new(),
    };
    let surplus = rows.len().saturating_sub(MAX_HOST_ROWS);
    rows.drain(..surplus);
    rows
}

fn drop_request(context: &HostContext, request: RequestId) -> Vec<Vec<Value>> {
    let refusal = Refusal {
        request,
        reason: RefusalReason::Dropped,
        retry_after: DROPPED_RETRY_AFTER,
    };
    if context.cells.drop_ask(refusal) {
        return vec![vec![json!(request.to_string())]];
    }
    Vec::new()
}

fn table_rows(context: &HostContext, table: TableName) -> Vec<Vec<Value>> {
    match table {
        TableName::Waiting => request_rows(context, RequestPhase::Waiting, waiting_row),
        TableName::Running => request_rows(context, RequestPhase::Running, running_row),
        TableName::Refused => request_rows(context, RequestPhase::Refused, refused_row),
        TableName::Workers => worker_rows(context),
        TableName::Hosts => vec![host_row(context)],
        TableName::Versions => vec![version_row(context)],
        _ => Vec::new(),
    }
}

fn request_rows(
    context: &HostContext,
    phase: RequestPhase,
    row: impl Fn(&HostContext, &RequestRecord) -> Vec<Value>,
) -> Vec<Vec<Value>> {
    let journal = context.journal.borrow();
    journal
        .in_phase(phase)
        .map(|record| row(context, record))
        .collect()
}

fn age(context: &HostContext, record: &RequestRecord) -> Value {
    json!(context.clock.now().since(record.placed_at).as_millis())
}

fn waiting_row(context: &HostContext, record: &RequestRecord) -> Vec<Value> {
    vec![
        json!(record.request.to_string()),
        age(context, record),
        json!(record.deadline.since(context.clock.now()).as_millis()),
        json!(record.workspace),
        json!(record.service),
        json!(record.model),
        json!(record.tier),
        json!(record.rule),
        json!(record.prompt_tokens),
        json!(context.host()),
    ]
}

fn running_row(context: &HostContext, record: &RequestRecord) -> Vec<Value> {
    vec![
        json!(record.request.to_string()),
        age(context, record),
        json!(record.workspace),
        json!(record.service),
        json!(record.model),
        json!(record.tier),
        json!(record.rule),
        json!(record.worker),
        json!(record.answer_tokens),
        json!(context.host()),
    ]
}

fn refused_row(context: &HostContext, record: &RequestRecord) -> Vec<Value> {
    vec![
        json!(record.request.to_string()),
        age(context, record),
        json!(record.workspace),
        json!(record.service),
        json!(record.tier),
        json!(record.code),
        json!(record.retry_after.map(|duration| duration.as_millis())),
        json!(context.host()),
    ]
}

fn step_rows(context: &HostContext, request: RequestId) -> Vec<Vec<Value>> {
    let journal = context.journal.borrow();
    let Some(record) = journal.find(request) else {
        return Vec::new();
    };
    let row = |step: &RequestStep| {
        vec![
            json!(request.to_string()),
            json!(step.after.as_millis()),
            json!(context.host()),
            json!(step.text),
        ]
    };
    record.steps.iter().map(row).collect()
}

/// Returns the rows of the workers whose broker runs on this host.
fn worker_rows(context: &HostContext) -> Vec<Vec<Value>> {
    context.cells.with_brokers(|brokers| {
        let workers = brokers.iter().flat_map(|(_, broker)| broker.workers());
        workers
            .filter_map(|worker| brokered_worker_row(context, &worker))
            .collect()
    })
}

fn brokered_worker_row(context: &HostContext, worker: &WorkerView<'_>) -> Option<Vec<Value>> {
    let applied = context.applied();
    let spec = applied.configuration.workers.get(worker.worker)?;
    let leaving = context.leaving.borrow().contains(worker.worker);
    let state = match spec.state {
        WorkerState::Draining => "draining",
        WorkerState::Active if leaving => "leaving",
        WorkerState::Active if worker.failed => "failed",
        WorkerState::Active if worker.straggler => "straggler",
        WorkerState::Active => "active",
    };
    let load = [json!(worker.limit), json!(worker.running)];
    Some(worker_row(worker.worker, spec, state, load))
}

/// Returns the rows of the configured workers that no broker reported: their cell has had no ask
/// yet, they are drained and run nothing, or their broker did not answer.
#[must_use]
pub fn unreported_worker_rows(
    configuration: &Configuration,
    reported: &[Vec<Value>],
) -> Vec<Vec<Value>> {
    let is_reported = |worker: &WorkerName| {
        reported
            .iter()
            .any(|row| row.first().and_then(Value::as_str) == Some(worker.as_str()))
    };
    let unreported = configuration
        .workers
        .iter()
        .filter(|(worker, _)| !is_reported(worker));
    unreported
        .map(|(worker, spec)| {
            let state = match spec.state {
                WorkerState::Active => "active",
                WorkerState::Draining => "draining",
            };
            worker_row(worker, spec, state, [Value::Null, json!(0)])
        })
        .collect()
}

fn worker_row(worker: &WorkerName, spec: &WorkerSpec, state: &str, load: [Value; 2]) -> Vec<Value> {
    let mut row = vec![
        json!(worker),
        json!(spec.service),
        json!(spec.datacenter),
        json!(spec.address.to_string()),
        json!(state),
        json!(spec.max_running),
    ];
    row.extend(load);
    row
}

fn host_row(context: &HostContext) -> Vec<Value> {
    let state = match (context.stopping.is_stopped(), context.is_ready()) {
        (true, _) => "stopping",
        (false, true) => "ready",
        (false, false) => "not ready",
    };
    vec![
        json!(context.host()),
        json!(context.datacenter()),
        json!(context.links.own_address().to_string()),
        json!(state),
        json!(context.applied().configuration.version.0),
    ]
}

fn version_row(context: &HostContext) -> Vec<Value> {
    vec![
        json!(context.host()),
        json!(context.datacenter()),
        json!(context.applied().configuration.version.0),
        json!(context.configuration_agent.known_version().0),
    ]
}
