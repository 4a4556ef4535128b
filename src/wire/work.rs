//! Rows of the messages about requests and cells.
//!
//! Identifiers, names and texts are sent as the codes of the link's tables.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::CellSummary;
use super::Referral;
use super::code::NameCode;
use super::code::NumberCode;
use super::error::CodecError;
use super::progress::ProgressKind;
use super::state::CodecState;
use super::state::GrantCode;
use super::state::RequestCode;
use super::state::RequestOwner;
use super::state::micros;
use super::state::millis;
use crate::kernel::ask::Ask;
use crate::kernel::ask::Grant;
use crate::kernel::ask::Refusal;
use crate::kernel::ask::RefusalReason;
use crate::kernel::ask::RunningWork;
use crate::kernel::ask::WorkProgress;
use crate::kernel::ask::WorkReport;
use crate::kernel::name::BlockDigest;
use crate::kernel::name::RequestId;
use crate::kernel::name::ServiceName;
use crate::kernel::name::TierRank;

/// Request, service, model, workspace, tier with the suspect flag as its lowest bit, budget in ms,
/// prompt tokens, maximum answer tokens, block digests of the prompt's prefix, latency targets and
/// hinted tokens; the version of the worker is sent beside the row.
pub type AskRow = (
    RequestCode,
    NameCode,
    Option<NameCode>,
    NameCode,
    u16,
    u64,
    u32,
    u32,
    Vec<NumberCode>,
    Option<TargetRow>,
);

/// Service, request.
pub type WithdrawRow = (NameCode, RequestCode);

/// Broker and sequence number of the grant, request, worker, time to expiry in ms, template and
/// numbers of the choice.
pub type GrantRow = (
    NumberCode,
    i64,
    RequestCode,
    NameCode,
    u64,
    NameCode,
    Vec<u32>,
);

/// First-token target in ms, token-gap target in µs, hinted tokens of the answer.
pub type TargetRow = (Option<u64>, Option<u64>, Option<u32>);

/// Request, index of the reason in `REASONS`, time to the retry in ms.
pub type RefusalRow = (RequestCode, u8, u64);

/// Request, data centre, host.
pub type ReferralRow = (RequestCode, NameCode, NameCode);

/// Service, request, broker and sequence number of the grant, worker, and the numbers of the
/// progress.
#[derive(Debug, Deserialize, Serialize)]
#[serde(untagged)]
pub enum ReportRow {
    /// Progress without a number.
    NoNumber(NameCode, RequestCode, NumberCode, i64, NameCode),
    /// Progress with one number.
    OneNumber(NameCode, RequestCode, NumberCode, i64, NameCode, u64),
    /// Progress with two numbers.
    TwoNumbers(NameCode, RequestCode, NumberCode, i64, NameCode, u64, u64),
}

/// Request, grant, worker, tier, prompt tokens of one running request.
pub type RunningRow = (RequestCode, GrantCode, NameCode, u8, u32);

/// Service, all running work of the sender in the cell.
pub type DeclareRow = (NameCode, Vec<RunningRow>);

/// Service, data centre, free slots, waiting requests by tier rank.
pub type SummaryRow = (NameCode, NameCode, u32, Vec<u32>);

/// The reasons of refusals; the index of a reason is its number on the link.
const REASONS: [RefusalReason; 7] = [
    RefusalReason::Capacity,
    RefusalReason::Deadline,
    RefusalReason::Dropped,
    RefusalReason::NoWorker,
    RefusalReason::Platform,
    RefusalReason::Quarantined,
    RefusalReason::Stale,
];

/// Returns the latency targets and the hinted tokens of an ask; `None` if it has none of them.
fn target_row(ask: &Ask) -> Option<TargetRow> {
    let gap_micros = |gap: Duration| u64::try_from(gap.as_micros()).unwrap_or(u64::MAX);
    let row = (
        ask.first_token_target.map(millis),
        ask.token_gap_target.map(gap_micros),
        ask.hinted_tokens,
    );
    (row != (None, None, None)).then_some(row)
}

impl CodecState {
    /// Returns the row of an ask.
    pub fn encode_ask(&mut self, ask: &Ask) -> AskRow {
        let digests = &mut self.digests;
        let prefix = ask.prefix.iter().map(|digest| digests.encode(digest.0));
        let prefix = prefix.collect();
        (
            self.encode_request_id(ask.request, RequestOwner::Sender),
            self.names.encode(ask.service.as_str()),
            ask.model
                .as_ref()
                .map(|model| self.names.encode(model.as_str())),
            self.names.encode(ask.workspace.as_str()),
            u16::from(ask.tier.0) << 1 | u16::from(ask.suspect),
            millis(ask.budget),
            ask.prompt_tokens,
            ask.max_answer_tokens,
            prefix,
            target_row(ask),
        )
    }

    /// Returns the ask of a row, for any version of a worker.
    pub fn decode_ask(&mut self, row: AskRow) -> Result<Ask, CodecError> {
        let (request, service, model, workspace, tier, budget, prompt, answer, codes, targets) =
            row;
        let (first_token, token_gap, hinted_tokens) = targets.unwrap_or_default();
        let suspect = tier & 1 == 1;
        let tier = u8::try_from(tier >> 1);
        let tier = tier.map_err(|_large| CodecError::Field { field: "tier" })?;
        let mut prefix = Vec::new();
        for code in &codes {
            prefix.push(BlockDigest(self.digests.decode(code)?));
        }
        let request = self.decode_request_id(&request, RequestOwner::Sender);
        let service = self.names.decode(service)?;
        let model = match model {
            Some(model) => Some(self.names.decode(model)?),
            None => None,
        };
        Ok(Ask {
            request,
            service,
            model,
            version: None,
            workspace: self.names.decode(workspace)?,
            tier: TierRank(tier),
            budget: Duration::from_millis(budget),
            first_token_target: first_token.map(Duration::from_millis),
            token_gap_target: token_gap.map(Duration::from_micros),
            prompt_tokens: prompt,
            max_answer_tokens: answer,
            hinted_tokens,
            prefix,
            suspect,
            hedged_worker: None,
        })
    }

    /// Returns the row of a withdrawal.
    pub fn encode_withdrawal(&mut self, service: &ServiceName, request: RequestId) -> WithdrawRow {
        let service = self.names.encode(service.as_str());
        (
            service,
            self.encode_request_id(request, RequestOwner::Sender),
        )
    }

    /// Returns the service and the request of a withdrawal.
    pub fn decode_withdrawal(
        &mut self,
        row: WithdrawRow,
    ) -> Result<(ServiceName, RequestId), CodecError> {
        let (service, request) = row;
        let service = self.names.decode(service)?;
        let request = self.decode_request_id(&request, RequestOwner::Sender);
        Ok((service, request))
    }

    /// Returns the row of a grant.
    pub fn encode_grant(&mut self, grant: &Grant) -> GrantRow {
        let (broker, sequence) = self.encode_grant_id(grant.grant);
        let request = self.encode_request_id(grant.request, RequestOwner::Receiver);
        let worker = self.names.encode(grant.worker.as_str());
        let (template, numbers) = self.texts.encode(&grant.choice);
        let expires_in = millis(grant.expires_in);
        (
            broker, sequence, request, worker, expires_in, template, numbers,
        )
    }

    /// Returns the grant of a row.
    pub fn decode_grant(&mut self, row: GrantRow) -> Result<Grant, CodecError> {
        let (broker, sequence, request, worker, expires_in, template, numbers) = row;
        Ok(Grant {
            grant: self.decode_grant_id(&(broker, sequence))?,
            request: self.decode_request_id(&request, RequestOwner::Receiver),
            worker: self.names.decode(worker)?,
            expires_in: Duration::from_millis(expires_in),
            choice: self.texts.decode((template, numbers))?,
        })
    }

    /// Returns the row of a refusal.
    pub fn encode_refusal(&mut self, refusal: &Refusal) -> RefusalRow {
        let reason = REASONS.iter().position(|reason| *reason == refusal.reason);
        let reason = reason.and_then(|reason| u8::try_from(reason).ok());
        (
            self.encode_request_id(refusal.request, RequestOwner::Receiver),
            reason.unwrap_or_default(),
            millis(refusal.retry_after),
        )
    }

    /// Returns the refusal of a row.
    pub fn decode_refusal(&mut self, row: &RefusalRow) -> Result<Refusal, CodecError> {
        let (request, reason, retry_after) = row;
        let reason = REASONS.get(usize::from(*reason));
        let reason = reason.ok_or(CodecError::Field { field: "reason" })?;
        Ok(Refusal {
            request: self.decode_request_id(request, RequestOwner::Receiver),
            reason: *reason,
            retry_after: Duration::from_millis(*retry_after),
        })
    }

    /// Returns the row of a referral.
    pub fn encode_referral(&mut self, referral: &Referral) -> ReferralRow {
        (
            self.encode_request_id(referral.request, RequestOwner::Receiver),
            self.names.encode(referral.datacenter.as_str()),
            self.names.encode(referral.host.as_str()),
        )
    }

    /// Returns the referral of a row.
    pub fn decode_referral(&mut self, row: ReferralRow) -> Result<Referral, CodecError> {
        let (request, datacenter, host) = row;
        Ok(Referral {
            request: self.decode_request_id(&request, RequestOwner::Receiver),
            datacenter: self.names.decode(datacenter)?,
            host: self.names.decode(host)?,
        })
    }

    /// Returns the row of a report.
    pub fn encode_report(&mut self, service: &ServiceName, report: &WorkReport) -> ReportRow {
        let service = self.names.encode(service.as_str());
        let request = self.encode_request_id(report.request, RequestOwner::Sender);
        let (broker, sequence) = self.encode_grant_id(report.grant);
        let worker = self.names.encode(report.worker.as_str());
        match report.progress {
            WorkProgress::FirstToken { after } => {
                let after = millis(after);
                ReportRow::OneNumber(service, request, broker, sequence, worker, after)
            }
            WorkProgress::RateNamed { rate } => {
                let rate = u64::from(rate.0);
                ReportRow::OneNumber(service, request, broker, sequence, worker, rate)
            }
            WorkProgress::Rejected { rest } => {
                let rest = millis(rest);
                ReportRow::OneNumber(service, request, broker, sequence, worker, rest)
            }
            WorkProgress::ToleranceNamed { tolerance } => {
                let rejections = u64::from(tolerance.0);
                ReportRow::OneNumber(service, request, broker, sequence, worker, rejections)
            }
            WorkProgress::Finished {
                answer_tokens,
                token_gap,
            } => {
                let tokens = u64::from(answer_tokens);
                let gap = micros(token_gap);
                ReportRow::TwoNumbers(service, request, broker, sequence, worker, tokens, gap)
            }
            _ => ReportRow::NoNumber(service, request, broker, sequence, worker),
        }
    }

    /// Returns the service and the report of a row; `None` if its kind is unknown, in which case the
    /// row still changes the tables.
    pub fn decode_report(
        &mut self,
        kind: Option<ProgressKind>,
        row: ReportRow,
    ) -> Result<Option<(ServiceName, WorkReport)>, CodecError> {
        let (service, request, broker, sequence, worker, first, second) = match row {
            ReportRow::NoNumber(service, request, broker, sequence, worker) => {
                (service, request, broker, sequence, worker, 0, 0)
            }
            ReportRow::OneNumber(service, request, broker, sequence, worker, first) => {
                (service, request, broker, sequence, worker, first, 0)
            }
            ReportRow::TwoNumbers(service, request, broker, sequence, worker, first, second) => {
                (service, request, broker, sequence, worker, first, second)
            }
        };
        let service = self.names.decode(service)?;
        let request = self.decode_request_id(&request, RequestOwner::Sender);
        let grant = self.decode_grant_id(&(broker, sequence))?;
        let worker = self.names.decode(worker)?;
        let Some(kind) = kind else {
            return Ok(None);
        };
        let report = WorkReport {
            request,
            grant,
            worker,
            progress: kind.progress(first, second)?,
        };
        Ok(Some((service, report)))
    }

    /// Returns the row of a declaration.
    pub fn encode_declaration(
        &mut self,
        service: &ServiceName,
        running: &[RunningWork],
    ) -> DeclareRow {
        let service = self.names.encode(service.as_str());
        let running = running.iter().map(|work| {
            (
                self.encode_request_id(work.request, RequestOwner::Sender),
                self.encode_grant_id(work.grant),
                self.names.encode(work.worker.as_str()),
                work.tier.0,
                work.prompt_tokens,
            )
        });
        (service, running.collect())
    }

    /// Returns the service and the running work of a row.
    pub fn decode_declaration(
        &mut self,
        row: DeclareRow,
    ) -> Result<(ServiceName, Vec<RunningWork>), CodecError> {
        let (service, rows) = row;
        let service = self.names.decode(service)?;
        let mut running = Vec::new();
        for (request, grant, worker, tier, prompt_tokens) in rows {
            running.push(RunningWork {
                request: self.decode_request_id(&request, RequestOwner::Sender),
                grant: self.decode_grant_id(&grant)?,
                worker: self.names.decode(worker)?,
                tier: TierRank(tier),
                prompt_tokens,
            });
        }
        Ok((service, running))
    }

    /// Returns the row of a summary.
    pub fn encode_summary(&mut self, summary: &CellSummary) -> SummaryRow {
        (
            self.names.encode(summary.service.as_str()),
            self.names.encode(summary.datacenter.as_str()),
            summary.free_slots,
            summary.waiting.clone(),
        )
    }

    /// Returns the summary of a row.
    pub fn decode_summary(&mut self, row: SummaryRow) -> Result<CellSummary, CodecError> {
        let (service, datacenter, free_slots, waiting) = row;
        Ok(CellSummary {
            service: self.names.decode(service)?,
            datacenter: self.names.decode(datacenter)?,
            free_slots,
            waiting,
        })
    }
}
