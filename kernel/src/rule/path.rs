//! Condition on the path of a request.

use crate::configuration::ConditionSpec;
use crate::rule::ConditionMatcher;
use crate::rule::RequestFacts;
use crate::rule::RuleCondition;
use crate::rule::RuleError;
use crate::rule::TextPredicate;
use crate::rule::require_no_suffix;

#[derive(Debug)]
struct PathCondition(TextPredicate);

impl RuleCondition for PathCondition {
    fn holds(&self, facts: &RequestFacts<'_>) -> bool {
        self.0.holds(facts.path)
    }
}

fn compile(condition: &ConditionSpec) -> Result<Box<dyn RuleCondition>, RuleError> {
    require_no_suffix(condition)?;
    Ok(Box::new(PathCondition(TextPredicate::try_from(condition)?)))
}

inventory::submit! {
    ConditionMatcher {
        field: "path",
        description: "The path of the request.",
        compile,
    }
}
