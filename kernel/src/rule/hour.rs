//! Condition on the hour of the day at which a request arrives.

use crate::configuration::ConditionSpec;
use crate::rule::ConditionMatcher;
use crate::rule::NumberPredicate;
use crate::rule::RequestFacts;
use crate::rule::RuleCondition;
use crate::rule::RuleError;
use crate::rule::require_no_suffix;

const LAST_HOUR: u32 = 23;

#[derive(Debug)]
struct HourCondition(NumberPredicate);

impl RuleCondition for HourCondition {
    fn holds(&self, facts: &RequestFacts<'_>) -> bool {
        self.0.holds(u32::from(facts.hour))
    }
}

fn compile(condition: &ConditionSpec) -> Result<Box<dyn RuleCondition>, RuleError> {
    require_no_suffix(condition)?;
    Ok(Box::new(HourCondition(NumberPredicate::bounded(
        condition, LAST_HOUR,
    )?)))
}

inventory::submit! {
    ConditionMatcher {
        field: "hour",
        description: "The hour of the day in UTC, from 0 to 23.",
        compile,
    }
}
