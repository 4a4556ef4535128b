//! The summary of a load run, by tier and by error.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::call::CallEnd;
use super::call::CallResult;

/// The upper limit of the histogram of times to the first token; longer times count as this.
const MAX_FIRST_TOKEN_MS: u64 = 600_000;

/// The precision of the histogram of times to the first token, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// The row for requests whose answer names no tier.
const NO_TIER: &str = "-";

/// Counts of the requests of one tier by outcome.
#[derive(Clone, Debug, Serialize)]
pub struct TierSummary {
    /// Requests sent.
    pub offered: u64,
    /// Requests with a complete answer.
    pub whole: u64,
    /// Requests with a complete answer within the deadline.
    pub in_time: u64,
    /// Requests answered with a status other than 200.
    pub refused: u64,
    /// Requests whose answer ended early.
    pub cut: u64,
    /// Requests whose answer contained tokens of another request or out of order, or did not name
    /// its request.
    pub foreign: u64,
    /// Requests that failed before an answer arrived.
    pub failed: u64,
    /// Requests abandoned by the caller after the deadline and the grace period.
    pub abandoned: u64,
    /// Tokens of the complete answers within the deadline.
    pub tokens_in_time: u64,
    #[serde(skip)]
    first_token_ms: Histogram<u64>,
}

impl TierSummary {
    fn new() -> Option<Self> {
        let first_token_ms =
            Histogram::new_with_max(MAX_FIRST_TOKEN_MS, SIGNIFICANT_DIGITS).ok()?;
        Some(Self {
            offered: 0,
            whole: 0,
            in_time: 0,
            refused: 0,
            cut: 0,
            foreign: 0,
            failed: 0,
            abandoned: 0,
            tokens_in_time: 0,
            first_token_ms,
        })
    }

    /// Returns the share of sent requests with a complete answer within the deadline, from 0 to 1.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        ratio(self.in_time, self.offered)
    }

    /// Returns a quantile of the time to the first token over the requests that received one, or
    /// zero if there are none; `quantile` is from 0 to 1.
    #[must_use]
    pub fn first_token(&self, quantile: f64) -> Duration {
        Duration::from_millis(self.first_token_ms.value_at_quantile(quantile))
    }

    fn add(&mut self, result: &CallResult) {
        self.offered += 1;
        match &result.end {
            CallEnd::Whole => self.whole += 1,
            CallEnd::Cut => self.cut += 1,
            CallEnd::Foreign => self.foreign += 1,
            CallEnd::Refused { .. } => self.refused += 1,
            CallEnd::Failed => self.failed += 1,
            CallEnd::Abandoned => self.abandoned += 1,
        }
        if result.end == CallEnd::Whole && result.in_time {
            self.in_time += 1;
            self.tokens_in_time += result.answer_tokens;
        }
        if let Some(first_token) = result.first_token {
            let millis = u64::try_from(first_token.as_millis()).unwrap_or(u64::MAX);
            self.first_token_ms.saturating_record(millis);
        }
    }
}

/// The number of answers with one error code and value of `ran`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct RefusalCount {
    /// The error code, or `status N` with the HTTP status if the body is not an error object.
    pub code: String,
    /// Whether the request ran, as the error object states it; empty if it does not.
    pub ran: String,
    /// Number of answers with this error.
    pub count: u64,
}

/// The outcomes of all requests of a load run.
#[derive(Clone, Debug)]
pub struct LoadSummary {
    /// The requested duration of the load.
    pub length: Duration,
    /// Requests not sent because too many calls were open or no entry was ready.
    pub not_sent: u64,
    tiers: BTreeMap<String, TierSummary>,
    refusals: Vec<RefusalCount>,
}

/// The JSON form of a tier's summary, with its derived figures.
#[derive(Serialize)]
struct TierRow<'a> {
    tier: &'a str,
    goodput: f64,
    first_token_p50_ms: u128,
    first_token_p99_ms: u128,
    #[serde(flatten)]
    summary: &'a TierSummary,
}

#[derive(Serialize)]
struct SummaryRows<'a> {
    seconds: f64,
    not_sent: u64,
    tiers: Vec<TierRow<'a>>,
    refusals: &'a [RefusalCount],
}

impl LoadSummary {
    /// Creates a summary without requests.
    #[must_use]
    pub fn new(length: Duration) -> Self {
        Self {
            length,
            not_sent: 0,
            tiers: BTreeMap::new(),
            refusals: Vec::new(),
        }
    }

    /// Adds the result of a call.
    pub fn add(&mut self, result: &CallResult) {
        let tier = result.tier.as_deref().unwrap_or(NO_TIER);
        if !self.tiers.contains_key(tier) {
            let Some(summary) = TierSummary::new() else {
                return;
            };
            self.tiers.insert(tier.to_owned(), summary);
        }
        if let Some(summary) = self.tiers.get_mut(tier) {
            summary.add(result);
        }
        if let CallEnd::Refused { code, ran } = &result.end {
            self.count_refusal(code, ran);
        }
    }

    /// Returns the summary of a tier; `None` if no request was counted for it.
    #[must_use]
    pub fn tier(&self, name: &str) -> Option<&TierSummary> {
        self.tiers.get(name)
    }

    /// Returns the number of answers by error, in order of first occurrence.
    #[must_use]
    pub fn refusals(&self) -> &[RefusalCount] {
        &self.refusals
    }

    /// Returns the summary as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if serialization fails.
    pub fn to_json(&self) -> Result<String, serde_json::Error> {
        let tiers = self.tiers.iter().map(|(tier, summary)| TierRow {
            tier,
            goodput: summary.goodput(),
            first_token_p50_ms: summary.first_token(0.5).as_millis(),
            first_token_p99_ms: summary.first_token(0.99).as_millis(),
            summary,
        });
        serde_json::to_string_pretty(&SummaryRows {
            seconds: self.length.as_secs_f64(),
            not_sent: self.not_sent,
            tiers: tiers.collect(),
            refusals: &self.refusals,
        })
    }

    fn count_refusal(&mut self, code: &str, ran: &str) {
        let mut refusals = self.refusals.iter_mut();
        if let Some(refusal) = refusals.find(|refusal| refusal.code == code && refusal.ran == ran) {
            refusal.count += 1;
            return;
        }
        self.refusals.push(RefusalCount {
            code: code.to_owned(),
            ran: ran.to_owned(),
            count: 1,
        });
    }
}

impl fmt::Display for LoadSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:12} {:>7} {:>7} {:>7} {:>7} {:>5} {:>7} {:>6} {:>9} {:>7} {:>9} {:>9}",
            "tier",
            "offered",
            "goodput",
            "whole",
            "refused",
            "cut",
            "foreign",
            "failed",
            "abandoned",
            "tokens",
            "first p50",
            "first p99",
        )?;
        for (tier, summary) in &self.tiers {
            writeln!(
                f,
                "{:12} {:>7} {:>7.3} {:>7} {:>7} {:>5} {:>7} {:>6} {:>9} {:>7} {:>6} ms {:>6} ms",
                tier,
                summary.offered,
                summary.goodput(),
                summary.whole,
                summary.refused,
                summary.cut,
                summary.foreign,
                summary.failed,
                summary.abandoned,
                summary.tokens_in_time,
                summary.first_token(0.5).as_millis(),
                summary.first_token(0.99).as_millis(),
            )?;
        }
        for refusal in &self.refusals {
            writeln!(
                f,
                "refused with {} (ran: {}): {}",
                refusal.code, refusal.ran, refusal.count
            )?;
        }
        if self.not_sent > 0 {
            writeln!(
                f,
                "not sent, too many calls open or no entry ready: {}",
                self.not_sent
            )?;
        }
        Ok(())
    }
}

fn ratio(part: u64, whole: u64) -> f64 {
    let part = u32::try_from(part).unwrap_or(u32::MAX);
    let whole = u32::try_from(whole).unwrap_or(u32::MAX);
    if whole == 0 {
        return 0.0;
    }
    f64::from(part) / f64::from(whole)
}
