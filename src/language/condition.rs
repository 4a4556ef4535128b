//! Parses the conditions of a rule.

use crate::kernel::configuration::ConditionSpec;
use crate::kernel::rule::RuleError;
use crate::kernel::rule::compile;
use crate::language::LanguageError;
use crate::language::WordCursor;

/// Reads conditions with `and` between them.
pub fn conditions(cursor: &mut WordCursor) -> Result<Vec<ConditionSpec>, LanguageError> {
    let mut conditions = vec![condition(cursor)?];
    while cursor.accept("and") {
        conditions.push(condition(cursor)?);
    }
    Ok(conditions)
}

fn condition(cursor: &mut WordCursor) -> Result<ConditionSpec, LanguageError> {
    let start = cursor.index();
    let condition = ConditionSpec {
        field: cursor.text("a field, such as workspace, path, prompt or header.NAME")?,
        comparison: cursor.comparison()?,
        value: cursor.text("a value")?,
    };
    match compile(&condition) {
        Ok(_) => Ok(condition),
        Err(error) => Err(cursor.error_at(start + wrong_word(&error), error.to_string())),
    }
}

/// Returns which of field, comparison and value an error is about.
fn wrong_word(error: &RuleError) -> usize {
    match error {
        RuleError::UnknownField { .. }
        | RuleError::HeaderName { .. }
        | RuleError::CallerUrgency { .. } => 0,
        RuleError::UnknownComparison { .. } => 1,
        RuleError::Name { .. } | RuleError::Number { .. } => 2,
    }
}
