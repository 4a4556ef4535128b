//! Matches the model of a request.

use crate::configuration::ConditionSpec;
use crate::rule::ConditionMatcher;
use crate::rule::RequestFacts;
use crate::rule::RuleCondition;
use crate::rule::RuleError;
use crate::rule::TextTest;
use crate::rule::check_field;

#[derive(Debug)]
struct ModelCondition(TextTest);

impl RuleCondition for ModelCondition {
    fn holds(&self, facts: &RequestFacts<'_>) -> bool {
        self.0.holds(facts.model.unwrap_or_default())
    }
}

fn compile(condition: &ConditionSpec) -> Result<Box<dyn RuleCondition>, RuleError> {
    check_field(condition)?;
    Ok(Box::new(ModelCondition(TextTest::try_from(condition)?)))
}

inventory::submit! {
    ConditionMatcher {
        field: "model",
        meaning: "The model that the request names; empty where it names none.",
        compile,
    }
}
