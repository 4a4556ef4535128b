//! Timelines of requests from the logs of several hosts.

use std::fs;
use std::process::Command;

use borageladder::event::LogEvent;
use borageladder::timeline::LogCollection;

/// Returns a log line of a host, `millis` milliseconds after the hour by its own clock.
fn line(host: &str, millis: u32, event: LogEvent, values: &str) -> String {
    let (number, name) = (event.number(), event.name());
    let (seconds, millis) = (millis / 1_000, millis % 1_000);
    format!(
        "{{\"msg\":\"m\",\"level\":\"INFO\",\"ts\":\"2026-12-04T01:00:{seconds:02}.{millis:03}Z\",\
         \"host\":\"{host}\"{values},\"name\":\"{name}\",\"event\":{number}}}\n"
    )
}

fn collect(log: &str) -> LogCollection {
    let mut logs = LogCollection::default();
    logs.read("log", log.as_bytes()).expect("readable text");
    logs
}

#[test]
fn known_state_holds_the_last_entry_on_each_subject() {
    let version = |number: u32| format!(",\"version\":{number}");
    let log = [
        line("h1", 0, LogEvent::ConfigurationApplied, &version(1)),
        line("h1", 10, LogEvent::ConfigurationApplied, &version(2)),
        line("h1", 20, LogEvent::HostStale, ""),
        line("h1", 30, LogEvent::HostReady, ""),
        line("h1", 40, LogEvent::RequestSent, ",\"request\":\"r1\""),
        line("h1", 50, LogEvent::ConfigurationApplied, &version(3)),
        line("h1", 60, LogEvent::RequestAnswered, ",\"request\":\"r1\""),
        line("h1", 70, LogEvent::ConfigurationApplied, &version(4)),
    ];
    let timeline = collect(&log.concat()).render("r1").expect("a timeline");
    let events: Vec<&str> = timeline
        .lines()
        .filter_map(|line| line.split_once(" s  ").map(|(_, event)| event))
        .collect();
    let expected = [
        "configuration-applied version=2",
        "host-ready",
        "request-sent",
        "configuration-applied version=3",
        "request-answered",
    ];
    assert_eq!(events, expected);
}

#[test]
fn state_from_before_a_restart_or_superseded_state_is_omitted() {
    let peer = |name: &str| format!(",\"peer\":\"{name}\"");
    let log = [
        line("h1", 0, LogEvent::MemberLost, &peer("h2")),
        line("h1", 10, LogEvent::HostStarted, ""),
        line("h1", 20, LogEvent::MemberLost, &peer("h3")),
        line("h1", 30, LogEvent::MemberLost, &peer("h4")),
        line("h1", 40, LogEvent::MemberJoined, &peer("h3")),
        line("h1", 50, LogEvent::RequestSent, ",\"request\":\"r1\""),
    ];
    let timeline = collect(&log.concat()).render("r1").expect("a timeline");
    assert!(timeline.contains("member-lost peer=\"h4\""), "{timeline}");
    assert_eq!(timeline.matches("peer").count(), 1, "{timeline}");
}

#[test]
fn clocks_that_differ_by_seconds_do_not_mix_the_lines_of_hosts() {
    let log = [
        line("h1", 5_000, LogEvent::RequestSent, ",\"request\":\"r1\""),
        line("h2", 1_000, LogEvent::RequestSent, ",\"request\":\"r1\""),
        line("h1", 5_200, LogEvent::OutcomeUnknown, ",\"request\":\"r1\""),
        line(
            "h2",
            1_100,
            LogEvent::RequestAnswered,
            ",\"request\":\"r1\"",
        ),
    ];
    let timeline = collect(&log.concat()).render("r1").expect("a timeline");
    let listed: Vec<&str> = timeline
        .lines()
        .filter(|line| line.contains(" s  ") || line.starts_with("on "))
        .map(|line| line.split(", from").next().unwrap_or_default())
        .collect();
    let expected = [
        "on h2",
        "      +0.000 s  request-sent",
        "      +0.100 s  request-answered",
        "on h1",
        "      +0.000 s  request-sent",
        "      +0.200 s  outcome-unknown",
    ];
    assert_eq!(listed, expected);
}

#[test]
fn lines_that_are_not_events_and_prefixes_of_log_tools_are_skipped() {
    let sent = line("h1", 0, LogEvent::RequestSent, ",\"request\":\"r1\"");
    let log = format!("no event\n{{\"event\":9999}}\n\u{fffd}{{\n  12.5000 h1 {sent}");
    let timeline = collect(&log).render("r1").expect("a timeline");
    assert!(timeline.contains("request-sent"), "{timeline}");
    let error = collect(&log).render("r2").expect_err("nobody names it");
    let text = "none of 1 events names request r2; 3 lines are not events";
    assert_eq!(error.to_string(), text);
}

#[test]
fn the_command_reads_the_files_of_several_hosts() {
    let folder = std::env::temp_dir().join(format!("borageladder-timeline-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a writable folder");
    let files = ["h1", "h2"].map(|host| folder.join(host));
    for (file, host) in files.iter().zip(["h1", "h2"]) {
        let sent = line(host, 0, LogEvent::RequestSent, ",\"request\":\"r1\"");
        fs::write(file, sent).expect("a writable file");
    }
    let explain = |request: &str| {
        Command::new(env!("CARGO_BIN_EXE_borageladder"))
            .arg("explain")
            .args(&files)
            .arg(request)
            .output()
            .expect("the command runs")
    };
    let known = explain("r1");
    let unknown = explain("r2");
    fs::remove_dir_all(&folder).expect("the folder is there");
    let text = String::from_utf8_lossy(&known.stdout);
    assert!(known.status.success());
    assert!(text.contains("on h1, from") && text.contains("on h2, from"));
    assert_eq!(unknown.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&unknown.stderr).contains("names request r2"));
}
