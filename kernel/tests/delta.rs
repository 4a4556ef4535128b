//! Tests of the deltas between configuration versions.

use borageladder_kernel::configuration::ConfigVersion;
use borageladder_kernel::configuration::Configuration;
use borageladder_kernel::configuration::DatacenterSpec;
use borageladder_kernel::configuration::RuleSpec;
use borageladder_kernel::configuration::ServiceKind;
use borageladder_kernel::configuration::ServiceSpec;
use borageladder_kernel::configuration::TierSpec;
use borageladder_kernel::configuration::WorkerSpec;
use borageladder_kernel::configuration::WorkerState;
use borageladder_kernel::configuration::WorkspaceSpec;
use borageladder_kernel::delta::ConfigurationDelta;
use borageladder_kernel::delta::DeltaError;
use borageladder_kernel::name::NameError;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

fn name<N: TryFrom<String, Error = NameError>>(number: u8) -> N {
    N::try_from(format!("n{number}")).expect("a valid name")
}

/// Returns a configuration with one resource per choice, given as kind, name and value.
fn configuration(version: u64, choices: &[(u8, u8, u8)]) -> Configuration {
    let mut configuration = Configuration {
        version: ConfigVersion(version),
        ..Configuration::default()
    };
    for (kind, key, value) in choices {
        add(&mut configuration, kind % 6, key % 5, *value);
    }
    configuration
}

fn add(configuration: &mut Configuration, kind: u8, key: u8, value: u8) {
    match kind {
        0 => configuration.tiers.push(TierSpec {
            name: name(key),
            deadline_ms: u64::from(value),
            preemptible: false,
        }),
        1 => configuration.rules.push(RuleSpec {
            name: name(key),
            tier: name(value),
            conditions: Vec::new(),
            non_idempotent: false,
        }),
        2 => {
            let spec = WorkspaceSpec {
                key_digest: value.to_string(),
                max_requests: 1,
            };
            configuration.workspaces.insert(name(key), spec);
        }
        3 => {
            let spec = ServiceSpec {
                kind: ServiceKind::Plain,
                models: Vec::new(),
                non_idempotent: value > 127,
            };
            configuration.services.insert(name(key), spec);
        }
        4 => {
            let spec = WorkerSpec {
                service: name(value),
                datacenter: name(key),
                address: "127.0.0.1:80".parse().expect("an address"),
                max_running: 1,
                version: None,
                state: WorkerState::Active,
            };
            configuration.workers.insert(name(key), spec);
        }
        _ => {
            let spec = DatacenterSpec {
                region: name(value),
                gone: false,
            };
            configuration.datacenters.insert(name(key), spec);
        }
    }
}

fn seeded() -> Config {
    Config {
        cases: 500,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(23),
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(seeded())]

    #[test]
    fn applying_a_delta_gives_the_later_version(
        before in vec(any::<(u8, u8, u8)>(), 0..30),
        after in vec(any::<(u8, u8, u8)>(), 0..30),
    ) {
        let before = configuration(4, &before);
        let after = configuration(5, &after);
        let delta = ConfigurationDelta::between(&before, &after);
        assert_eq!(delta.apply(&before), Ok(after));
    }
}

#[test]
fn a_delta_between_equal_configurations_is_empty() {
    let before = configuration(4, &[(2, 1, 1)]);
    let after = configuration(5, &[(2, 1, 1)]);
    assert_eq!(ConfigurationDelta::between(&before, &after).size(), 0);
}

#[test]
fn a_delta_for_another_version_is_refused() {
    let (before, after) = (configuration(4, &[]), configuration(5, &[]));
    let delta = ConfigurationDelta::between(&before, &after);
    let error = DeltaError::Version {
        from: ConfigVersion(4),
        found: ConfigVersion(5),
    };
    assert_eq!(delta.apply(&after), Err(error));
}
