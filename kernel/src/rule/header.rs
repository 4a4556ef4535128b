//! Condition on a request header.

use crate::configuration::ConditionSpec;
use crate::rule::ConditionMatcher;
use crate::rule::RequestFacts;
use crate::rule::RuleCondition;
use crate::rule::RuleError;
use crate::rule::TextPredicate;

/// Headers with which a caller can declare the urgency of its own request.
///
/// Rules must not match on them, so that a caller can't raise its tier by setting a header.
const URGENCY_HEADERS: [&str; 8] = [
    "importance",
    "priority",
    "urgency",
    "urgent",
    "x-importance",
    "x-priority",
    "x-urgency",
    "x-urgent",
];

#[derive(Debug)]
struct HeaderCondition {
    name: String,
    predicate: TextPredicate,
}

impl RuleCondition for HeaderCondition {
    fn holds(&self, facts: &RequestFacts<'_>) -> bool {
        let value = (facts.headers)(&self.name);
        self.predicate.holds(value.unwrap_or_default())
    }
}

fn compile(condition: &ConditionSpec) -> Result<Box<dyn RuleCondition>, RuleError> {
    let name = header_name(&condition.field)?;
    let predicate = TextPredicate::try_from(condition)?;
    Ok(Box::new(HeaderCondition { name, predicate }))
}

fn header_name(field: &str) -> Result<String, RuleError> {
    let name = field.strip_prefix("header.").unwrap_or_default();
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if name.is_empty() || !name.chars().all(allowed) {
        return Err(RuleError::HeaderName {
            field: field.to_owned(),
        });
    }
    let name = name.to_ascii_lowercase();
    if URGENCY_HEADERS.contains(&name.as_str()) {
        return Err(RuleError::CallerUrgency {
            field: field.to_owned(),
        });
    }
    Ok(name)
}

inventory::submit! {
    ConditionMatcher {
        field: "header",
        description: "A header, as header.NAME; empty where the request does not have it.",
        compile,
    }
}
