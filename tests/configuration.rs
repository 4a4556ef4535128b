//! An accepted configuration is in force on every host that takes work, and no host returns to an
//! older version.

mod harness;

use harness::Answer;
use harness::Call;
use harness::Deployment;
use harness::DeploymentPlan;
use harness::wait_until;
use serde_json::Value;
use serde_json::json;

fn plan(hosts: &[&'static str]) -> DeploymentPlan {
    DeploymentPlan {
        hosts: hosts.to_vec(),
        engines: vec![("sapporo-a", Vec::new())],
        plain: Vec::new(),
        ..DeploymentPlan::default()
    }
}

fn change(deployment: &Deployment, host: usize, script: &str) -> Answer {
    Deployment::operator_call(script).send(deployment.hosts[host].operator)
}

fn result(answer: &Answer) -> Value {
    answer.json()["results"][0]["change"].clone()
}

/// Returns a command that places requests with the header `x-kind: probe` in the tier.
fn rule(tier: &str) -> String {
    format!("set rule probe tier {tier} when header.x-kind = probe before drafts")
}

fn tier_of(deployment: &Deployment, host: usize) -> Option<String> {
    let call = Call::chat("quill-8b", "probe", 1, false).header("x-kind", "probe");
    let answer = deployment.call(host, &call);
    answer.header("x-borageladder-tier").map(str::to_owned)
}

fn version(deployment: &Deployment, host: usize) -> u64 {
    let name = format!("host-{}", host + 1);
    let rows = deployment.rows(host, "show versions");
    let row = rows.iter().find(|row| row[0] == name.as_str());
    row.and_then(|row| row[2].as_u64()).unwrap_or_default()
}

fn assert_accepted(deployment: &Deployment, answer: &Answer, hosts: &[usize], tier: &str) {
    let change = result(answer);
    assert_eq!(change["state"], "accepted", "{}", answer.body);
    for host in hosts {
        assert_eq!(tier_of(deployment, *host).as_deref(), Some(tier));
        assert!(version(deployment, *host) >= change["version"].as_u64().unwrap_or(u64::MAX));
    }
}

#[test]
fn one_of_two_racing_operators_wins_and_the_other_gets_a_conflict() {
    let deployment = Deployment::start(&plan(&["sapporo-a", "sapporo-a", "asahikawa-a"]));
    deployment.wait_linked(&[0, 1, 2]);
    for round in 0..4 {
        let newest = version(&deployment, 0);
        let scripts = ["urgent", "batch"].map(|tier| format!("{} if version {newest}", rule(tier)));
        let [first, second] = [0, 2].map(|host| {
            let index = usize::from(host == 2);
            Deployment::operator_call(&scripts[index]).start(deployment.hosts[host].operator)
        });
        let answers = [first.answer(), second.answer()];
        let won: Vec<usize> = (0..2)
            .filter(|index| answers[*index].status == 200)
            .collect();
        assert_eq!(won.len(), 1, "round {round}: {answers:?}");
        let (winner, loser) = (won[0], 1 - won[0]);
        let tier = ["urgent", "batch"][winner];
        assert_accepted(&deployment, &answers[winner], &[0, 1, 2], tier);
        let error = &answers[loser].json()["error"];
        assert_eq!(error["code"], "conflict", "{}", answers[loser].body);
        let message = error["message"].as_str().unwrap_or_default();
        let text = format!("set rule probe tier {}", ["urgent", "batch"][loser]);
        assert!(message.contains(&text), "{message}");
        assert!(message.contains(&(newest + 1).to_string()), "{message}");
    }
}

#[test]
fn a_lost_answer_of_the_table_makes_no_second_version() {
    let deployment = Deployment::start(&plan(&["sapporo-a", "sapporo-a"]));
    deployment.wait_linked(&[0, 1]);
    for (lost, tier) in [(1, "urgent"), (2, "batch")] {
        let before = version(&deployment, 0);
        deployment
            .platform
            .control(&json!({ "lose_replies": lost }));
        let answer = change(&deployment, 1, &rule(tier));
        deployment.platform.control(&json!({ "lose_replies": 0 }));
        assert_accepted(&deployment, &answer, &[0, 1], tier);
        assert_eq!(version(&deployment, 0), before + 1);
        assert_eq!(
            deployment.rows(0, "show changes").len() as u64,
            before + 1,
            "one record for each version"
        );
    }
}

#[test]
fn a_host_frozen_during_a_change_never_serves_the_old_version_after() {
    let deployment = Deployment::start(&plan(&["sapporo-a", "sapporo-a", "asahikawa-a"]));
    deployment.wait_linked(&[0, 1, 2]);
    for (suspended, tier) in [(1, "urgent"), (2, "batch"), (1, "normal")] {
        deployment.signal(suspended, "STOP");
        let answer = change(&deployment, 0, &rule(tier));
        let accepted = result(&answer)["state"] == "accepted";
        let probe = Call::chat("quill-8b", "probe", 1, false).header("x-kind", "probe");
        let pending = deployment.start_call(suspended, &probe);
        deployment.signal(suspended, "CONT");
        let resumed = pending.answer();
        if accepted && resumed.status == 200 {
            assert_eq!(resumed.header("x-borageladder-tier"), Some(tier));
        }
        wait_until("the resumed host has the change", || {
            tier_of(&deployment, suspended).as_deref() == Some(tier)
        });
        deployment.wait_linked(&[0, 1, 2]);
    }
}

#[test]
fn a_host_that_starts_while_the_platform_is_down_gets_the_version_from_a_member() {
    let mut deployment = Deployment::start(&plan(&["sapporo-a", "sapporo-a"]));
    deployment.wait_linked(&[0, 1]);
    let answer = change(&deployment, 0, &rule("urgent"));
    assert_accepted(&deployment, &answer, &[0, 1], "urgent");
    deployment.platform.control(&json!({ "down": true }));
    let late = deployment.add_host("sapporo-a");
    deployment.wait_ready(late);
    assert_eq!(tier_of(&deployment, late).as_deref(), Some("urgent"));
    assert_eq!(version(&deployment, late), version(&deployment, 0));
    let refused = change(&deployment, late, &rule("batch"));
    assert_eq!(
        refused.json()["error"]["code"],
        "unavailable",
        "{}",
        refused.body
    );
    // A host that reaches neither the platform nor another host can't verify its version, so it
    // serves no requests.
    deployment.hosts[0].process = None;
    deployment.hosts[1].process = None;
    deployment.restart_host(late);
    let alone = deployment.call(late, &Call::chat("quill-8b", "probe", 1, false));
    assert_eq!(
        (alone.status, alone.ran().as_str()),
        (503, "no"),
        "{}",
        alone.body
    );
    assert_eq!(alone.code(), "not_ready", "{}", alone.body);
    let entry = deployment.hosts[late].entry;
    assert_eq!(Call::get("/health/ready").send(entry).status, 503);
}

#[test]
fn a_change_stays_recorded_while_a_region_is_cut_off_and_never_reverts() {
    let plan = DeploymentPlan {
        relayed: true,
        engines: vec![("sapporo-a", Vec::new()), ("asahikawa-a", Vec::new())],
        ..plan(&["sapporo-a", "asahikawa-a"])
    };
    let deployment = Deployment::start(&plan);
    deployment.wait_linked(&[0, 1]);
    deployment.interrupt(1);
    deployment.interrupt_links(0);
    let recorded = change(&deployment, 0, &rule("urgent"));
    assert_eq!(result(&recorded)["state"], "recorded", "{}", recorded.body);
    let lacking = result(&recorded)["lacking"].to_string();
    assert!(lacking.contains("asahikawa-a"), "{lacking}");
    assert_eq!(tier_of(&deployment, 0).as_deref(), Some("urgent"));
    // The data centre that is cut off may have callers of its own, so it continues with the old
    // version; that is why the change is only recorded.
    assert_eq!(tier_of(&deployment, 1).as_deref(), Some("normal"));
    deployment.restore(0);
    deployment.restore(1);
    wait_until("the cut off host has the change", || {
        tier_of(&deployment, 1).as_deref() == Some("urgent")
    });
    deployment.wait_linked(&[0, 1]);
    let accepted = change(&deployment, 1, &rule("batch"));
    assert_accepted(&deployment, &accepted, &[0, 1], "batch");
}
