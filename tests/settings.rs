//! Parsing and validation of the settings file.

use std::path::Path;

use borageladder::settings::HostSettings;
use borageladder::settings::KeyDigest;
use borageladder::settings::SettingsError;
use borageladder::settings::load;
use borageladder::settings::parse;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prelude::proptest;
use proptest::test_runner::RngSeed;
use yare::parameterized;

const VALID: &str = r#"host = "sapporo-1"
datacenter = "sapporo-a"
region = "sapporo"
entry_listen = "127.0.0.1:8080"
operator_listen = "127.0.0.1:8081"
link_listen = "127.0.0.1:8082"
peers = ["127.0.0.1:8182"]
platform = "127.0.0.1:7000"
shared_key_file = "shared.key"
"#;

fn parse_text(text: &str) -> Result<HostSettings, SettingsError> {
    parse(text, Path::new("examples/quill-works/host.toml"))
}

#[test]
fn absent_keys_have_defaults() {
    let settings = parse_text(VALID).expect("the settings are valid");
    assert_eq!(settings.link_advertise, settings.link_listen);
    assert_eq!(settings.limits.max_requests, 4096);
    assert_eq!(settings.log.level, slog::Level::Info);
}

#[parameterized(
    unknown_key = { "host = ", "hots = \"a\"\nhost = ", 1, "hots", "unknown field" },
    missing_key = { "region = \"sapporo\"\n", "", 1, "host", "missing field `region`" },
    bad_name = { "sapporo-a", "sapporo a", 2, "datacenter", "' '" },
    bad_address = { "127.0.0.1:8081", "localhost", 5, "operator_listen", "invalid socket address" },
    bad_peer = { "127.0.0.1:8182", "x", 7, "peers", "invalid socket address" },
    bad_type = { "\"127.0.0.1:7000\"", "7000", 8, "platform", "expected a string" },
    no_secret = { "shared.key", "missing.key", 9, "shared_key_file", "missing.key" },
    bad_syntax = { "region = ", "region : ", 3, "region", "" },
)]
fn errors_name_line_and_key(from: &str, to: &str, line: usize, key: &str, problem: &str) {
    let error = parse_text(&VALID.replacen(from, to, 1)).expect_err("the settings are wrong");
    let text = error.to_string();
    let prefix = format!("examples/quill-works/host.toml:{line}: {key}");
    assert!(text.starts_with(&prefix), "{text}");
    assert!(text.contains(problem), "{text}");
}

#[parameterized(
    limit = { "[limits]\nmax_requests = 0\n", "max_requests", "out of range" },
    body = { "[limits]\nmax_body_bytes = 2048\nmax_waiting_bytes = 1024\n", "max_body_bytes", "max_waiting_bytes" },
    level = { "[log]\nlevel = \"loud\"\n", "level", "not a log level" },
    format = { "[log]\nformat = \"xml\"\n", "format", "not a log format" },
    digest = { "[[operators]]\nname = \"a\"\ntoken_digest = \"12\"\n", "token_digest", "64 hex" },
    nested = { "[log]\ncolour = 1\n", "colour", "unknown field" },
)]
fn errors_in_sections_name_the_key(section: &str, key: &str, problem: &str) {
    let error = parse_text(&format!("{VALID}{section}")).expect_err("the section is wrong");
    let text = error.to_string();
    assert!(text.contains(&format!(": {key}: ")), "{text}");
    assert!(text.contains(problem), "{text}");
}

#[test]
fn operators_must_differ() {
    let digest = KeyDigest::of("one token");
    let operator =
        |name| format!("[[operators]]\nname = \"{name}\"\ntoken_digest = \"{digest}\"\n");
    let text = format!("{VALID}{}{}", operator("a"), operator("b"));
    let error = parse_text(&text).expect_err("both have the same token");
    assert!(error.to_string().contains("same token"), "{error}");
}

#[test]
fn secrets_are_not_printed() {
    let settings = parse_text(VALID).expect("the settings are valid");
    let printed = format!("{settings:?}");
    assert!(printed.contains("SecretKey(..)"));
    assert!(!printed.contains("example only"));
}

#[parameterized(
    quill_works = { "examples/quill-works/host.toml", "sapporo" },
    sargam_seats = { "examples/sargam-seats/host.toml", "kolkata" },
)]
fn examples_load(path: &str, region: &str) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let settings = load(&root.join(path)).expect("the example is valid");
    assert_eq!(settings.region.as_str(), region);
    assert!(!settings.operators.is_empty());
}

fn seeded() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(seeded())]

    #[test]
    fn any_text_is_parsed_without_panic(text in any::<String>()) {
        drop(parse_text(&text));
    }

    #[test]
    fn any_value_is_parsed_without_panic(key in "[a-z_]{1,20}", value in any::<String>()) {
        drop(parse_text(&format!("{VALID}{key} = {value:?}\n[limits]\n{key} = {value}\n")));
    }
}
