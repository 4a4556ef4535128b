//! Sample messages with realistic values.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use borageladder::kernel::ask::Ask;
use borageladder::kernel::ask::Grant;
use borageladder::kernel::ask::Refusal;
use borageladder::kernel::ask::RefusalReason;
use borageladder::kernel::ask::RunningWork;
use borageladder::kernel::ask::WorkProgress;
use borageladder::kernel::ask::WorkReport;
use borageladder::kernel::ask::WorkspaceWork;
use borageladder::kernel::clock::ClockTime;
use borageladder::kernel::configuration::ConfigVersion;
use borageladder::kernel::configuration::Configuration;
use borageladder::kernel::configuration::WorkerSpec;
use borageladder::kernel::configuration::WorkerState;
use borageladder::kernel::configuration::WorkspaceSpec;
use borageladder::kernel::delta::ConfigurationDelta;
use borageladder::kernel::membership::HostClass;
use borageladder::kernel::name::BlockDigest;
use borageladder::kernel::name::GrantId;
use borageladder::kernel::name::NameError;
use borageladder::kernel::name::RequestId;
use borageladder::kernel::name::TierRank;
use borageladder::kernel::pace::NamedRate;
use borageladder::kernel::pace::RequestRate;
use borageladder::kernel::poison::CrashReport;
use borageladder::kernel::poison::PartReport;
use borageladder::kernel::prompt::PartDigest;
use borageladder::kernel::pushback::RejectionTolerance;
use borageladder::kernel::quarantine::CrashCount;
use borageladder::kernel::quota::PassedReport;
use borageladder::kernel::quota::ReportBundle;
use borageladder::kernel::release::ReleaseEvidence;
use borageladder::kernel::release::ReleaseOrder;
use borageladder::kernel::release::ReleaseState;
use borageladder::kernel::release::TallyKey;
use borageladder::kernel::release::VersionSide;
use borageladder::kernel::roster::StoreEra;
use borageladder::kernel::roster::StoreRevision;
use borageladder::kernel::stream::StreamKey;
use borageladder::kernel::stream_log::StreamBatch;
use borageladder::wire::CellSummary;
use borageladder::wire::EvidenceReport;
use borageladder::wire::Heartbeat;
use borageladder::wire::LinkIncarnations;
use borageladder::wire::LinkMessage;
use borageladder::wire::MemberEntry;
use borageladder::wire::MemberList;
use borageladder::wire::Referral;
use borageladder::wire::ReleaseUpdate;
use borageladder::wire::StatePoll;
use borageladder::wire::StateUpdate;
use borageladder::wire::UsageReport;
use borageladder::wire::UsageSum;
use borageladder::wire::WorkspaceUsage;

/// The incarnation of the host whose entry reads the requests: the random number that its process
/// drew at its start.
pub const ENTRY: u64 = 0x9f2c_41d0_a3b5_e671;
/// The incarnation of the host whose broker grants the slots.
pub const BROKER: u64 = 0x1b7d_0042_c3d4_0919;
pub const TO_BROKER: LinkIncarnations = LinkIncarnations {
    sender: ENTRY,
    receiver: BROKER,
};
pub const TO_ENTRY: LinkIncarnations = LinkIncarnations {
    sender: BROKER,
    receiver: ENTRY,
};

pub fn name<N: for<'a> TryFrom<&'a str, Error = NameError>>(text: &str) -> N {
    N::try_from(text).expect("a valid name")
}

pub fn request(sequence: u64) -> RequestId {
    RequestId {
        incarnation: ENTRY,
        sequence,
    }
}

pub fn grant_id(sequence: u64) -> GrantId {
    GrantId {
        broker: 0x77aa_0000_1111_2222,
        sequence,
    }
}

/// Returns the ask of a request whose prompt shares its first two cache blocks with other requests
/// and has two blocks of its own.
pub fn ask(sequence: u64) -> Ask {
    let own = sequence.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1 << 63;
    Ask {
        request: request(sequence),
        service: name("drafter"),
        model: Some(name("letter-writer-70b")),
        version: None,
        workspace: name("hokkaido-grievances"),
        tier: TierRank(1),
        budget: Duration::from_millis(19_500),
        first_token_target: None,
        token_gap_target: None,
        prompt_tokens: 3_000,
        max_answer_tokens: 1_200,
        hinted_tokens: None,
        prefix: vec![
            BlockDigest(0xfedc_ba98_7654_3210),
            BlockDigest(0xa5a5_5a5a_0f0f_f0f0),
            BlockDigest(own),
            BlockDigest(!own),
        ],
        suspect: false,
        hedged_worker: None,
    }
}

pub fn grant(sequence: u64) -> Grant {
    Grant {
        grant: grant_id(sequence / 2),
        request: request(sequence),
        worker: name("drafter-worker-17"),
        expires_in: Duration::from_secs(2),
        choice: format!(
            "best of 12 with room: finish in {} ms, {} prompt tokens cached",
            4_000 + sequence % 9_000,
            64 * (sequence % 40)
        ),
    }
}

pub fn report(sequence: u64, progress: WorkProgress) -> LinkMessage {
    LinkMessage::Report {
        service: name("drafter"),
        report: WorkReport {
            request: request(sequence),
            grant: grant_id(sequence / 2),
            worker: name("drafter-worker-17"),
            progress,
        },
    }
}

/// Returns the reports of a request that finishes normally, in their order.
pub fn reports(sequence: u64) -> [LinkMessage; 3] {
    let after = Duration::from_millis(520);
    let finished = WorkProgress::Finished {
        answer_tokens: 900,
        token_gap: Duration::from_millis(27),
    };
    [
        report(sequence, WorkProgress::Dispatched),
        report(sequence, WorkProgress::FirstToken { after }),
        report(sequence, finished),
    ]
}

/// Returns the heartbeat with a number; heartbeats are 500 ms apart.
pub fn heartbeat(number: u64) -> Heartbeat {
    Heartbeat {
        datacenter: name("sapporo-a"),
        incarnation: ENTRY,
        applied: ConfigVersion(6_000_000),
        known: ConfigVersion(6_000_001),
        confirmed: ConfigVersion(6_000_000),
        fresh: true,
        stopping: false,
        host_class: HostClass::from_number(2),
        sent: ClockTime::from_millis(number * 500),
        echo: Some(ClockTime::from_millis(number * 500 + 7_000)),
    }
}

/// Returns a configuration with the given number of workers, and one workspace for every ten
/// workers.
pub fn large_configuration(workers: u32) -> Configuration {
    let mut configuration = Configuration {
        version: ConfigVersion(1),
        ..Configuration::default()
    };
    for number in 0..workers {
        let worker = WorkerSpec {
            service: name("drafter"),
            datacenter: name("sapporo-a"),
            address: "10.20.30.40:8000".parse().expect("an address"),
            max_running: 16,
            version: None,
            state: WorkerState::Active,
        };
        let key = name(&format!("drafter-worker-{number}"));
        configuration.workers.insert(key, worker);
    }
    for number in 0..workers / 10 {
        let workspace = WorkspaceSpec {
            key_digest: "0123456789abcdef".repeat(4),
            max_requests: 100,
        };
        let key = name(&format!("workspace-{number}"));
        configuration.workspaces.insert(key, workspace);
    }
    configuration
}

fn rates_message() -> LinkMessage {
    LinkMessage::Rates {
        service: name("drafter"),
        rates: vec![NamedRate {
            worker: name("engine-1"),
            rate: RequestRate(2_500),
            age: Duration::from_millis(1_250),
        }],
    }
}

fn workspaces_message() -> LinkMessage {
    LinkMessage::Workspaces {
        service: name("drafter"),
        running: vec![WorkspaceWork {
            request: RequestId {
                incarnation: u64::MAX,
                sequence: 17,
            },
            workspace: name("union"),
            tier: TierRank(2),
        }],
    }
}

fn sum_message() -> LinkMessage {
    LinkMessage::UsageSum(UsageSum {
        datacenter: name("kushiro-a"),
        source: u64::MAX,
        hosts: 49,
        uses: vec![WorkspaceUsage {
            workspace: name("union"),
            units: 40_000_001.5,
        }],
    })
}

fn bundle_message() -> LinkMessage {
    let usage = |workspace: &str, units| WorkspaceUsage {
        workspace: name(workspace),
        units,
    };
    let report = |host: &str, uses| PassedReport {
        host: name(host),
        source: u64::MAX,
        age: Duration::from_millis(90_000_250),
        uses,
    };
    LinkMessage::UsageBundle(Arc::new(ReportBundle {
        wants_reports: true,
        reports: vec![
            report(
                "h1",
                vec![usage("union", 40_000_001.0), usage("small", -0.5)],
            ),
            report("h2", vec![usage("small", 7.0)]),
            report("h3", Vec::new()),
        ],
    }))
}

fn stream_messages() -> Vec<LinkMessage> {
    vec![
        LinkMessage::StreamVersion {
            stream: StreamKey::of("attempt-1"),
            version: Some(name("v1.2")),
        },
        LinkMessage::StreamVersion {
            stream: StreamKey(u64::MAX),
            version: None,
        },
        LinkMessage::StreamWanted(StreamKey(0)),
        LinkMessage::StreamRecords(StreamBatch(BTreeMap::from([
            (name("v1"), vec![StreamKey(0), StreamKey(u64::MAX)]),
            (name("v1.2"), vec![StreamKey::of("attempt-1")]),
        ]))),
        LinkMessage::StreamBegun {
            stream: StreamKey(u64::MAX),
            version: name("v1.2"),
        },
        LinkMessage::BegunStreams(StreamBatch(BTreeMap::from([(
            name("v1"),
            vec![StreamKey(0), StreamKey(u64::MAX)],
        )]))),
    ]
}

fn state_update() -> StateUpdate {
    StateUpdate {
        number: None,
        configuration: None,
        workers: Some(Vec::new()),
        roster: 3,
        era: StoreEra(2),
        releases: None,
    }
}

/// Returns messages about releases, with all their fields.
fn release_messages() -> Vec<LinkMessage> {
    let order = ReleaseOrder {
        service: name("drafter"),
        revision: StoreRevision(u64::MAX),
        target: name("v2"),
        duration: Duration::from_secs(12),
    };
    let mut evidence = ReleaseEvidence::new(order.clone());
    let key = TallyKey {
        route: "letters.example/draft/".to_owned(),
        side: VersionSide::Target,
        worker: Some(name("drafter-worker-1")),
    };
    let tally = evidence.tally(key);
    tally.requests = 3;
    tally.record_answer(Duration::from_millis(20));
    tally.record_failure();
    tally.lost = 1;
    let report = EvidenceReport {
        host: name("host-1"),
        incarnation: u64::MAX,
        evidence,
    };
    let state = ReleaseState::begin(order.clone(), Duration::from_secs(100), StoreEra(2));
    let update = StateUpdate {
        releases: Some(vec![ReleaseUpdate {
            order: Some(order),
            state: Some(state),
        }]),
        ..state_update()
    };
    vec![
        LinkMessage::ReleaseEvidence(vec![report]),
        LinkMessage::State(Box::new(update)),
    ]
}

fn crash_messages() -> Vec<LinkMessage> {
    vec![
        LinkMessage::Crash(CrashCount {
            digest: u64::MAX,
            crashes: 2,
            worker: name("engine-1"),
            remaining: Duration::from_mins(10),
        }),
        LinkMessage::CrashedParts(vec![PartReport {
            part: PartDigest(u64::MAX),
            workspaces: vec![None, Some(name("union"))],
            repeated: true,
            crashes: vec![CrashReport {
                worker: name("engine-1"),
                age: Duration::from_millis(90_000_250),
            }],
        }]),
        LinkMessage::SoundParts(vec![PartDigest(0), PartDigest(7)]),
        LinkMessage::SoundAnswer {
            age: Duration::from_millis(1_040),
            parts: vec![PartDigest(1), PartDigest(u64::MAX)],
        },
    ]
}

/// Returns messages in the direction from the entry to the broker, and those that every host sends.
pub fn entry_messages() -> Vec<LinkMessage> {
    let mut messages = vec![
        LinkMessage::Heartbeat(heartbeat(1)),
        LinkMessage::Members(MemberList {
            datacenter: name("sapporo-a"),
            members: vec![MemberEntry {
                host: name("host-1"),
                address: "127.0.0.1:7000".parse().expect("an address"),
                incarnation: 5,
                stopping: true,
                host_class: HostClass::default(),
            }],
        }),
        LinkMessage::Ask(Box::new(ask(70))),
        LinkMessage::Withdraw {
            service: name("drafter"),
            request: RequestId {
                incarnation: 3,
                sequence: u64::MAX,
            },
        },
        LinkMessage::Declare {
            service: name("drafter"),
            running: vec![RunningWork {
                request: request(9),
                grant: grant_id(4),
                worker: name("drafter-worker-1"),
                tier: TierRank(3),
                prompt_tokens: 17,
            }],
        },
        LinkMessage::Summary(CellSummary {
            service: name("drafter"),
            datacenter: name("sapporo-a"),
            free_slots: 3,
            waiting: vec![0, 1, 70_000],
        }),
        LinkMessage::Configuration(Arc::new(Configuration::default())),
        LinkMessage::ConfigurationDeltas(vec![Arc::new(ConfigurationDelta::between(
            &Configuration::default(),
            &large_configuration(2),
        ))]),
        LinkMessage::ConfigurationWanted(ConfigVersion(8)),
        LinkMessage::Usage(UsageReport {
            age: Duration::from_millis(90_000_250),
            uses: vec![
                WorkspaceUsage {
                    workspace: name("union"),
                    units: 40_000_001.0,
                },
                WorkspaceUsage {
                    workspace: name("small"),
                    units: -0.5,
                },
            ],
        }),
        LinkMessage::Ask(Box::new(Ask {
            version: Some(name("v1.2")),
            ..ask(72)
        })),
        LinkMessage::StateWanted(StatePoll {
            number: 7,
            version: 21,
            roster: u64::MAX,
        }),
        LinkMessage::State(Box::new(state_update())),
        LinkMessage::Query {
            number: 1,
            text: "show waiting".to_owned(),
        },
        LinkMessage::QueryAnswer {
            number: 1,
            rows: "[]".to_owned(),
        },
    ];
    messages.extend(crash_messages());
    messages.extend(stream_messages());
    messages.extend([rates_message(), sum_message(), workspaces_message()]);
    messages.extend([classed_members(), bundle_message(), hedge_ask()]);
    messages.extend(release_messages());
    messages.extend(reports(70));
    for progress in [
        WorkProgress::Stopped,
        WorkProgress::Failed,
        WorkProgress::LeavingNamed,
        WorkProgress::Rejected {
            rest: Duration::from_secs(3),
        },
        WorkProgress::ToleranceNamed {
            tolerance: RejectionTolerance(7),
        },
        WorkProgress::Released,
        WorkProgress::RateNamed {
            rate: RequestRate(u32::MAX),
        },
    ] {
        messages.push(report(71, progress));
    }
    messages
}

fn hedge_ask() -> LinkMessage {
    LinkMessage::Ask(Box::new(Ask {
        hedged_worker: Some(name("drafter-worker-1")),
        ..ask(73)
    }))
}

fn classed_members() -> LinkMessage {
    LinkMessage::ClassedMembers(MemberList {
        datacenter: name("sapporo-a"),
        members: vec![MemberEntry {
            host: name("host-2"),
            address: "127.0.0.1:7000".parse().expect("an address"),
            incarnation: u64::MAX,
            stopping: false,
            host_class: HostClass::from_number(2),
        }],
    })
}

/// Returns messages in the direction from the broker to the entry.
pub fn broker_messages() -> Vec<LinkMessage> {
    let reasons = [
        RefusalReason::Capacity,
        RefusalReason::Deadline,
        RefusalReason::Dropped,
        RefusalReason::NoWorker,
        RefusalReason::Platform,
        RefusalReason::Quarantined,
        RefusalReason::Stale,
    ];
    let mut messages = vec![
        LinkMessage::Grant(grant(70)),
        LinkMessage::Refer(Referral {
            request: request(70),
            datacenter: name("kushiro-a"),
            host: name("host-2"),
        }),
    ];
    messages.extend(reasons.map(|reason| {
        LinkMessage::Refuse(Refusal {
            request: request(71),
            reason,
            retry_after: Duration::from_secs(3),
        })
    }));
    messages
}
