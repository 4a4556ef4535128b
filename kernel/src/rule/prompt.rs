//! Condition on the prompt length of a request.

use crate::configuration::ConditionSpec;
use crate::rule::ConditionMatcher;
use crate::rule::NumberPredicate;
use crate::rule::RequestFacts;
use crate::rule::RuleCondition;
use crate::rule::RuleError;
use crate::rule::require_no_suffix;

#[derive(Debug)]
struct PromptCondition(NumberPredicate);

impl RuleCondition for PromptCondition {
    fn holds(&self, facts: &RequestFacts<'_>) -> bool {
        self.0.holds(facts.prompt_tokens)
    }
}

fn compile(condition: &ConditionSpec) -> Result<Box<dyn RuleCondition>, RuleError> {
    require_no_suffix(condition)?;
    Ok(Box::new(PromptCondition(NumberPredicate::bounded(
        condition,
        u32::MAX,
    )?)))
}

inventory::submit! {
    ConditionMatcher {
        field: "prompt",
        description: "The approximate length of the prompt, in tokens.",
        compile,
    }
}
