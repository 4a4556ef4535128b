//! Matches the service of a request.

use crate::configuration::ConditionSpec;
use crate::rule::ConditionMatcher;
use crate::rule::RequestFacts;
use crate::rule::RuleCondition;
use crate::rule::RuleError;
use crate::rule::TextTest;
use crate::rule::check_field;

#[derive(Debug)]
struct ServiceCondition(TextTest);

impl RuleCondition for ServiceCondition {
    fn holds(&self, facts: &RequestFacts<'_>) -> bool {
        self.0.holds(facts.service)
    }
}

fn compile(condition: &ConditionSpec) -> Result<Box<dyn RuleCondition>, RuleError> {
    check_field(condition)?;
    Ok(Box::new(ServiceCondition(TextTest::try_from(condition)?)))
}

inventory::submit! {
    ConditionMatcher {
        field: "service",
        meaning: "The service that the request is for.",
        compile,
    }
}
