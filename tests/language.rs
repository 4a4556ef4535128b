//! Tests of the operators' language.

use std::fs;
use std::path::Path;

use borageladder::kernel::change::ConfigurationChange;
use borageladder::kernel::change::apply;
use borageladder::kernel::change::render;
use borageladder::kernel::configuration::ConfigVersion;
use borageladder::kernel::configuration::Configuration;
use borageladder::kernel::rule::PlacementRules;
use borageladder::language::KeyOutcome;
use borageladder::language::OperatorCommand;
use borageladder::language::ResourceKind;
use borageladder::language::help::describe;
use borageladder::language::parse;
use borageladder::language::parse_script;
use borageladder::language::verbs;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prelude::proptest;
use proptest::test_runner::RngSeed;
use yare::parameterized;

fn script(path: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    fs::read_to_string(root.join(path)).expect("the example is readable")
}

fn changes(text: &str) -> Vec<ConfigurationChange> {
    let commands = parse_script(text).expect("the script is valid");
    match commands.as_slice() {
        [OperatorCommand::Change { changes, .. }] => changes.clone(),
        other => panic!("one change expected, not {other:?}"),
    }
}

#[parameterized(
    quill_works = { "quill-works", 20, 3, 5 },
    sargam_seats = { "sargam-seats", 20, 3, 5 },
)]
fn examples_apply_and_render_back(name: &str, engines: usize, plain: usize, workspaces: usize) {
    let text = script(&format!("examples/{name}/configuration.txt"));
    let configuration =
        apply(&Configuration::default(), &changes(&text)).expect("the example applies");
    assert_eq!(configuration.workers.len(), engines + plain);
    assert_eq!(configuration.workspaces.len(), workspaces);
    assert_eq!(configuration.datacenters.len(), 3);
    PlacementRules::try_from(&configuration).expect("the rules compile");
    let rendered = render(&configuration).join("\n");
    let reapplied = apply(&Configuration::default(), &changes(&rendered));
    assert_eq!(reapplied, Ok(configuration));
}

#[test]
fn examples_of_all_verbs_and_kinds_parse() {
    for verb in verbs() {
        parse(verb.example).expect(verb.example);
        let text = describe(Some(verb.name)).expect("each verb has its help");
        assert!(text.contains(verb.example));
    }
    for kind in inventory::iter::<ResourceKind>() {
        parse(kind.example).expect(kind.example);
    }
    let names: Vec<&str> = verbs().iter().map(|verb| verb.name).collect();
    let expected = [
        "drain", "drop", "explain", "help", "set", "settle", "show", "undrain",
    ];
    assert_eq!(names, expected);
}

#[test]
fn commands_in_the_language_documentation_parse() {
    let page = script("docs/LANGUAGE.md");
    let blocks = page.split("```").skip(1).step_by(2);
    let scripts = blocks.filter_map(|block| block.strip_prefix("text\n"));
    let mut lines = 0;
    for script in scripts {
        for line in script.lines().filter(|line| !line.trim().is_empty()) {
            parse_script(line).expect(line);
            lines += 1;
        }
    }
    assert!(lines > 20);
}

#[test]
fn queries_round_trip_through_text() {
    let line = r#"show waiting where tier = "urgent" and waited-ms > "2s" limit 20"#;
    let OperatorCommand::Show(query) = parse(line).expect("the line is valid") else {
        panic!("a query is expected");
    };
    assert_eq!(query.to_string(), line);
}

#[test]
fn idempotency_keys_may_contain_special_characters() {
    let line = r#"settle key reps "a \"b\" \\ # 会" not-run"#;
    let expected = OperatorCommand::SettleKey {
        workspace: "reps".try_into().expect("the name is valid"),
        key: "a \"b\" \\ # 会".to_owned(),
        outcome: KeyOutcome::NotRun,
    };
    assert_eq!(parse(line), Ok(expected));
}

#[test]
fn changes_of_a_script_are_merged() {
    let text = "show tiers\n\n# two\ndrain worker a if version 41\nundrain worker b\n";
    let commands = parse_script(text).expect("the script is valid");
    assert_eq!(commands.len(), 2);
    let OperatorCommand::Change { changes, expected } = &commands[1] else {
        panic!("a change is expected");
    };
    assert_eq!(changes.len(), 2);
    assert_eq!(*expected, Some(ConfigVersion(41)));
}

#[test]
fn version_guards_of_a_script_must_agree() {
    let text = "drain worker a if version 41\ndrain worker b if version 42\n";
    let error = parse_script(text).expect_err("the guards differ");
    assert_eq!(error.position.line, 2);
}

#[parameterized(
    verb = { "shw waiting", 1, "shw", "\"show\"" },
    table = { "show witing", 6, "witing", "\"waiting\"" },
    column = { "show tiers where colour = red", 18, "colour", "\"tier\"" },
    comparison = { "show tiers where tier urgent", 23, "urgent", "=" },
    no_value = { "show tiers where tier =", 24, "", "a value" },
    limit = { "show tiers limit 0", 18, "0", "1 to 10000" },
    since = { "show tiers since 10m", 12, "since", "no times" },
    duration = { "show refused since 10x", 20, "10x", "30s" },
    too_long = { "show refused since 9d", 20, "9d", "at most a week" },
    twice = { "show tiers limit 1 limit 2", 20, "limit", "only once" },
    exclusive = { "set tier a preemptible not-preemptible", 24, "not-preemptible", "only once" },
    nothing = { "set tier urgent", 16, "", "\"deadline\"" },
    kind = { "set teir urgent", 5, "teir", "\"tier\"" },
    name = { "drain worker a,b", 14, "a,b", "','" },
    address = { "set worker a address here", 22, "here", "10.0.0.7:7001" },
    field = { "set rule a tier b when mood = bad", 24, "mood", "workspace" },
    urgency = { "set rule a tier b when header.priority = 1", 24, "header.priority", "states" },
    order = { "set rule a tier b when path < x", 29, "<", "compared" },
    number = { "set rule a tier b when hour = 24", 31, "24", "at most 23" },
    quote = { "settle key reps \"abc run", 17, "\"abc", "ends with \"" },
    sign = { "show tiers where tier ! a", 23, "!", "=, !=" },
    request = { "explain request 42", 17, "42", "9f2c41d0a3b5e671-42" },
    outcome = { "settle key reps abc maybe", 21, "maybe", "\"not-run\"" },
    rest = { "drain worker a now", 16, "now", "end of the line" },
    version = { "drain worker a if version x", 27, "x", "number of a version" },
    wide = { "drain worker 会 会", 14, "会", "'会'" },
    empty = { "   # only a comment", 1, "", "\"show\"" },
)]
fn errors_point_at_the_word(line: &str, column: usize, word: &str, expected: &str) {
    let error = parse(line).expect_err("the line is invalid");
    assert_eq!((error.position.column, error.word.as_str()), (column, word));
    assert!(error.expected.contains(expected), "{error}");
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
        drop(parse_script(&text));
    }

    #[test]
    fn any_words_are_parsed_without_panic(
        words in proptest::collection::vec(
            "show|set|drop|tier|rule|worker|when|where|and|limit|if|version|[=<~!\"#]|[a-z0-9]{1,3}",
            0..12,
        ),
    ) {
        let line = words.join(" ");
        if let Err(error) = parse(&line) {
            assert!(error.position.column <= line.chars().count() + 1, "{line}: {error}");
        }
    }

    #[test]
    fn quoted_keys_are_read_back(key in "[^\\p{Cc}]{1,40}") {
        let line = format!("settle key reps {} run", borageladder::kernel::change::quote(&key));
        let parsed = parse(&line).expect("a quoted key is valid");
        let read = matches!(parsed, OperatorCommand::SettleKey { key: read, .. } if read == key);
        assert!(read);
    }
}
