//! Condition on the HTTP method of a request.

use crate::configuration::ConditionSpec;
use crate::rule::ConditionMatcher;
use crate::rule::RequestFacts;
use crate::rule::RuleCondition;
use crate::rule::RuleError;
use crate::rule::TextPredicate;
use crate::rule::require_no_suffix;

#[derive(Debug)]
struct MethodCondition(TextPredicate);

impl RuleCondition for MethodCondition {
    fn holds(&self, facts: &RequestFacts<'_>) -> bool {
        self.0.holds(facts.method)
    }
}

fn compile(condition: &ConditionSpec) -> Result<Box<dyn RuleCondition>, RuleError> {
    require_no_suffix(condition)?;
    Ok(Box::new(MethodCondition(TextPredicate::try_from(
        condition,
    )?)))
}

inventory::submit! {
    ConditionMatcher {
        field: "method",
        description: "The HTTP method, in upper case.",
        compile,
    }
}
