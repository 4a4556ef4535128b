//! A broker with a simulated clock, and shorthands for the events that tests send.

use std::time::Duration;

use borageladder_kernel::ask::Ask;
use borageladder_kernel::ask::BrokerAction;
use borageladder_kernel::ask::BrokerEvent;
use borageladder_kernel::ask::CellWorker;
use borageladder_kernel::ask::Grant;
use borageladder_kernel::ask::Refusal;
use borageladder_kernel::ask::WorkProgress;
use borageladder_kernel::ask::WorkReport;
use borageladder_kernel::broker::BrokerSettings;
use borageladder_kernel::broker::CellBroker;
use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::name::HostName;
use borageladder_kernel::name::RequestId;
use borageladder_kernel::name::TierRank;

const MODEL: &str = "drafter-8b";
pub(crate) const GRANT_LIFETIME: Duration = Duration::from_secs(2);

/// A broker and its simulated current time.
pub(crate) struct BrokerHarness {
    pub(crate) broker: CellBroker,
    pub(crate) now: ClockTime,
    pub(crate) sequence: u64,
}

impl BrokerHarness {
    pub(crate) fn new(settings: BrokerSettings, workers: &[(&str, u32)]) -> Self {
        let now = ClockTime::ZERO;
        let broker = CellBroker::new(settings, now).expect("the policy is registered");
        let mut harness = Self {
            broker,
            now,
            sequence: 0,
        };
        assert_eq!(harness.set_workers(workers), []);
        harness
    }

    pub(crate) fn with_workers(workers: &[(&str, u32)]) -> Self {
        Self::new(settings(), workers)
    }

    pub(crate) fn handle(&mut self, event: BrokerEvent) -> Vec<BrokerAction> {
        self.broker.handle(self.now, event)
    }

    pub(crate) fn advance(&mut self, time: Duration) -> Vec<BrokerAction> {
        self.now = self.now + time;
        self.broker.tick(self.now)
    }

    pub(crate) fn set_workers(&mut self, workers: &[(&str, u32)]) -> Vec<BrokerAction> {
        let workers = workers.iter();
        let workers = workers.map(|(worker, max_running)| cell_worker(worker, *max_running));
        let workers = workers.collect();
        self.handle(BrokerEvent::WorkersChanged { workers })
    }

    /// Sets workers with one slot each, given by their names and versions.
    pub(crate) fn set_versions(&mut self, workers: &[(&str, &str)]) -> Vec<BrokerAction> {
        let workers = workers.iter().map(|(worker, version)| CellWorker {
            version: Some(version.parse().expect("a valid name")),
            ..cell_worker(worker, 1)
        });
        let workers = workers.collect();
        self.handle(BrokerEvent::WorkersChanged { workers })
    }

    pub(crate) fn ask(&mut self, tier: u8, budget: Duration) -> Ask {
        self.sequence += 1;
        Ask {
            request: request(self.sequence),
            service: "drafter".parse().expect("a valid name"),
            model: Some(MODEL.parse().expect("a valid name")),
            version: None,
            workspace: "union".parse().expect("a valid name"),
            tier: TierRank(tier),
            budget,
            first_token_target: None,
            token_gap_target: None,
            prompt_tokens: 200,
            max_answer_tokens: 40,
            hinted_tokens: None,
            prefix: Vec::new(),
            suspect: false,
            hedged_worker: None,
        }
    }

    pub(crate) fn send(&mut self, ask: &Ask) -> Vec<BrokerAction> {
        let ask = ask.clone();
        self.handle(BrokerEvent::Asked { host: host(), ask })
    }

    pub(crate) fn submit(&mut self, tier: u8, seconds: u64) -> Vec<BrokerAction> {
        let ask = self.ask(tier, Duration::from_secs(seconds));
        self.send(&ask)
    }

    pub(crate) fn report(&mut self, grant: &Grant, progress: WorkProgress) -> Vec<BrokerAction> {
        let report = WorkReport {
            request: grant.request,
            grant: grant.grant,
            worker: grant.worker.clone(),
            progress,
        };
        self.handle(BrokerEvent::Reported {
            host: host(),
            report,
        })
    }

    pub(crate) fn finish(&mut self, grant: &Grant, gap_millis: u64) -> Vec<BrokerAction> {
        let token_gap = Duration::from_millis(gap_millis);
        self.report(
            grant,
            WorkProgress::Finished {
                answer_tokens: 20,
                token_gap,
            },
        )
    }

    pub(crate) fn running(&self, worker: &str) -> u32 {
        let views = self.broker.workers();
        let mut matching = views.filter(|view| view.worker.as_str() == worker);
        matching.next().map_or(0, |view| view.running)
    }
}

pub(crate) fn settings() -> BrokerSettings {
    BrokerSettings::default()
        .with_incarnation(9)
        .with_grant_lifetime(GRANT_LIFETIME)
        .with_takeover_time(Duration::ZERO)
}

fn cell_worker(worker: &str, max_running: u32) -> CellWorker {
    CellWorker {
        worker: worker.parse().expect("a valid name"),
        models: vec![MODEL.parse().expect("a valid name")],
        version: None,
        max_running,
        location: None,
    }
}

pub(crate) fn host() -> HostName {
    "sapporo-1".parse().expect("a valid name")
}

pub(crate) fn request(sequence: u64) -> RequestId {
    RequestId {
        incarnation: 1,
        sequence,
    }
}

pub(crate) fn grants(actions: &[BrokerAction]) -> Vec<Grant> {
    let grant = |action: &BrokerAction| match action {
        BrokerAction::Grant { grant, .. } => Some(grant.clone()),
        BrokerAction::Refuse { .. } => None,
    };
    actions.iter().filter_map(grant).collect()
}

pub(crate) fn refusals(actions: &[BrokerAction]) -> Vec<Refusal> {
    let refusal = |action: &BrokerAction| match action {
        BrokerAction::Grant { .. } => None,
        BrokerAction::Refuse { refusal, .. } => Some(refusal.clone()),
    };
    actions.iter().filter_map(refusal).collect()
}

pub(crate) fn only_grant(actions: &[BrokerAction]) -> Grant {
    assert_eq!(actions.len(), 1, "{actions:?}");
    grants(actions).remove(0)
}

pub(crate) fn only_refusal(actions: &[BrokerAction]) -> Refusal {
    assert_eq!(actions.len(), 1, "{actions:?}");
    refusals(actions).remove(0)
}
