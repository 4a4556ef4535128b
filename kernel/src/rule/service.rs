//! Condition on the service of a request.

use crate::configuration::ConditionSpec;
use crate::rule::ConditionMatcher;
use crate::rule::RequestFacts;
use crate::rule::RuleCondition;
use crate::rule::RuleError;
use crate::rule::TextPredicate;
use crate::rule::require_no_suffix;

#[derive(Debug)]
struct ServiceCondition(TextPredicate);

impl RuleCondition for ServiceCondition {
    fn holds(&self, facts: &RequestFacts<'_>) -> bool {
        self.0.holds(facts.service)
    }
}

fn compile(condition: &ConditionSpec) -> Result<Box<dyn RuleCondition>, RuleError> {
    require_no_suffix(condition)?;
    Ok(Box::new(ServiceCondition(TextPredicate::try_from(
        condition,
    )?)))
}

inventory::submit! {
    ConditionMatcher {
        field: "service",
        description: "The service that the request is for.",
        compile,
    }
}
