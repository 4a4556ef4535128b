//! Comparisons of texts and numbers, which the matchers share.

use crate::configuration::Comparison;
use crate::configuration::ConditionSpec;
use crate::rule::RuleError;

/// A comparison of a text with a fixed value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TextTest {
    comparison: Comparison,
    value: String,
}

impl TextTest {
    /// Returns whether the comparison holds for a text.
    ///
    /// # Examples
    ///
    /// ```
    /// use borageladder_kernel::configuration::Comparison;
    /// use borageladder_kernel::configuration::ConditionSpec;
    /// use borageladder_kernel::rule::TextTest;
    ///
    /// let condition = ConditionSpec {
    ///     field: "path".to_owned(),
    ///     comparison: Comparison::StartsWith,
    ///     value: "/v1/".to_owned(),
    /// };
    /// let test = TextTest::try_from(&condition).expect("the comparison is one of texts");
    /// assert!(test.holds("/v1/completions"));
    /// assert!(!test.holds("/services/casebook"));
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

impl TryFrom<&ConditionSpec> for TextTest {
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

/// A comparison of a number with a fixed value.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NumberTest {
    comparison: Comparison,
    value: u32,
}

impl NumberTest {
    /// Creates a test whose value is at most `most`.
    ///
    /// # Errors
    ///
    /// Returns [`RuleError`] if the value is not such a number or the comparison is one of texts.
    ///
    /// # Examples
    ///
    /// ```
    /// use borageladder_kernel::configuration::Comparison;
    /// use borageladder_kernel::configuration::ConditionSpec;
    /// use borageladder_kernel::rule::NumberTest;
    ///
    /// let condition = ConditionSpec {
    ///     field: "hour".to_owned(),
    ///     comparison: Comparison::Greater,
    ///     value: "21".to_owned(),
    /// };
    /// let test = NumberTest::bounded(&condition, 23).expect("21 is at most 23");
    /// assert!(test.holds(22));
    /// assert!(NumberTest::bounded(&condition, 20).is_err());
    /// ```
    pub fn bounded(condition: &ConditionSpec, most: u32) -> Result<Self, RuleError> {
        if condition.comparison == Comparison::StartsWith {
            return Err(RuleError::UnknownComparison {
                field: condition.field.clone(),
                comparison: condition.comparison,
            });
        }
        let value = condition.value.parse().ok().filter(|value| *value <= most);
        let value = value.ok_or_else(|| RuleError::Number {
            field: condition.field.clone(),
            value: condition.value.clone(),
            most,
        })?;
        Ok(Self {
            comparison: condition.comparison,
            value,
        })
    }

    /// Returns whether the comparison holds for a number.
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
