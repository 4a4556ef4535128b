//! Condition on the model of a request.

use crate::configuration::ConditionSpec;
use crate::rule::ConditionMatcher;
use crate::rule::RequestFacts;
use crate::rule::RuleCondition;
use crate::rule::RuleError;
use crate::rule::TextPredicate;
use crate::rule::require_no_suffix;

#[derive(Debug)]
struct ModelCondition(TextPredicate);

impl RuleCondition for ModelCondition {
    fn holds(&self, facts: &RequestFacts<'_>) -> bool {
        self.0.holds(facts.model.unwrap_or_default())
    }
}

fn compile(condition: &ConditionSpec) -> Result<Box<dyn RuleCondition>, RuleError> {
    require_no_suffix(condition)?;
    Ok(Box::new(ModelCondition(TextPredicate::try_from(
        condition,
    )?)))
}

inventory::submit! {
    ConditionMatcher {
        field: "model",
        description: "The model that the request names; empty where it names none.",
        compile,
    }
}
