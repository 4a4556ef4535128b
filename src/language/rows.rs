//! Rows of the result tables that are derived from the configuration alone.

use serde_json::Value;
use serde_json::json;

use crate::kernel::change::quote;
use crate::kernel::change::render;
use crate::kernel::configuration::ConditionSpec;
use crate::kernel::configuration::Configuration;
use crate::kernel::name::ModelName;
use crate::kernel::name::ServiceName;
use crate::language::ResultTable;
use crate::language::TableName;

/// The number of leading digits of a key digest that are shown.
const SHOWN_DIGITS: usize = 8;

/// Returns a result table with all its rows, or `None` if it requires data beyond the
/// configuration.
///
/// # Examples
///
/// ```
/// use borageladder::kernel::configuration::Configuration;
/// use borageladder::language::TableName;
/// use borageladder::language::rows::configuration_table;
///
/// let configuration = Configuration::default();
/// assert!(configuration_table(&configuration, TableName::Tiers).is_some());
/// assert!(configuration_table(&configuration, TableName::Waiting).is_none());
/// ```
#[must_use]
pub fn configuration_table(configuration: &Configuration, table: TableName) -> Option<ResultTable> {
    let rows = match table {
        TableName::Configuration => commands(configuration),
        TableName::Datacenters => datacenters(configuration),
        TableName::Rules => rules(configuration),
        TableName::Services => services(configuration),
        TableName::Tiers => tiers(configuration),
        TableName::Workspaces => workspaces(configuration),
        _ => return None,
    };
    let mut result = ResultTable::new(table);
    result.rows = rows;
    Some(result)
}

fn commands(configuration: &Configuration) -> Vec<Vec<Value>> {
    let lines = render(configuration).into_iter();
    lines.map(|line| vec![json!(line)]).collect()
}

fn datacenters(configuration: &Configuration) -> Vec<Vec<Value>> {
    let datacenters = configuration.datacenters.iter();
    datacenters
        .map(|(name, spec)| vec![json!(name), json!(spec.region), json!(spec.gone)])
        .collect()
}

fn rules(configuration: &Configuration) -> Vec<Vec<Value>> {
    let rules = configuration.rules.iter().enumerate();
    rules
        .map(|(index, rule)| {
            let conditions: Vec<String> = rule.conditions.iter().map(condition).collect();
            vec![
                json!(index + 1),
                json!(rule.name),
                json!(rule.tier),
                json!(rule.non_idempotent),
                json!(conditions.join(" and ")),
            ]
        })
        .collect()
}

fn condition(condition: &ConditionSpec) -> String {
    let value = quote(&condition.value);
    format!("{} {} {value}", condition.field, condition.comparison)
}

fn services(configuration: &Configuration) -> Vec<Vec<Value>> {
    let workers = |name: &ServiceName| {
        let workers = configuration.workers.values();
        workers.filter(|worker| worker.service == *name).count()
    };
    let services = configuration.services.iter();
    services
        .map(|(name, service)| {
            let models: Vec<&str> = service.models.iter().map(ModelName::as_str).collect();
            vec![
                json!(name),
                json!(service.kind),
                json!(models.join(",")),
                json!(service.non_idempotent),
                json!(workers(name)),
            ]
        })
        .collect()
}

fn tiers(configuration: &Configuration) -> Vec<Vec<Value>> {
    let tiers = configuration.tiers.iter().enumerate();
    tiers
        .map(|(rank, tier)| {
            vec![
                json!(rank),
                json!(tier.name),
                json!(tier.deadline_ms),
                json!(tier.preemptible),
            ]
        })
        .collect()
}

fn workspaces(configuration: &Configuration) -> Vec<Vec<Value>> {
    let workspaces = configuration.workspaces.iter();
    workspaces
        .map(|(name, workspace)| {
            let digest = &workspace.key_digest;
            let shown = digest.get(..SHOWN_DIGITS).unwrap_or(digest);
            vec![json!(name), json!(shown), json!(workspace.max_requests)]
        })
        .collect()
}
