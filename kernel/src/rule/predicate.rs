//! Text and number predicates shared by the condition matchers.

use crate::configuration::Comparison;
use crate::configuration::ConditionSpec;
use crate::rule::RuleError;

/// Compares a text with a fixed value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TextPredicate {
    comparison: Comparison,
    value: String,
}

impl TextPredicate {
    /// Returns whether `text` satisfies the comparison.
    ///
    /// # Examples
    ///
    /// ```
    /// use borageladder_kernel::configuration::Comparison;
    /// use borageladder_kernel::configuration::ConditionSpec;
    /// use borageladder_kernel::rule::TextPredicate;
    ///
    /// let condition = ConditionSpec {
    ///     field: "path".to_owned(),
    ///     comparison: Comparison::StartsWith,
    ///     value: "/v1/".to_owned(),
    /// };
    /// let predicate = TextPredicate::try_from(&condition).expect("texts can be compared with ~");
    /// assert!(predicate.holds("/v1/completions"));
    /// assert!(!predicate.holds("/services/casebook"));
    /// ```
    #[must_use]
    pub fn holds(&self, text: &str) -> bool {
        match self.comparison {
            Comparison::Equal => text == self.value,
            Comparison::NotEqual => text != self.value,
            Comparison::Less => text < self.value.as_str(),
            Comparison::Greater => text > self.value.as_str(),
            Comparison::StartsWith => text.starts_with(&self.value),
        }
    }
}

impl TryFrom<&ConditionSpec> for TextPredicate {
    type Error = RuleError;

    fn try_from(condition: &ConditionSpec) -> Result<Self, RuleError> {
        let comparison = condition.comparison;
        if matches!(comparison, Comparison::Less | Comparison::Greater) {
            return Err(RuleError::UnknownComparison {
                field: condition.field.clone(),
                comparison,
            });
        }
        Ok(Self {
            comparison,
            value: condition.value.clone(),
        })
    }
}

/// Compares a number with a fixed value.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NumberPredicate {
    comparison: Comparison,
    value: u32,
}

impl NumberPredicate {
    /// Parses the value of a condition as a number of at most `max`.
    ///
    /// # Errors
    ///
    /// Returns [`RuleError::Number`] if the value is not a whole number of at most `max`, and
    /// [`RuleError::UnknownComparison`] for [`Comparison::StartsWith`].
    ///
    /// # Examples
    ///
    /// ```
    /// use borageladder_kernel::configuration::Comparison;
    /// use borageladder_kernel::configuration::ConditionSpec;
    /// use borageladder_kernel::rule::NumberPredicate;
    ///
    /// let condition = ConditionSpec {
    ///     field: "hour".to_owned(),
    ///     comparison: Comparison::Greater,
    ///     value: "21".to_owned(),
    /// };
    /// let predicate = NumberPredicate::bounded(&condition, 23).expect("21 is at most 23");
    /// assert!(predicate.holds(22));
    /// assert!(NumberPredicate::bounded(&condition, 20).is_err());
    /// ```
    pub fn bounded(condition: &ConditionSpec, max: u32) -> Result<Self, RuleError> {
        if condition.comparison == Comparison::StartsWith {
            return Err(RuleError::UnknownComparison {
                field: condition.field.clone(),
                comparison: condition.comparison,
            });
        }
        let value = condition.value.parse().ok().filter(|value| *value <= max);
        let value = value.ok_or_else(|| RuleError::Number {
            field: condition.field.clone(),
            value: condition.value.clone(),
            max,
        })?;
        Ok(Self {
            comparison: condition.comparison,
            value,
        })
    }

    /// Returns whether `number` satisfies the comparison.
    #[must_use]
    pub fn holds(self, number: u32) -> bool {
        match self.comparison {
            Comparison::Equal => number == self.value,
            Comparison::NotEqual => number != self.value,
            Comparison::Less => number < self.value,
            Comparison::Greater => number > self.value,
            Comparison::StartsWith => false,
        }
    }
}
