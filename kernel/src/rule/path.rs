//! Matches the path of a request.

use crate::configuration::ConditionSpec;
use crate::rule::ConditionMatcher;
use crate::rule::RequestFacts;
use crate::rule::RuleCondition;
use crate::rule::RuleError;
use crate::rule::TextTest;
use crate::rule::check_field;

#[derive(Debug)]
struct PathCondition(TextTest);

impl RuleCondition for PathCondition {
    fn holds(&self, facts: &RequestFacts<'_>) -> bool {
        self.0.holds(facts.path)
    }
}

fn compile(condition: &ConditionSpec) -> Result<Box<dyn RuleCondition>, RuleError> {
    check_field(condition)?;
    Ok(Box::new(PathCondition(TextTest::try_from(condition)?)))
}

inventory::submit! {
    ConditionMatcher {
        field: "path",
        meaning: "The path of the request.",
        compile,
    }
}
