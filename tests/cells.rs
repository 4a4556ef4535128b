//! Cells of two data centres over a simulated network whose messages the test delivers explicitly.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use borageladder::cell::CellBrokers;
use borageladder::cell::CellId;
use borageladder::cell::CellNetwork;
use borageladder::cell::CellService;
use borageladder::cell::SlotAnswer;
use borageladder::cell::SlotLease;
use borageladder::cell::SlotWait;
use borageladder::clock::ProcessClock;
use borageladder::kernel::ask::Ask;
use borageladder::kernel::ask::RefusalReason;
use borageladder::kernel::broker::BrokerSettings;
use borageladder::kernel::change;
use borageladder::kernel::configuration::Configuration;
use borageladder::kernel::name::DatacenterName;
use borageladder::kernel::name::HostName;
use borageladder::kernel::name::RequestId;
use borageladder::kernel::name::TierRank;
use borageladder::language;
use borageladder::language::OperatorCommand;
use borageladder::wire::LinkMessage;
use futures_util::FutureExt;

const CONFIGURATION: &str = "\
set datacenter near region north
set datacenter far region south
set tier urgent deadline 30s
set tier batch deadline 60s
set service drafter engine models quill-8b
set worker near-1 service drafter datacenter near address 127.0.0.1:1 max-running 1
set worker far-1 service drafter datacenter far address 127.0.0.1:2 max-running 1
";

/// A message in transit, with its sender and its receiver.
type QueuedMessage = (HostName, HostName, LinkMessage);

#[derive(Clone)]
struct FakeNetwork {
    host: HostName,
    datacenter: DatacenterName,
    configuration: Arc<Configuration>,
    messages: Rc<RefCell<VecDeque<QueuedMessage>>>,
    /// The host that is the broker of the near data centre's cells.
    near_broker: Rc<Cell<&'static str>>,
}

impl CellNetwork for FakeNetwork {
    fn host(&self) -> &HostName {
        &self.host
    }

    fn datacenter(&self) -> &DatacenterName {
        &self.datacenter
    }

    /// Each data centre has one host, which is named after it.
    fn brokers(&self, cell: &CellId) -> CellBrokers {
        let broker = match cell.datacenter.as_str() {
            "near" => self.near_broker.get(),
            other => other,
        };
        CellBrokers {
            broker: broker.parse().ok(),
            deputy: None,
        }
    }

    fn send(&self, host: &HostName, message: LinkMessage) {
        let queued = (self.host.clone(), host.clone(), message);
        self.messages.borrow_mut().push_back(queued);
    }

    fn configuration(&self) -> Arc<Configuration> {
        Arc::clone(&self.configuration)
    }
}

struct TwoDatacenters {
    near: Rc<CellService>,
    far: Rc<CellService>,
    messages: Rc<RefCell<VecDeque<QueuedMessage>>>,
    near_broker: Rc<Cell<&'static str>>,
}

impl TwoDatacenters {
    fn start() -> Self {
        let messages = Rc::default();
        let near_broker = Rc::new(Cell::new("near"));
        let configuration = Arc::new(configuration());
        let start = |name: &str, incarnation| {
            let network = FakeNetwork {
                host: name.parse().expect("a valid name"),
                datacenter: name.parse().expect("a valid name"),
                configuration: Arc::clone(&configuration),
                messages: Rc::clone(&messages),
                near_broker: Rc::clone(&near_broker),
            };
            let settings = BrokerSettings {
                incarnation,
                ..BrokerSettings::default().with_takeover_time(Duration::ZERO)
            };
            let clock = ProcessClock::start();
            Rc::new(CellService::new(Box::new(network), clock, settings))
        };
        Self {
            near: start("near", 1),
            far: start("far", 2),
            messages,
            near_broker,
        }
    }

    /// Delivers messages until none is in transit.
    fn deliver(&self) {
        loop {
            let queued = self.messages.borrow_mut().pop_front();
            let Some((from, to, message)) = queued else {
                return;
            };
            let receiver = if to.as_str() == "near" {
                &self.near
            } else {
                &self.far
            };
            receiver.receive(&from, message);
        }
    }

    /// Runs the timers and exchanges load summaries between the brokers.
    fn exchange(&self) {
        for service in [&self.near, &self.far] {
            service.tick();
        }
        self.deliver();
        for service in [&self.near, &self.far] {
            service.send_summaries();
        }
        self.deliver();
    }
}

fn configuration() -> Configuration {
    let commands = language::parse_script(CONFIGURATION).expect("the script is valid");
    let apply = |configuration: Configuration, command| match command {
        OperatorCommand::Change { changes, .. } => {
            change::apply(&configuration, &changes).expect("the change fits")
        }
        other => panic!("{other:?} is no change"),
    };
    commands.into_iter().fold(Configuration::default(), apply)
}

fn ask(service: &Rc<CellService>, sequence: u64, budget: Duration) -> SlotWait {
    let ask = Ask {
        request: RequestId {
            incarnation: 9,
            sequence,
        },
        service: "drafter".parse().expect("a valid name"),
        model: "quill-8b".parse().ok(),
        version: None,
        workspace: "reps".parse().expect("a valid name"),
        tier: TierRank(0),
        budget,
        first_token_target: None,
        token_gap_target: None,
        prompt_tokens: 64,
        max_answer_tokens: 16,
        hinted_tokens: None,
        prefix: Vec::new(),
        suspect: false,
        hedged_worker: None,
    };
    let deadline = ProcessClock::start().now() + Duration::from_mins(10);
    service.ask(ask, deadline)
}

/// Returns the worker of the granted slot, which is released, or the reason of the refusal; `None`
/// if there is no answer yet.
fn outcome(service: &Rc<CellService>, wait: SlotWait) -> Option<Result<String, RefusalReason>> {
    match wait.now_or_never()?? {
        SlotAnswer::Granted { grant, .. } => {
            let worker = grant.worker.to_string();
            drop(SlotLease::new(Rc::clone(service), grant));
            Some(Ok(worker))
        }
        SlotAnswer::Refused(refusal) => Some(Err(refusal.reason)),
    }
}

// Guards against an ask that waits for its repetition since it was sent before the link to its broker
// was open.
#[test]
fn an_ask_that_was_lost_without_a_link_is_sent_again_once_it_is_open() {
    let cells = TwoDatacenters::start();
    let far: HostName = "far".parse().expect("a valid name");
    cells.near_broker.set("far");
    let first = ask(&cells.near, 1, Duration::from_secs(10));
    cells.messages.borrow_mut().clear();
    cells.near.host_linked(&far);
    cells.deliver();
    let answer = first.now_or_never().flatten();
    assert!(
        matches!(answer, Some(SlotAnswer::Granted { .. })),
        "{answer:?}"
    );
    // One that waits at the broker isn't sent again.
    let second = ask(&cells.near, 2, Duration::from_secs(10));
    cells.deliver();
    cells.near.host_linked(&far);
    let messages = cells.messages.borrow();
    let asks = messages
        .iter()
        .filter(|(_, _, message)| matches!(message, LinkMessage::Ask(_)));
    assert_eq!(asks.count(), 0);
    drop(messages);
    assert!(second.now_or_never().is_none());
}

#[test]
fn a_request_is_granted_in_its_own_data_centre_while_that_has_capacity() {
    let cells = TwoDatacenters::start();
    let first = ask(&cells.near, 1, Duration::from_secs(30));
    cells.exchange();
    assert_eq!(outcome(&cells.near, first), Some(Ok("near-1".to_owned())));
}

#[test]
fn a_request_is_granted_in_another_data_centre_if_the_workers_of_its_own_leave() {
    let cells = TwoDatacenters::start();
    // A request starts the broker of each cell, so that both send load summaries.
    for (sequence, service) in [(1, &cells.near), (2, &cells.far)] {
        let wait = ask(service, sequence, Duration::from_secs(30));
        cells.exchange();
        assert!(matches!(outcome(service, wait), Some(Ok(_))));
        cells.exchange();
    }
    let leaving = ["near-1".parse().expect("a valid name")];
    cells.near.reconfigure(leaving.into_iter().collect());
    cells.exchange();
    let wait = ask(&cells.near, 3, Duration::from_secs(30));
    cells.exchange();
    cells.exchange();
    assert_eq!(outcome(&cells.near, wait), Some(Ok("far-1".to_owned())));
}

#[test]
fn a_request_is_refused_at_once_if_no_data_centre_has_capacity() {
    let cells = TwoDatacenters::start();
    for service in [&cells.near, &cells.far] {
        let wait = ask(service, 1, Duration::from_secs(30));
        cells.exchange();
        drop(wait);
        let names = ["near-1", "far-1"].map(|name| name.parse().expect("a valid name"));
        service.reconfigure(names.into_iter().collect());
    }
    cells.exchange();
    let wait = ask(&cells.near, 2, Duration::from_secs(30));
    cells.exchange();
    assert_eq!(
        outcome(&cells.near, wait),
        Some(Err(RefusalReason::NoWorker))
    );
}

/// Returns the lease of a granted slot.
fn lease(service: &Rc<CellService>, wait: SlotWait) -> SlotLease {
    match wait.now_or_never() {
        Some(Some(SlotAnswer::Granted { grant, .. })) => SlotLease::new(Rc::clone(service), grant),
        other => panic!("{other:?} is no grant"),
    }
}

// Guards against a slot that is never free again, because two grants of one process share an
// identifier.
#[test]
fn a_broker_that_starts_again_in_its_process_issues_new_grant_identifiers() {
    let cells = TwoDatacenters::start();
    let wait = ask(&cells.near, 1, Duration::from_secs(30));
    cells.exchange();
    let first = lease(&cells.near, wait);
    cells.near_broker.set("far");
    cells.exchange();
    assert!(cells.near.own_cells().is_empty(), "the broker has stopped");
    cells.near_broker.set("near");
    cells.exchange();
    let first_grant = first.grant().grant;
    drop(first);
    cells.exchange();
    let wait = ask(&cells.near, 2, Duration::from_secs(30));
    cells.exchange();
    let second = lease(&cells.near, wait);
    assert_ne!(second.grant().grant, first_grant);
}
