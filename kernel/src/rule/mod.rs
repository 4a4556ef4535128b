//! Rules that place requests in tiers, and the matchers of their conditions.
//!
//! Each matcher stands in a file of its own and registers itself; a new one needs no change here.

use std::fmt;

use thiserror::Error;

use crate::configuration::Comparison;
use crate::configuration::ConditionSpec;
use crate::name::NameError;

mod header;
mod hour;
mod method;
mod model;
mod path;
mod placement;
mod prompt;
mod service;
mod test;
mod workspace;

pub use placement::Placement;
pub use placement::PlacementError;
pub use placement::PlacementRules;
pub use placement::place;
pub use test::NumberTest;
pub use test::TextTest;

/// What is known of a request when it is placed.
#[derive(Clone, Copy)]
pub struct RequestFacts<'a> {
    /// The workspace of the caller.
    pub workspace: &'a str,
    /// The service that the request is for.
    pub service: &'a str,
    /// The path of the request.
    pub path: &'a str,
    /// The HTTP method in capitals.
    pub method: &'a str,
    /// The model that the request names, if any.
    pub model: Option<&'a str>,
    /// The length of the prompt, in tokens; zero for plain services.
    pub prompt_tokens: u32,
    /// Finds the value of a header by its name in small letters.
    pub headers: &'a dyn Fn(&str) -> Option<&'a str>,
    /// The hour of the day in UTC, from 0 to 23.
    pub hour: u8,
}

impl fmt::Debug for RequestFacts<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RequestFacts")
            .field("workspace", &self.workspace)
            .field("service", &self.service)
            .field("path", &self.path)
            .field("method", &self.method)
            .field("model", &self.model)
            .field("prompt_tokens", &self.prompt_tokens)
            .field("hour", &self.hour)
            .finish_non_exhaustive()
    }
}

/// A compiled condition of a rule.
pub trait RuleCondition: fmt::Debug + Send + Sync {
    /// Returns whether the condition holds for a request.
    fn holds(&self, facts: &RequestFacts<'_>) -> bool;
}

/// A plug-in that compiles the conditions on one field.
#[derive(Clone, Copy, Debug)]
pub struct ConditionMatcher {
    /// The field that it matches; of `header.x-kind` only the part before the dot.
    pub field: &'static str,
    /// What the field is, in one sentence for operators.
    pub meaning: &'static str,
    /// Compiles a condition on the field.
    pub compile: fn(&ConditionSpec) -> Result<Box<dyn RuleCondition>, RuleError>,
}

inventory::collect!(ConditionMatcher);

/// The reason why a condition can't be used.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum RuleError {
    /// No matcher has the field.
    #[error("no rule can match on {field:?}; expected one of {}", expected.join(", "))]
    UnknownField {
        /// The field given.
        field: String,
        /// The fields that exist.
        expected: Vec<&'static str>,
    },
    /// The field does not support the comparison.
    #[error("{field} can't be compared with {comparison}")]
    UnknownComparison {
        /// The field given.
        field: String,
        /// The comparison given.
        comparison: Comparison,
    },
    /// The value is not a number or out of range.
    #[error("{field} needs a whole number of at most {most}, not {value:?}")]
    Number {
        /// The field given.
        field: String,
        /// The value given.
        value: String,
        /// The greatest value allowed.
        most: u32,
    },
    /// The value is not a name.
    #[error("{field} needs a name: {source}")]
    Name {
        /// The field given.
        field: String,
        /// What is wrong with the name.
        source: NameError,
    },
    /// The header name is missing or not valid.
    #[error("{field:?} names no header; expected header.NAME")]
    HeaderName {
        /// The field given.
        field: String,
    },
    /// The header lets the caller state how urgent its request is.
    #[error("{field} is an urgency that the caller states, which rules must not use")]
    CallerUrgency {
        /// The field given.
        field: String,
    },
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Equal => "=",
            Self::NotEqual => "!=",
            Self::Less => "<",
            Self::Greater => ">",
            Self::StartsWith => "~",
        })
    }
}

/// Returns all matchers in the order of their fields.
#[must_use]
pub fn matchers() -> Vec<&'static ConditionMatcher> {
    let mut matchers: Vec<_> = inventory::iter::<ConditionMatcher>().collect();
    matchers.sort_by_key(|matcher| matcher.field);
    matchers
}

/// Compiles a condition.
///
/// # Errors
///
/// Returns [`RuleError`] if the field is unknown or its value does not fit.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::configuration::Comparison;
/// use borageladder_kernel::configuration::ConditionSpec;
/// use borageladder_kernel::rule::compile;
///
/// let mut condition = ConditionSpec {
///     field: "prompt".to_owned(),
///     comparison: Comparison::Greater,
///     value: "2000".to_owned(),
/// };
/// assert!(compile(&condition).is_ok());
/// condition.field = "urgency".to_owned();
/// assert!(compile(&condition).is_err());
/// ```
pub fn compile(condition: &ConditionSpec) -> Result<Box<dyn RuleCondition>, RuleError> {
    let field = condition.field.split('.').next().unwrap_or_default();
    let matcher = inventory::iter::<ConditionMatcher>().find(|matcher| matcher.field == field);
    match matcher {
        Some(matcher) => (matcher.compile)(condition),
        None => Err(unknown_field(condition)),
    }
}

fn unknown_field(condition: &ConditionSpec) -> RuleError {
    RuleError::UnknownField {
        field: condition.field.clone(),
        expected: matchers().iter().map(|matcher| matcher.field).collect(),
    }
}

/// Checks that the field of a condition is exactly the name of its matcher.
///
/// # Errors
///
/// Returns [`RuleError::UnknownField`] if something follows the name.
pub fn check_field(condition: &ConditionSpec) -> Result<(), RuleError> {
    if condition.field.contains('.') {
        return Err(unknown_field(condition));
    }
    Ok(())
}
