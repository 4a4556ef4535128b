//! Assigns requests to tiers by the rules of one configuration version.

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

/// HTTP methods to which the non-idempotent mark of a service does not apply.
///
/// The mark of a rule applies to all methods.
const SAFE_METHODS: [&str; 2] = ["GET", "HEAD"];

/// The tier assigned to a request, with the handling that results from it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placement {
    /// The rank of the tier; 0 is the highest.
    pub tier: TierRank,
    /// The rule that matched; `None` if none did and the lowest tier applies.
    pub rule: Option<RuleName>,
    /// Whether the request must not be retried and requires an idempotency key.
    pub non_idempotent: bool,
    /// The time limit for the complete answer.
    pub deadline: Duration,
}

/// The reason why rules can't be compiled or a request can't be placed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum PlacementError {
    /// The configuration has no tiers.
    #[error("the configuration has no tiers")]
    NoTiers,
    /// The workspace is not in the configuration.
    #[error("workspace {workspace:?} does not exist")]
    UnknownWorkspace {
        /// The unknown workspace.
        workspace: String,
    },
    /// The service is not in the configuration.
    #[error("service {service:?} does not exist")]
    UnknownService {
        /// The requested service.
        service: String,
    },
    /// The engine service does not serve the model.
    #[error("service {service:?} does not serve model {model:?}")]
    UnknownModel {
        /// The requested service.
        service: String,
        /// The requested model.
        model: String,
    },
    /// A rule refers to a tier that does not exist.
    #[error("rule {rule:?} names tier {tier:?}, which does not exist")]
    UnknownTier {
        /// The name of the rule.
        rule: String,
        /// The name of the missing tier.
        tier: String,
    },
    /// A condition of a rule can't be compiled.
    #[error("rule {rule:?}: {source}")]
    Condition {
        /// The name of the rule.
        rule: String,
        /// The error in the condition.
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
/// Rules with an equality condition on the workspace are indexed by its name, so that the cost of a
/// placement does not grow with the number of rules for other workspaces.
#[derive(Debug)]
pub struct PlacementRules {
    /// The deadline of each tier, indexed by rank.
    deadlines: Vec<Duration>,
    rules: Vec<CompiledRule>,
    /// Positions in `rules` of the rules that are not bound to one workspace.
    general: Vec<usize>,
    /// Positions in `rules` of the rules for each workspace; every workspace of the configuration
    /// is a key.
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
    /// Assigns a request to the tier of the first matching rule, or to the lowest tier if none
    /// matches.
    ///
    /// # Errors
    ///
    /// Returns [`PlacementError`] if the workspace or the service does not exist, or if an engine
    /// service does not serve the requested model.
    pub fn place(&self, facts: &RequestFacts<'_>) -> Result<Placement, PlacementError> {
        let own_rules = self.by_workspace.get(facts.workspace);
        let own_rules = own_rules.ok_or_else(|| PlacementError::UnknownWorkspace {
            workspace: facts.workspace.to_owned(),
        })?;
        let service = self.service(facts)?;
        let rule = self.first_match(own_rules, facts);
        let lowest = self.deadlines.len().saturating_sub(1);
        let lowest = TierRank(u8::try_from(lowest).unwrap_or(u8::MAX));
        let tier = rule.map_or(lowest, |rule| rule.tier);
        let safe_method = SAFE_METHODS.contains(&facts.method);
        let rule_non_idempotent = rule.is_some_and(|rule| rule.non_idempotent);
        Ok(Placement {
            tier,
            rule: rule.map(|rule| rule.name.clone()),
            non_idempotent: rule_non_idempotent || (service.non_idempotent && !safe_method),
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

    fn first_match(&self, own_rules: &[usize], facts: &RequestFacts<'_>) -> Option<&CompiledRule> {
        let find = |positions: &[usize]| {
            let mut positions = positions.iter().copied();
            positions.find(|position| self.rules[*position].holds(facts))
        };
        let own = find(own_rules);
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
        let workspace = rule.conditions.iter().find(|condition| {
            condition.field == "workspace" && condition.comparison == Comparison::Equal
        });
        match workspace {
            Some(condition) => {
                // A rule for an unknown workspace can never match, so it is not indexed.
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
    let conditions = conditions.map_err(|source| PlacementError::Condition {
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

/// Places a single request, compiling all rules of the configuration for it.
///
/// To place many requests, compile a [`PlacementRules`] once per configuration version.
///
/// # Errors
///
/// Returns [`PlacementError`] if the configuration has no tiers, a rule can't be compiled, the
/// workspace or the service does not exist, or an engine service does not serve the requested
/// model.
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
