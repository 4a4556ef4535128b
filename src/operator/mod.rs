//! The operator interface: runs commands, sending queries to all live hosts where needed.

mod errors;

use std::cell::RefCell;
use std::rc::Rc;

use actix_http::HttpMessage;
use actix_http::Method;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_http::header;
use serde_json::Value;
use serde_json::json;

use self::errors::change_error;
use self::errors::claim_error;
use self::errors::error_response;
use self::errors::status_of;
use self::errors::store_error;
use crate::body::read_body;
use crate::clock::unix_millis;
use crate::configuration;
use crate::configuration::ChangeRequest;
use crate::configuration::UnconfirmedMember;
use crate::context::HostContext;
use crate::event::LogEvent;
use crate::kernel::change;
use crate::kernel::change::ConfigurationChange;
use crate::kernel::claim::ClaimRow;
use crate::kernel::claim::ClaimState;
use crate::kernel::claim::Settlement;
use crate::kernel::configuration::Configuration;
use crate::kernel::name::OperatorName;
use crate::kernel::name::RequestId;
use crate::kernel::name::WorkspaceName;
use crate::kernel::table::TableRow;
use crate::language;
use crate::language::KeyOutcome;
use crate::language::OperatorCommand;
use crate::language::ResultTable;
use crate::language::ShowQuery;
use crate::language::TableName;
use crate::language::answer::ChangeResult;
use crate::language::answer::ChangeState;
use crate::language::answer::CommandAnswer;
use crate::language::answer::CommandError;
use crate::language::answer::CommandErrorCode;
use crate::language::answer::CommandResult;
use crate::log_event;
use crate::query;
use crate::reply::json;
use crate::reply::text;
use crate::rows;
use crate::rows::HostQuery;
use crate::rows::STEP_COLUMNS;
use crate::settings::KeyDigest;

/// The HTTP path of the operator interface.
pub const COMMAND_PATH: &str = "/operator/command";

/// The key prefix of claim rows in the platform's table.
const CLAIM_PREFIX: &str = "claims/";

/// The maximum number of claims that one query reads, before its conditions are applied.
const MAX_CLAIM_ROWS: usize = 1_000;

/// The maximum number of audit records that one query reads, newest first.
const MAX_AUDIT_RECORDS: usize = 200;

/// The HTTP service that authenticates operators and runs their scripts.
#[derive(Debug)]
pub struct OperatorService {
    context: Rc<HostContext>,
}

impl OperatorService {
    /// Creates the service for a host.
    #[must_use]
    pub const fn new(context: Rc<HostContext>) -> Self {
        Self { context }
    }

    /// Handles one HTTP request, which must be a `POST` to [`COMMAND_PATH`] with a bearer token.
    pub async fn handle(self: Rc<Self>, mut request: Request) -> Response<BoxBody> {
        if request.path() != COMMAND_PATH || *request.method() != Method::POST {
            return text(
                StatusCode::NOT_FOUND,
                format!("POST a command to {COMMAND_PATH}\n"),
            );
        }
        let Some(operator) = self.authenticate(&request) else {
            log_event!(self.context.log, LogEvent::OperatorRejected);
            let message = "the bearer token is missing or unknown";
            return error_response(CommandError::new(CommandErrorCode::Unauthorized, message));
        };
        let limits = &self.context.settings.limits;
        match read_body(&mut request, limits.max_script_bytes, limits.body_timeout).await {
            Ok(script) => {
                self.run_script(&operator, &String::from_utf8_lossy(&script))
                    .await
            }
            Err(error) => error_response(CommandError::new(
                CommandErrorCode::TooLarge,
                error.to_string(),
            )),
        }
    }

    fn authenticate(&self, request: &Request) -> Option<OperatorName> {
        let value = request
            .headers()
            .get(header::AUTHORIZATION)?
            .to_str()
            .ok()?;
        let digest = KeyDigest::of(value.strip_prefix("Bearer ")?.trim());
        let mut operators = self.context.settings.operators.iter();
        let operator = operators.find(|operator| operator.token_digest == digest)?;
        Some(operator.name.clone())
    }

    async fn run_script(&self, operator: &OperatorName, script: &str) -> Response<BoxBody> {
        let commands = match language::parse_script(script) {
            Ok(commands) => commands,
            Err(error) => return error_response(error.into()),
        };
        let mut answer = CommandAnswer::default();
        for command in commands {
            match self.run(operator, command, script).await {
                Ok(result) => answer.results.push(result),
                Err(error) => {
                    answer.error = Some(error);
                    break;
                }
            }
        }
        json(status_of(&answer), &answer)
    }

    async fn run(
        &self,
        operator: &OperatorName,
        command: OperatorCommand,
        script: &str,
    ) -> Result<CommandResult, CommandError> {
        match command {
            OperatorCommand::Show(query) => self.show(&query).await.map(CommandResult::Table),
            OperatorCommand::Explain(request) => self.explain(request).await,
            OperatorCommand::Change { changes, expected } => {
                let text = script.to_owned();
                let request = ChangeRequest {
                    operator: operator.clone(),
                    text,
                    expected,
                };
                self.change(request, &changes).await
            }
            OperatorCommand::SettleKey {
                workspace,
                key,
                outcome,
            } => self.settle(operator, &workspace, &key, outcome).await,
            OperatorCommand::DropRequest(request) => self.drop_request(request).await,
            OperatorCommand::Help(verb) => help(verb.as_deref()),
        }
    }

    async fn show(&self, query: &ShowQuery) -> Result<ResultTable, CommandError> {
        let configuration = self.context.configuration_agent.configuration();
        let mut table = match language::rows::configuration_table(&configuration, query.table) {
            Some(table) => table,
            None if query.table == TableName::Changes => self.changes_table().await?,
            None if query.table == TableName::Keys => self.keys_table().await?,
            None => self.gather(HostQuery::Table(query.table)).await,
        };
        if query.table == TableName::Workers {
            let unreported = rows::unreported_worker_rows(&configuration, &table.rows);
            table.rows.extend(unreported);
        }
        table.apply(query);
        Ok(table)
    }

    /// Queries all live hosts, including this one, and returns their rows and the hosts that did not
    /// answer.
    async fn gather(&self, host_query: HostQuery) -> ResultTable {
        let gathered = query::gather(&self.context, &host_query.to_text()).await;
        let columns: Vec<String> = match host_query {
            HostQuery::Table(table) => ResultTable::new(table).columns,
            HostQuery::Steps(_) => STEP_COLUMNS.iter().map(ToString::to_string).collect(),
            HostQuery::Drop(_) => vec!["request".to_owned()],
        };
        let unanswered = gathered
            .unanswered
            .iter()
            .map(ToString::to_string)
            .collect();
        let rows = gathered
            .answers
            .into_iter()
            .flat_map(|answer| answer.rows)
            .collect();
        ResultTable {
            columns,
            rows,
            omitted: 0,
            unanswered,
        }
    }

    async fn changes_table(&self) -> Result<ResultTable, CommandError> {
        let records = self
            .context
            .configuration_agent
            .audit_records(MAX_AUDIT_RECORDS)
            .await
            .map_err(|error| store_error(&error))?;
        let now = unix_millis();
        let mut table = ResultTable::new(TableName::Changes);
        table.rows = records
            .into_iter()
            .map(|record| {
                vec![
                    json!(record.version.0),
                    json!(now.saturating_sub(record.at)),
                    json!(record.operator),
                    json!(record.text),
                ]
            })
            .collect();
        Ok(table)
    }

    async fn explain(&self, request: RequestId) -> Result<CommandResult, CommandError> {
        let mut table = self.gather(HostQuery::Steps(request)).await;
        if table.rows.is_empty() {
            let message = format!("no host that answered has a record of request {request}");
            return Err(CommandError::new(CommandErrorCode::NotFound, message));
        }
        table
            .rows
            .sort_by_key(|row| row.get(1).and_then(Value::as_u64));
        Ok(CommandResult::Table(table))
    }

    async fn change(
        &self,
        request: ChangeRequest,
        changes: &[ConfigurationChange],
    ) -> Result<CommandResult, CommandError> {
        // The difference is computed when the change is applied: another change may be applied
        // while this one awaits confirmation.
        let difference = RefCell::default();
        let apply = |before: &Configuration| {
            let after = change::apply(before, changes).map_err(|error| error.to_string())?;
            difference.replace(change::difference(before, &after));
            Ok(after)
        };
        let outcome = self
            .context
            .configuration_agent
            .change(request, apply)
            .await
            .map_err(|error| {
                let reason = error.to_string();
                log_event!(self.context.log, LogEvent::ChangeRefused, "reason" => reason);
                change_error(&error)
            })?;
        let (state, unconfirmed) = match outcome.state {
            configuration::ChangeConfirmation::Accepted => (ChangeState::Accepted, Vec::new()),
            configuration::ChangeConfirmation::Recorded { unconfirmed } => (
                ChangeState::Recorded,
                unconfirmed.iter().map(describe_unconfirmed).collect(),
            ),
        };
        Ok(CommandResult::Change(ChangeResult {
            version: outcome.version,
            before: outcome.before,
            diff: difference.into_inner(),
            state,
            unconfirmed,
        }))
    }

    async fn settle(
        &self,
        operator: &OperatorName,
        workspace: &WorkspaceName,
        key: &str,
        outcome: KeyOutcome,
    ) -> Result<CommandResult, CommandError> {
        let settlement = match outcome {
            KeyOutcome::Ran => Settlement::Ran,
            KeyOutcome::NotRun => Settlement::NotRun,
        };
        let claims = &self.context.claims;
        let settled = claims.settle(workspace, key, settlement, operator).await;
        let audit = settled.map_err(|error| claim_error(&error))?;
        log_event!(self.context.log, LogEvent::ClaimSettled,
            "request" => audit.before.request.to_string(), "operator" => operator.to_string());
        let request = audit.before.request;
        Ok(CommandResult::Text(format!(
            "the idempotency key of request {request} is settled"
        )))
    }

    async fn keys_table(&self) -> Result<ResultTable, CommandError> {
        let read = self
            .context
            .platform
            .rows(CLAIM_PREFIX, "", MAX_CLAIM_ROWS)
            .await;
        let rows = read
            .map_err(|error| CommandError::new(CommandErrorCode::Unavailable, error.to_string()))?;
        let mut table = ResultTable::new(TableName::Keys);
        table.rows = rows.iter().filter_map(key_row).collect();
        Ok(table)
    }

    async fn drop_request(&self, request: RequestId) -> Result<CommandResult, CommandError> {
        let host_query = HostQuery::Drop(request).to_text();
        let gathered = query::gather(&self.context, &host_query).await;
        if gathered
            .answers
            .iter()
            .any(|answer| !answer.rows.is_empty())
        {
            return Ok(CommandResult::Text(format!(
                "request {request} was dropped"
            )));
        }
        let message = format!("request {request} is not waiting on any host that answered");
        Err(CommandError::new(CommandErrorCode::NotFound, message))
    }
}

fn help(verb: Option<&str>) -> Result<CommandResult, CommandError> {
    language::help::describe(verb)
        .map(CommandResult::Text)
        .ok_or_else(|| {
            let message = format!("there is no verb {:?}", verb.unwrap_or_default());
            CommandError::new(CommandErrorCode::NotFound, message)
        })
}

fn describe_unconfirmed(unconfirmed: &UnconfirmedMember) -> String {
    match unconfirmed {
        UnconfirmedMember::Datacenter(datacenter) => datacenter.to_string(),
        UnconfirmedMember::Host { datacenter, host } => format!("{datacenter}/{host}"),
    }
}

fn key_row(row: &TableRow) -> Option<Vec<Value>> {
    let (workspace, digest) = row.key.strip_prefix(CLAIM_PREFIX)?.split_once('/')?;
    let claim: ClaimRow = serde_json::from_str(&row.value).ok()?;
    let state = match claim.state {
        ClaimState::Claimed => "claimed",
        ClaimState::Released => "released",
        ClaimState::Answered { .. } => "answered",
        ClaimState::Unknown => "unknown",
    };
    Some(vec![
        json!(workspace),
        json!(digest),
        json!(state),
        json!(claim.request.to_string()),
        json!(claim.host),
        json!(unix_millis().saturating_sub(claim.since_ms)),
    ])
}
