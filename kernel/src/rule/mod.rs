//! Placement rules, which assign requests to tiers, and the matchers for their conditions.
//!
//! Each matcher is a separate module that registers itself through [`inventory`]. Adding one only
//! requires a new `mod` line here.

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
mod predicate;
mod prompt;
mod service;
mod workspace;

pub use placement::Placement;
pub use placement::PlacementError;
pub use placement::PlacementRules;
pub use placement::place;
pub use predicate::NumberPredicate;
pub use predicate::TextPredicate;

/// The attributes of a request on which rules can match.
#[derive(Clone, Copy)]
pub struct RequestFacts<'a> {
    /// The workspace of the caller.
    pub workspace: &'a str,
    /// The requested service.
    pub service: &'a str,
    /// The path of the request URI.
    pub path: &'a str,
    /// The HTTP method, in upper case.
    pub method: &'a str,
    /// The requested model; `None` if the request specifies none.
    pub model: Option<&'a str>,
    /// The approximate length of the prompt, in tokens; zero for plain services.
    pub prompt_tokens: u32,
    /// Looks up a header value by its lower-case name.
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
    /// Returns whether a request satisfies the condition.
    fn holds(&self, facts: &RequestFacts<'_>) -> bool;
}

/// A plug-in that compiles conditions on one field.
#[derive(Clone, Copy, Debug)]
pub struct ConditionMatcher {
    /// The field that it handles, without a suffix: `header` for `header.x-kind`.
    pub field: &'static str,
    /// A one-sentence description of the field, printed by `help`.
    pub description: &'static str,
    /// Compiles a condition on the field, with all checks of its suffix, comparison and value.
    pub compile: fn(&ConditionSpec) -> Result<Box<dyn RuleCondition>, RuleError>,
}

inventory::collect!(ConditionMatcher);

/// The reason why a condition is not valid.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum RuleError {
    /// No matcher is registered for the field, or the field has a suffix that it does not take.
    #[error("no rule can match on {field:?}; expected one of {}", expected.join(", "))]
    UnknownField {
        /// The field of the condition.
        field: String,
        /// The fields of all registered matchers.
        expected: Vec<&'static str>,
    },
    /// The field does not support the comparison.
    #[error("{field} can't be compared with {comparison}")]
    UnknownComparison {
        /// The field of the condition.
        field: String,
        /// The unsupported comparison.
        comparison: Comparison,
    },
    /// The value is not a whole number or exceeds the maximum.
    #[error("{field} needs a whole number of at most {max}, not {value:?}")]
    Number {
        /// The field of the condition.
        field: String,
        /// The rejected value.
        value: String,
        /// The largest permitted value.
        max: u32,
    },
    /// The value is not a valid name.
    #[error("{field} needs a name: {source}")]
    Name {
        /// The field of the condition.
        field: String,
        /// The error in the name.
        source: NameError,
    },
    /// The header name is missing or contains a character that is not permitted.
    #[error("{field:?} contains no valid header name; expected header.NAME")]
    HeaderName {
        /// The field of the condition.
        field: String,
    },
    /// The header declares the caller's own urgency, on which rules must not match.
    #[error("{field} states the caller's own urgency, on which rules must not match")]
    CallerUrgency {
        /// The field of the condition.
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

/// Returns all registered matchers, sorted by field.
#[must_use]
pub fn matchers() -> Vec<&'static ConditionMatcher> {
    let mut matchers: Vec<_> = inventory::iter::<ConditionMatcher>().collect();
    matchers.sort_by_key(|matcher| matcher.field);
    matchers
}

/// Compiles a condition with the matcher for its field.
///
/// # Errors
///
/// Returns [`RuleError`] if the field is unknown, or if the field does not support the comparison
/// or the value.
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

/// Checks that the field of a condition has no suffix, such as `.x-kind` in `header.x-kind`.
///
/// # Errors
///
/// Returns [`RuleError::UnknownField`] if the field contains a dot.
pub fn require_no_suffix(condition: &ConditionSpec) -> Result<(), RuleError> {
    if condition.field.contains('.') {
        return Err(unknown_field(condition));
    }
    Ok(())
}
