//! The scenarios of the search: faults during one or two configuration changes.

use super::ModelEvent;
use super::ModelEvent::Cut;
use super::ModelEvent::CutLink;
use super::ModelEvent::Heal;
use super::ModelEvent::Kill;
use super::ModelEvent::Read;
use super::ModelEvent::ResolveWrite;
use super::ModelEvent::Resume;
use super::ModelEvent::Start;
use super::ModelEvent::Suspend;
use super::ModelEvent::TableDown;
use super::ModelEvent::TableUp;
use super::ModelEvent::Write;
use super::ModelEvent::WriteReplyLost;
use super::Mutation;
use super::Scenario;
use super::TIMES;

fn scenario(events: Vec<ModelEvent>) -> Scenario {
    Scenario {
        hosts: vec![0, 0, 1],
        stopped: Vec::new(),
        cut_links: Vec::new(),
        table_readers: vec![0, 2],
        events,
        horizon: 12,
        times: TIMES,
        mutation: Mutation::None,
    }
}

pub fn racing_operators() -> Scenario {
    scenario(vec![Read(0), Read(1), Write(0), Write(1)])
}

pub fn lost_answer() -> Scenario {
    scenario(vec![
        Read(0),
        WriteReplyLost(0),
        ResolveWrite(0),
        Kill(0),
        Start(0),
    ])
}

pub fn suspended_host() -> Scenario {
    scenario(vec![Read(0), Write(0), Suspend(1), Resume(1)])
}

pub fn suspended_confirmer() -> Scenario {
    let mut scenario = scenario(vec![Read(2), Write(2), Suspend(0), Resume(0)]);
    scenario.table_readers = vec![0, 1, 2];
    scenario
}

pub fn suspended_without_table() -> Scenario {
    let mut scenario = scenario(vec![Read(0), Write(0), TableDown, Suspend(1), Resume(1)]);
    scenario.table_readers = vec![0];
    scenario.horizon = 10;
    scenario
}

pub fn cut_datacenter() -> Scenario {
    scenario(vec![Read(0), Write(0), Cut(1), Heal(1)])
}

pub fn cut_with_operator() -> Scenario {
    let mut scenario = scenario(vec![Read(0), Write(0), Cut(0), Heal(0), Read(2), Write(2)]);
    scenario.horizon = 9;
    scenario
}

pub fn start_without_table() -> Scenario {
    let mut scenario = scenario(vec![Read(0), Write(0), TableDown, Start(1)]);
    scenario.stopped = vec![1];
    scenario
}

pub fn start_beside_suspended() -> Scenario {
    let events = vec![
        Read(0),
        Write(0),
        TableDown,
        Start(1),
        Suspend(3),
        Resume(3),
    ];
    let mut scenario = scenario(events);
    scenario.hosts = vec![0, 0, 1, 0];
    scenario.horizon = 9;
    scenario.stopped = vec![1];
    scenario.cut_links = vec![(0, 1), (1, 2), (2, 3)];
    scenario
}

pub fn half_broken_host() -> Scenario {
    let mut scenario = scenario(vec![Read(0), Write(0), CutLink(0, 1), CutLink(1, 2)]);
    scenario.hosts = vec![0, 0, 1, 0];
    scenario.table_readers = vec![0];
    scenario
}

pub fn split_datacenter() -> Scenario {
    let events = vec![Read(0), Write(0), CutLink(0, 1), CutLink(0, 3)];
    let mut scenario = scenario(events);
    scenario.hosts = vec![0, 0, 1, 0];
    scenario.cut_links = vec![(1, 2), (2, 3)];
    scenario.table_readers = vec![0, 2];
    scenario
}

pub fn accepting_host_killed() -> Scenario {
    scenario(vec![Read(0), Write(0), Kill(0), Start(0), TableDown])
}

pub fn table_outage() -> Scenario {
    scenario(vec![
        Read(1),
        Write(1),
        TableDown,
        TableUp,
        Kill(2),
        Start(2),
    ])
}
