//! The output of the `help` command.

use std::fmt::Write;

use crate::kernel::rule::matchers;
use crate::language::TableName;
use crate::language::VerbPlugin;
use crate::language::kinds::kinds;
use crate::language::verbs;

/// Describes one verb, or all verbs if none is given; returns `None` for an unknown verb.
///
/// # Examples
///
/// ```
/// use borageladder::language::help::describe;
///
/// let text = describe(Some("drain")).expect("there is such a verb");
/// assert!(text.contains("drain worker NAME"));
/// assert_eq!(describe(Some("fly")), None);
/// ```
#[must_use]
pub fn describe(verb: Option<&str>) -> Option<String> {
    let verbs = verbs();
    let Some(name) = verb else {
        return Some(overview(&verbs));
    };
    let verb = verbs.iter().find(|verb| verb.name == name)?;
    Some(details(verb))
}

fn overview(verbs: &[&VerbPlugin]) -> String {
    let mut text = String::new();
    for verb in verbs {
        line(&mut text, &format!("{:<8} {}", verb.name, verb.description));
    }
    line(&mut text, "");
    line(
        &mut text,
        "\"help VERB\" gives details. Each line holds one command; # starts a comment.",
    );
    line(&mut text, "All changes of a script are applied atomically.");
    text
}

fn details(verb: &VerbPlugin) -> String {
    let mut text = String::new();
    line(&mut text, &format!("{} {}", verb.name, verb.usage));
    line(&mut text, verb.description);
    line(&mut text, &format!("example: {}", verb.example));
    match verb.name {
        "show" => add_tables(&mut text),
        "set" => add_kinds(&mut text),
        _ => {}
    }
    text
}

fn add_tables(text: &mut String) {
    line(text, "tables and their columns:");
    for table in TableName::ALL {
        let columns = table.columns().join(", ");
        line(text, &format!("  {}: {columns}", table.as_str()));
    }
}

fn add_kinds(text: &mut String) {
    line(text, "kinds:");
    for kind in kinds() {
        line(text, &format!("  {} {}", kind.name, kind.usage));
        line(text, &format!("    example: {}", kind.example));
    }
    line(text, "fields of rules:");
    for matcher in matchers() {
        line(
            text,
            &format!("  {}: {}", matcher.field, matcher.description),
        );
    }
}

fn line(text: &mut String, content: &str) {
    // Writing to a `String` never fails.
    let _ = writeln!(text, "{content}");
}
