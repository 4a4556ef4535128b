//! Exhaustive search through a model of the rollout of configuration versions.

mod rollout_model;

use borageladder_kernel::rollout::RolloutTimes;
use rollout_model::Mutation;
use rollout_model::Scenario;
use rollout_model::TIMES;
use rollout_model::scenarios;
use rollout_model::units;

#[yare::parameterized(
    racing_operators = { scenarios::racing_operators() },
    lost_answer = { scenarios::lost_answer() },
    suspended_host = { scenarios::suspended_host() },
    suspended_confirmer = { scenarios::suspended_confirmer() },
    suspended_without_table = { scenarios::suspended_without_table() },
    cut_datacenter = { scenarios::cut_datacenter() },
    cut_with_operator = { scenarios::cut_with_operator() },
    start_without_table = { scenarios::start_without_table() },
    start_beside_suspended = { scenarios::start_beside_suspended() },
    half_broken_host = { scenarios::half_broken_host() },
    split_datacenter = { scenarios::split_datacenter() },
    accepting_host_killed = { scenarios::accepting_host_killed() },
    table_outage = { scenarios::table_outage() },
)]
fn no_host_serves_a_version_below_an_accepted_one(scenario: Scenario) {
    let result = scenario.search();
    println!("{result:?}");
    assert_eq!(result.violation, None);
    assert!(result.accepted >= 2, "no change was accepted in any state");
    assert!(
        result.served_older,
        "no host served while a change was under way"
    );
}

#[yare::parameterized(
    no_acceptance_delay = { scenarios::half_broken_host(), RolloutTimes { acceptance_delay: units(0), ..TIMES }, Mutation::None },
    longer_freshness = { scenarios::suspended_host(), RolloutTimes { freshness: units(9), ..TIMES }, Mutation::None },
    fresh_from_arrival = { scenarios::suspended_host(), TIMES, Mutation::FreshFromArrival },
    stale_hosts_verify = { scenarios::start_beside_suspended(), TIMES, Mutation::StaleHostsVerify },
)]
fn the_search_finds_a_violation_when_a_rule_is_broken(
    scenario: Scenario,
    times: RolloutTimes,
    mutation: Mutation,
) {
    let scenario = Scenario {
        times,
        mutation,
        ..scenario
    };
    let result = scenario.search();
    println!("{result:?}");
    assert!(result.violation.is_some());
}

#[test]
fn a_silent_data_centre_keeps_a_change_recorded() {
    let result = scenarios::cut_datacenter().search();
    assert!(result.recorded);
}

#[test]
fn an_outdated_host_refuses_work() {
    let result = scenarios::suspended_host().search();
    assert!(result.refused);
}
