//! Runs a session of calls and operator commands against real processes and compares the transcript
//! with a snapshot.

mod harness;

use std::fmt::Write;

use harness::Answer;
use harness::Call;
use harness::Deployment;
use harness::DeploymentPlan;

/// Patterns of values that differ between runs, with their placeholders.
const MASKS: [(&str, &str); 6] = [
    (r"[0-9a-f]{16}-\d+", "<request>"),
    (r"127\.0\.0\.1:\d+", "<address>"),
    (r"[0-9a-f]{64}", "<digest>"),
    (r"engine-\d", "<engine>"),
    (r"host-\d", "<host>"),
    (r"finish in \d+ ms", "finish in <time>"),
];

/// Columns whose values differ between runs.
const MASKED_COLUMNS: [&str; 6] = [
    "age-ms",
    "after-ms",
    "waited-ms",
    "budget-ms",
    "host",
    "retry-after-ms",
];

#[derive(Default)]
struct Transcript {
    text: String,
}

impl Transcript {
    fn call(&mut self, title: &str, answer: &Answer) {
        let tier = answer.header("x-borageladder-tier").unwrap_or("none");
        let completeness = if answer.complete { "whole" } else { "cut" };
        writeln!(
            self.text,
            "== {title}\n{} tier={tier} {completeness}\n{}\n",
            answer.status, answer.body
        )
        .expect("a string takes all text");
    }

    fn command(&mut self, command: &str, answer: &serde_json::Value) {
        writeln!(self.text, "== operator: {command}").expect("a string takes all text");
        for result in answer["results"].as_array().into_iter().flatten() {
            let lines = match result.get("table") {
                Some(table) => table_lines(table),
                None => vec![result.to_string()],
            };
            writeln!(self.text, "{}\n", lines.join("\n")).expect("a string takes all text");
        }
    }
}

fn table_lines(table: &serde_json::Value) -> Vec<String> {
    let columns: Vec<&str> = table["columns"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|name| name.as_str())
        .collect();
    let mut rows: Vec<String> = table["rows"]
        .as_array()
        .into_iter()
        .flatten()
        .map(|row| row_line(&columns, row))
        .collect();
    rows.sort();
    let mut lines = vec![columns.join(" | ")];
    lines.append(&mut rows);
    lines
}

fn row_line(columns: &[&str], row: &serde_json::Value) -> String {
    let value_text = |(index, column): (usize, &&str)| {
        if MASKED_COLUMNS.contains(column) {
            "-".to_owned()
        } else {
            row[index].to_string()
        }
    };
    let values: Vec<String> = columns.iter().enumerate().map(value_text).collect();
    values.join(" | ")
}

fn request_id(answer: &Answer) -> String {
    answer
        .header("x-borageladder-request")
        .unwrap_or_default()
        .to_owned()
}

#[test]
fn a_session_reads_as_in_the_golden_file() {
    let plan = DeploymentPlan {
        hosts: vec!["sapporo-a", "asahikawa-a", "kushiro-a"],
        engines: vec![
            ("sapporo-a", vec!["--gap-ms", "1"]),
            ("sapporo-a", vec!["--gap-ms", "2"]),
        ],
        plain: vec!["kushiro-a"],
        ..DeploymentPlan::default()
    };
    let deployment = Deployment::start(&plan);
    let mut transcript = Transcript::default();

    let draft = Call::chat("quill-8b", "draft a letter for the hearing", 4, true);
    let hearing = draft.clone().header("x-kind", "hearing");
    let answer = deployment.call(0, &hearing);
    transcript.call("a letter for a hearing, streamed", &answer);
    let explained_id = request_id(&answer);
    let tag = Call::chat("quill-8b", "tag the clause", 2, false);
    transcript.call("a clause tag", &deployment.call(1, &tag));
    let file = Call::post("/services/casebook/file", "{\"employer\":\"x\"}");
    transcript.call("a filing without its key", &deployment.call(1, &file));
    let file = file.header("idempotency-key", "grievance-17");
    transcript.call("a filing", &deployment.call(2, &file));
    transcript.call("the filing again", &deployment.call(0, &file));
    let scores = Call::chat("quill-8b", &"score ".repeat(4_000), 2, false);
    transcript.call("a long scoring job", &deployment.call(2, &scores));

    let commands = [
        "show tiers",
        "set tier batch deadline 20m",
        "show versions",
        "show changes limit 1",
        "show waiting",
        "show running",
        "show refused",
        "show keys",
        "show rules",
    ];
    for command in commands {
        transcript.command(command, &deployment.command(1, command));
    }
    let explain = format!("explain request {explained_id}");
    transcript.command(&explain, &deployment.command(2, &explain));

    deployment.assert_no_double_dispatch();
    insta::with_settings!({ filters => MASKS.to_vec(), omit_expression => true }, {
        insta::assert_snapshot!(transcript.text);
    });
}
