//! Tables and answers for operators: filters, text layout and JSON form.

use borageladder::kernel::change::apply;
use borageladder::kernel::configuration::ConfigVersion;
use borageladder::kernel::configuration::Configuration;
use borageladder::language::OperatorCommand;
use borageladder::language::ResultTable;
use borageladder::language::TableName;
use borageladder::language::answer::ChangeResult;
use borageladder::language::answer::ChangeState;
use borageladder::language::answer::CommandAnswer;
use borageladder::language::answer::CommandError;
use borageladder::language::answer::CommandResult;
use borageladder::language::parse;
use borageladder::language::parse_script;
use borageladder::language::rows::configuration_table;
use serde_json::Value;
use serde_json::json;
use yare::parameterized;

fn refused() -> ResultTable {
    let mut table = ResultTable::new(TableName::Refused);
    let rows = [
        ("a-1", 500, "urgent", Value::Null),
        ("a-2", 1_500, "urgent", json!(2_000)),
        ("a-3", 90_000, "batch", json!(60_000)),
    ];
    for (request, age, tier, retry) in rows {
        let row = [
            json!(request),
            json!(age),
            json!("reps"),
            json!("drafter"),
            json!(tier),
            json!("deadline"),
            retry,
            json!("sapporo-1"),
        ];
        table.rows.push(row.to_vec());
    }
    table
}

#[parameterized(
    all = { "show refused", "a-1 a-2 a-3" },
    text = { "show refused where tier = urgent", "a-1 a-2" },
    differs = { "show refused where tier != urgent", "a-3" },
    prefix = { "show refused where tier ~ bat", "a-3" },
    both = { "show refused where tier = urgent and age-ms > 1000", "a-2" },
    duration = { "show refused where age-ms > 1s", "a-2 a-3" },
    since = { "show refused since 1m", "a-1 a-2" },
    limit = { "show refused limit 1", "a-1" },
    null = { "show refused where retry-after-ms = \"\"", "a-1" },
    not_a_number = { "show refused where age-ms = soon", "" },
)]
fn queries_choose_rows(line: &str, expected: &str) {
    let OperatorCommand::Show(query) = parse(line).expect("the line is valid") else {
        panic!("a query is expected");
    };
    let mut table = refused();
    table.apply(&query);
    let requests: Vec<&str> = table
        .rows
        .iter()
        .filter_map(|row| row[0].as_str())
        .collect();
    assert_eq!(requests.join(" "), expected);
}

#[test]
fn tables_are_aligned_and_safe_to_print() {
    let mut table = ResultTable::new(TableName::Datacenters);
    let escape = json!("kushiro\u{1b}[2J");
    table
        .rows
        .push(vec![json!("sapporo-a"), json!("sapporo"), json!(false)]);
    table
        .rows
        .push(vec![json!("kushiro-a"), escape, json!(true)]);
    table.omitted = 3;
    table.unanswered = vec!["kushiro-1".to_owned(), "kushiro-2".to_owned()];
    let expected = "datacenter  region       gone\n\
                    sapporo-a   sapporo      false\n\
                    kushiro-a   kushiro?[2J  true\n\
                    (3 more rows)\n\
                    (no answer from kushiro-1, kushiro-2)\n";
    assert_eq!(table.to_string(), expected);
}

#[test]
fn configuration_tables_have_a_value_for_each_column() {
    let text = include_str!("../examples/quill-works/configuration.txt");
    let commands = parse_script(text).expect("the example is valid");
    let OperatorCommand::Change { changes, .. } = &commands[0] else {
        panic!("a change is expected");
    };
    let configuration = apply(&Configuration::default(), changes).expect("the example applies");
    let tables = TableName::ALL.iter();
    let tables = tables.filter_map(|name| configuration_table(&configuration, *name));
    let mut count = 0;
    for table in tables {
        assert!(!table.rows.is_empty());
        assert!(
            table
                .rows
                .iter()
                .all(|row| row.len() == table.columns.len())
        );
        count += 1;
    }
    assert_eq!(count, 6);
}

#[test]
fn answers_have_the_documented_json_form() {
    let change = ChangeResult {
        version: ConfigVersion(42),
        before: ConfigVersion(41),
        diff: vec!["+ drain worker drafter-1".to_owned()],
        state: ChangeState::Recorded,
        unconfirmed: vec!["kushiro-a".to_owned()],
    };
    let error = parse("show witing").expect_err("there is no such table");
    let answer = CommandAnswer {
        results: vec![
            CommandResult::Change(change),
            CommandResult::Text("done".to_owned()),
        ],
        error: Some(CommandError::from(error)),
    };
    let value = serde_json::to_value(&answer).expect("an answer is JSON");
    assert_eq!(value["results"][0]["change"]["version"], 42);
    assert_eq!(value["results"][0]["change"]["state"], "recorded");
    assert_eq!(value["results"][1]["text"], "done");
    assert_eq!(value["error"]["code"], "syntax");
    assert_eq!(value["error"]["column"], 6);
    let read: CommandAnswer = serde_json::from_value(value).expect("it is read back");
    assert_eq!(read, answer);
    let expected = "+ drain worker drafter-1\n\
                    version 41 -> 42: recorded; not yet in force at: kushiro-a\n";
    assert_eq!(read.results[0].to_string(), expected);
}
