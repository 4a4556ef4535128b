//! Parses the conditions of a rule.

use crate::kernel::configuration::ConditionSpec;
use crate::kernel::rule::RuleError;
use crate::kernel::rule::compile;
use crate::language::LanguageError;
use crate::language::WordCursor;

/// Parses one or more conditions separated by `and`.
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
        Err(error) => {
            let expected = format!("a valid condition: {error}");
            Err(cursor.error_at(start + offending_word(&error), expected))
        }
    }
}

/// Returns the offset of the word that caused an error: 0 for the field, 1 for the comparison, 2
/// for the value.
fn offending_word(error: &RuleError) -> usize {
    match error {
        RuleError::UnknownField { .. }
        | RuleError::HeaderName { .. }
        | RuleError::CallerUrgency { .. } => 0,
        RuleError::UnknownComparison { .. } => 1,
        RuleError::Name { .. } | RuleError::Number { .. } => 2,
    }
}
