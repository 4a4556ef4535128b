//! Compares the goodput and the wasted prefill of all registered policies in simulated experiments.
//!
//! `cargo bench --bench policy [-- --json --seed N --trace quill|sargam --fault NAME --policy NAME
//! --seconds N]`. Equal arguments give equal output.
//!
//! The columns of the tables, in terms of [`ExperimentResult`]: the goodput of each tier, the token
//! goodput (`tokens`), the wasted and the recomputed share of the prefill (`wasted`, `again`), late
//! and lost requests, worker crashes caused by the crashing request (`crash`), requests dispatched
//! more than once (`twice`), refusals while a request of a lower tier waited (`sheds`), and the
//! refused requests by reason.

use std::ffi::OsString;
use std::thread;
use std::time::Duration;

use anyhow::Context;
use borageladder::kernel::policy;
use borageladder::kernel::policy::DEFAULT_POLICY;
use borageladder_standin::experiment;
use borageladder_standin::experiment::BoundCheck;
use borageladder_standin::experiment::ExperimentResult;
use borageladder_standin::experiment::ExperimentSpec;
use borageladder_standin::experiment::FaultKind;
use borageladder_standin::experiment::MAX_WAITING;
use borageladder_standin::trace::DeploymentKind;
use lexopt::ValueExt;
use serde_json::json;

/// The seed that is used unless `--seed` is given.
const DEFAULT_SEED: u64 = 1;

/// The duration of a trace that is used unless `--seconds` is given.
const DEFAULT_LENGTH: Duration = Duration::from_mins(4);

/// The load levels, as multiples of the base load of the traces.
const SCALES: [f64; 2] = [1.0, 2.0];

/// The maximum number of experiments that run at once.
const MAX_THREADS: usize = 8;

/// The parsed command line.
#[derive(Clone, Debug)]
struct BenchArguments {
    json: bool,
    seed: u64,
    length: Duration,
    deployments: Vec<DeploymentKind>,
    faults: Vec<FaultKind>,
    policies: Vec<&'static str>,
}

impl TryFrom<Vec<OsString>> for BenchArguments {
    type Error = anyhow::Error;

    fn try_from(arguments: Vec<OsString>) -> Result<Self, anyhow::Error> {
        let mut parsed = Self {
            json: false,
            seed: DEFAULT_SEED,
            length: DEFAULT_LENGTH,
            deployments: DeploymentKind::ALL.to_vec(),
            faults: FaultKind::ALL.to_vec(),
            policies: policy::all().iter().map(|policy| policy.name()).collect(),
        };
        let mut parser = lexopt::Parser::from_args(arguments);
        while let Some(argument) = parser.next()? {
            match argument {
                // Cargo passes `--bench` to every benchmark.
                lexopt::Arg::Long("bench") => {}
                lexopt::Arg::Long("json") => parsed.json = true,
                lexopt::Arg::Long("seed") => parsed.seed = parser.value()?.parse()?,
                lexopt::Arg::Long("seconds") => {
                    parsed.length = Duration::from_secs(parser.value()?.parse()?);
                }
                lexopt::Arg::Long("trace") => {
                    parsed.deployments = vec![find_deployment(&parser.value()?.string()?)?];
                }
                lexopt::Arg::Long("fault") => {
                    let name = parser.value()?.string()?;
                    parsed.faults = vec![FaultKind::try_from(name.as_str())?];
                }
                lexopt::Arg::Long("policy") => {
                    let name = parser.value()?.string()?;
                    let policy =
                        policy::find(&name).with_context(|| format!("no policy {name}"))?;
                    parsed.policies = vec![policy.name()];
                }
                other => return Err(other.unexpected().into()),
            }
        }
        Ok(parsed)
    }
}

/// Finds a deployment by the name of the trace that is modelled on it.
fn find_deployment(name: &str) -> anyhow::Result<DeploymentKind> {
    DeploymentKind::ALL
        .into_iter()
        .find(|deployment| deployment.name() == name)
        .with_context(|| format!("{name:?} is not a trace; the traces are quill and sargam"))
}

impl BenchArguments {
    fn specs(&self) -> Vec<ExperimentSpec> {
        let mut specs = Vec::new();
        for deployment in &self.deployments {
            for scale in SCALES {
                for fault in &self.faults {
                    specs.extend(self.policies.iter().map(|policy| ExperimentSpec {
                        deployment: *deployment,
                        scale,
                        fault: *fault,
                        policy,
                        seed: self.seed,
                        length: self.length,
                        max_waiting: MAX_WAITING,
                    }));
                }
            }
        }
        specs
    }
}

fn main() -> anyhow::Result<()> {
    let arguments: Vec<OsString> = std::env::args_os().skip(1).collect();
    let arguments = BenchArguments::try_from(arguments)?;
    let threads = thread::available_parallelism().map_or(1, usize::from);
    let results = experiment::run_all(&arguments.specs(), threads.min(MAX_THREADS))?;
    let checks = experiment::check_bounds(&results, DEFAULT_POLICY);
    if arguments.json {
        let checks: Vec<_> = checks.iter().map(check_json).collect();
        println!("{}", json!({"results": results, "bounds": checks}));
    } else {
        print_tables(&results);
        print_checks(&checks);
    }
    Ok(())
}

fn check_json(check: &BoundCheck) -> serde_json::Value {
    json!({"bound": check, "held": check.held()})
}

fn print_tables(results: &[ExperimentResult]) {
    let mut title = String::new();
    for result in results {
        let spec = result.spec;
        let next = format!("{} {}x {}", spec.deployment.name(), spec.scale, spec.fault);
        if next != title {
            title = next;
            println!("\n{title}, seed {}", spec.seed);
            println!(
                "{:<18}{:>7}{:>7}{:>7}{:>7}{:>8}{:>8}{:>7}{:>6}{:>6}{:>7}{:>6}{:>6}  refused",
                "policy",
                "tier 1",
                "tier 2",
                "tier 3",
                "tier 4",
                "tokens",
                "wasted",
                "again",
                "late",
                "lost",
                "crash",
                "twice",
                "sheds"
            );
        }
        print_row(result);
    }
}

fn print_row(result: &ExperimentResult) {
    print!("{:<18}", result.spec.policy);
    for tier in &result.tiers {
        print!("{:>7.3}", tier.goodput());
    }
    print!("{:>8.3}", result.token_goodput());
    print!("{:>8.3}", result.prefill.wasted());
    print!("{:>7.3}", result.prefill.recomputed_share());
    print!("{:>6}{:>6}", result.late, result.lost);
    print!("{:>7}", result.crashed_workers);
    print!(
        "{:>6}{:>6} ",
        result.dispatched_twice, result.higher_tier_sheds
    );
    for refusal in &result.refused {
        print!(" {:?} {}", refusal.reason, refusal.requests);
    }
    println!();
}

fn print_checks(checks: &[BoundCheck]) {
    println!("\nbounds of {DEFAULT_POLICY}");
    for check in checks {
        let verdict = if check.held() { "held  " } else { "missed" };
        let relation = if check.at_least {
            "at least"
        } else {
            "at most"
        };
        println!(
            "{verdict} {}: {:.4}, {relation} {:.4}",
            check.name, check.measured, check.bound
        );
    }
    let missed = checks.iter().filter(|check| !check.held()).count();
    println!("{missed} of {} bounds missed", checks.len());
}
