//! Condition on the workspace of a request.

use crate::configuration::ConditionSpec;
use crate::rule::ConditionMatcher;
use crate::rule::RequestFacts;
use crate::rule::RuleCondition;
use crate::rule::RuleError;
use crate::rule::TextPredicate;
use crate::rule::require_no_suffix;

#[derive(Debug)]
struct WorkspaceCondition(TextPredicate);

impl RuleCondition for WorkspaceCondition {
    fn holds(&self, facts: &RequestFacts<'_>) -> bool {
        self.0.holds(facts.workspace)
    }
}

fn compile(condition: &ConditionSpec) -> Result<Box<dyn RuleCondition>, RuleError> {
    require_no_suffix(condition)?;
    Ok(Box::new(WorkspaceCondition(TextPredicate::try_from(
        condition,
    )?)))
}

inventory::submit! {
    ConditionMatcher {
        field: "workspace",
        description: "The workspace of the caller.",
        compile,
    }
}
