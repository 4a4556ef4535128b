//! Matches a header of a request.

use crate::configuration::ConditionSpec;
use crate::rule::ConditionMatcher;
use crate::rule::RequestFacts;
use crate::rule::RuleCondition;
use crate::rule::RuleError;
use crate::rule::TextTest;

/// Headers by which callers state how urgent a request is; no rule may use them.
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
    test: TextTest,
}

impl RuleCondition for HeaderCondition {
    fn holds(&self, facts: &RequestFacts<'_>) -> bool {
        let value = (facts.headers)(&self.name);
        self.test.holds(value.unwrap_or_default())
    }
}

fn compile(condition: &ConditionSpec) -> Result<Box<dyn RuleCondition>, RuleError> {
    let name = header_name(&condition.field)?;
    let test = TextTest::try_from(condition)?;
    Ok(Box::new(HeaderCondition { name, test }))
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
        meaning: "A header, as header.NAME; empty where the request does not have it.",
        compile,
    }
}
