//! Placement of a request in a tier by the rules of one configuration version.

use std::collections::BTreeMap;
use std::time::Duration;

use thiserror::Error;

use crate::configuration::Comparison;
use crate::configuration::Configuration;
use crate::configuration::RuleSpec;
use crate::configuration::ServiceKind;
use crate::configuration::ServiceSpec;
use crate::name::ModelName;
use crate::name::RuleName;
use crate::name::ServiceName;
use crate::name::TierRank;
use crate::name::WorkspaceName;
use crate::rule::RequestFacts;
use crate::rule::RuleCondition;
use crate::rule::RuleError;
use crate::rule::compile;

/// Methods that plain services may always repeat.
const SAFE_METHODS: [&str; 2] = ["GET", "HEAD"];

/// Where a request was placed and what follows from it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placement {
    /// The tier of the request.
    pub tier: TierRank,
    /// The rule that placed it; `None` where no rule matched.
    pub rule: Option<RuleName>,
    /// Whether the request must not be repeated and needs an idempotency key.
    pub non_idempotent: bool,
    /// The time within which the whole answer is due.
    pub deadline: Duration,
}

/// The reason why a request can't be placed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum PlacementError {
    /// The configuration has no tiers.
    #[error("the configuration has no tiers")]
    NoTiers,
    /// The configuration has no such workspace.
    #[error("workspace {workspace:?} does not exist")]
    UnknownWorkspace {
        /// The workspace given.
        workspace: String,
    },
    /// The configuration has no such service.
    #[error("service {service:?} does not exist")]
    UnknownService {
        /// The service given.
        service: String,
    },
    /// The service does not serve the model.
    #[error("service {service:?} does not serve model {model:?}")]
    UnknownModel {
        /// The service given.
        service: String,
        /// The model given.
        model: String,
    },
    /// A rule names a tier that does not exist.
    #[error("rule {rule:?} names tier {tier:?}, which does not exist")]
    UnknownTier {
        /// The rule.
        rule: String,
        /// The tier that it names.
        tier: String,
    },
    /// A rule has a condition that can't be compiled.
    #[error("rule {rule:?}: {source}")]
    Rule {
        /// The rule.
        rule: String,
        /// What is wrong with the condition.
        source: RuleError,
    },
}

#[derive(Debug)]
struct CompiledRule {
    name: RuleName,
    tier: TierRank,
    non_idempotent: bool,
    conditions: Vec<Box<dyn RuleCondition>>,
}

impl CompiledRule {
    fn holds(&self, facts: &RequestFacts<'_>) -> bool {
        self.conditions
            .iter()
            .all(|condition| condition.holds(facts))
    }
}

/// The rules of one configuration version, compiled once and used for every request.
///
/// Rules that need one certain workspace are found by its name, so that the cost of a placement
/// does not grow with the rules of other workspaces.
#[derive(Debug)]
pub struct PlacementRules {
    deadlines: Vec<Duration>,
    rules: Vec<CompiledRule>,
    general: Vec<usize>,
    by_workspace: BTreeMap<WorkspaceName, Vec<usize>>,
    services: BTreeMap<ServiceName, ServiceSpec>,
}

impl TryFrom<&Configuration> for PlacementRules {
    type Error = PlacementError;

    fn try_from(configuration: &Configuration) -> Result<Self, PlacementError> {
        if configuration.tiers.is_empty() {
            return Err(PlacementError::NoTiers);
        }
        let workspaces = configuration.workspaces.keys();
        let mut rules = Self {
            deadlines: deadlines(configuration),
            rules: Vec::with_capacity(configuration.rules.len()),
            general: Vec::new(),
            by_workspace: workspaces.map(|name| (name.clone(), Vec::new())).collect(),
            services: configuration.services.clone(),
        };
        for rule in &configuration.rules {
            rules.add(configuration, rule)?;
        }
        Ok(rules)
    }
}

impl PlacementRules {
    /// Places a request; the first rule that matches decides, and without one the lowest tier.
    ///
    /// # Errors
    ///
    /// Returns [`PlacementError`] if the workspace, the service or the model does not exist.
    pub fn place(&self, facts: &RequestFacts<'_>) -> Result<Placement, PlacementError> {
        let own = self.by_workspace.get(facts.workspace);
        let own = own.ok_or_else(|| PlacementError::UnknownWorkspace {
            workspace: facts.workspace.to_owned(),
        })?;
        let service = self.service(facts)?;
        let rule = self.first_match(own, facts);
        let lowest = self.deadlines.len().saturating_sub(1);
        let lowest = TierRank(u8::try_from(lowest).unwrap_or(u8::MAX));
        let tier = rule.map_or(lowest, |rule| rule.tier);
        let repeatable = SAFE_METHODS.contains(&facts.method);
        let marked = rule.is_some_and(|rule| rule.non_idempotent);
        Ok(Placement {
            tier,
            rule: rule.map(|rule| rule.name.clone()),
            non_idempotent: marked || (service.non_idempotent && !repeatable),
            deadline: self.deadlines[usize::from(tier.0)],
        })
    }

    fn service(&self, facts: &RequestFacts<'_>) -> Result<&ServiceSpec, PlacementError> {
        let service = self.services.get(facts.service);
        let service = service.ok_or_else(|| PlacementError::UnknownService {
            service: facts.service.to_owned(),
        })?;
        let Some(model) = facts.model else {
            return Ok(service);
        };
        let served = service.models.iter().map(ModelName::as_str);
        if service.kind == ServiceKind::Engine && !served.into_iter().any(|name| name == model) {
            return Err(PlacementError::UnknownModel {
                service: facts.service.to_owned(),
                model: model.to_owned(),
            });
        }
        Ok(service)
    }

    fn first_match(&self, own: &[usize], facts: &RequestFacts<'_>) -> Option<&CompiledRule> {
        let find = |positions: &[usize]| {
            let mut positions = positions.iter().copied();
            positions.find(|position| self.rules[*position].holds(facts))
        };
        let own = find(own);
        let general = find(&self.general);
        let position = own.into_iter().chain(general).min()?;
        Some(&self.rules[position])
    }

    fn add(
        &mut self,
        configuration: &Configuration,
        rule: &RuleSpec,
    ) -> Result<(), PlacementError> {
        let compiled = compile_rule(configuration, rule)?;
        let position = self.rules.len();
        self.rules.push(compiled);
        let named = rule.conditions.iter().find(|condition| {
            condition.field == "workspace" && condition.comparison == Comparison::Equal
        });
        match named {
            Some(condition) => {
                // A rule for a workspace that does not exist can never match.
                if let Some(positions) = self.by_workspace.get_mut(condition.value.as_str()) {
                    positions.push(position);
                }
            }
            None => self.general.push(position),
        }
        Ok(())
    }
}

fn deadlines(configuration: &Configuration) -> Vec<Duration> {
    let tiers = configuration.tiers.iter();
    tiers
        .map(|tier| Duration::from_millis(tier.deadline_ms))
        .collect()
}

fn compile_rule(
    configuration: &Configuration,
    rule: &RuleSpec,
) -> Result<CompiledRule, PlacementError> {
    let tier = configuration.tier_rank(rule.tier.as_str());
    let tier = tier.ok_or_else(|| PlacementError::UnknownTier {
        rule: rule.name.to_string(),
        tier: rule.tier.to_string(),
    })?;
    let conditions: Result<Vec<_>, _> = rule.conditions.iter().map(compile).collect();
    let conditions = conditions.map_err(|source| PlacementError::Rule {
        rule: rule.name.to_string(),
        source,
    })?;
    Ok(CompiledRule {
        name: rule.name.clone(),
        tier,
        non_idempotent: rule.non_idempotent,
        conditions,
    })
}

/// Places one request by a configuration; compiles all rules each time.
///
/// Hosts keep a [`PlacementRules`] for each version instead.
///
/// # Errors
///
/// Returns [`PlacementError`] if the workspace, the service or the model does not exist or a rule
/// can't be compiled.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::configuration::Configuration;
/// use borageladder_kernel::rule::PlacementError;
/// use borageladder_kernel::rule::RequestFacts;
/// use borageladder_kernel::rule::place;
///
/// let facts = RequestFacts {
///     workspace: "reps",
///     service: "drafter",
///     path: "/v1/chat/completions",
///     method: "POST",
///     model: Some("quill-70b"),
///     prompt_tokens: 2_400,
///     headers: &|_| None,
///     hour: 9,
/// };
/// let placement = place(&Configuration::default(), &facts);
/// assert_eq!(placement, Err(PlacementError::NoTiers));
/// ```
pub fn place(
    configuration: &Configuration,
    facts: &RequestFacts<'_>,
) -> Result<Placement, PlacementError> {
    PlacementRules::try_from(configuration)?.place(facts)
}
