//! Configuration changes through whole hosts on loopback, with a table in memory.

mod link_support;

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use borageladder::keeper::AuditRecord;
use borageladder::keeper::ChangeError;
use borageladder::keeper::ChangeOutcome;
use borageladder::keeper::ChangeRequest;
use borageladder::keeper::ChangeState;
use borageladder::keeper::Keeper;
use borageladder::keeper::StoreError;
use borageladder::keeper::UnconfirmedMember;
use borageladder::kernel::clock::ClockTime;
use borageladder::kernel::configuration::ConfigVersion;
use borageladder::kernel::configuration::Configuration;
use borageladder::kernel::configuration::DatacenterSpec;
use borageladder::kernel::name::DatacenterName;
use borageladder::kernel::name::HostName;
use borageladder::kernel::name::OperatorName;
use borageladder::kernel::name::RegionName;
use borageladder::kernel::name::ServiceName;
use borageladder::kernel::rollout::FRESHNESS_BOUND;
use borageladder::link::LinkSet;
use borageladder::link::MessageReceiver;
use borageladder::member::ClockSource;
use borageladder::member::MemberService;
use borageladder::member::MemberSettings;
use link_support::MemoryStore;
use link_support::host;
use link_support::log;
use link_support::run;
use link_support::settings;
use link_support::until;

/// The modules of one host that are tested here.
struct TestHost {
    links: Rc<LinkSet>,
    members: Rc<MemberService>,
    keeper: Rc<Keeper>,
    clock: ClockSource,
    /// The time that the host spent frozen.
    frozen: Rc<Cell<Duration>>,
}

#[derive(Default)]
struct Modules {
    members: RefCell<Option<Rc<MemberService>>>,
    keeper: RefCell<Option<Rc<Keeper>>>,
}

fn datacenter(name: &str) -> DatacenterName {
    DatacenterName::try_from(name).expect("a valid name")
}

impl TestHost {
    async fn start(name: &str, place: &str, peers: &[SocketAddr], store: &Rc<MemoryStore>) -> Self {
        let start = Instant::now();
        let frozen = Rc::new(Cell::new(Duration::ZERO));
        let lost = Rc::clone(&frozen);
        let clock: ClockSource = Rc::new(move || ClockTime::ZERO + start.elapsed() + lost.get());
        let modules = Rc::new(Modules::default());
        let targets = Rc::clone(&modules);
        let receive: MessageReceiver = Rc::new(move |from: &HostName, message| {
            let members = targets.members.borrow().clone();
            let keeper = targets.keeper.borrow().clone();
            if let Some((members, keeper)) = members.zip(keeper) {
                members.receive(from, &message);
                keeper.receive(from, &message);
            }
        });
        let links = LinkSet::start(settings(name, rand::random()), &log(), receive).await;
        let links = links.expect("a free port");
        let members = MemberService::start(
            MemberSettings {
                datacenter: datacenter(place),
                remote_links: borageladder::member::REMOTE_LINKS,
                first_peers: peers.to_vec(),
            },
            Rc::clone(&links),
            Rc::clone(&clock),
        );
        let keeper = Keeper::start(
            datacenter(place),
            Rc::clone(&links),
            Rc::clone(&members),
            Rc::clone(store) as _,
            Rc::clone(&clock),
            &log(),
        );
        *modules.members.borrow_mut() = Some(Rc::clone(&members));
        *modules.keeper.borrow_mut() = Some(Rc::clone(&keeper));
        Self {
            links,
            members,
            keeper,
            clock,
            frozen,
        }
    }

    fn address(&self) -> SocketAddr {
        self.links.own_address()
    }

    fn takes_work(&self) -> bool {
        self.keeper.may_take_work((self.clock)())
    }

    fn version(&self) -> u64 {
        self.keeper.configuration().version.0
    }

    async fn change(
        &self,
        request: ChangeRequest,
        places: &[(&str, bool)],
    ) -> Result<ChangeOutcome, ChangeError> {
        let places = places.to_vec();
        let change = self
            .keeper
            .change(request, move |before| Ok(with_places(before, &places)));
        change.await
    }
}

fn with_places(before: &Configuration, places: &[(&str, bool)]) -> Configuration {
    let mut after = before.clone();
    for (name, gone) in places {
        let spec = DatacenterSpec {
            region: RegionName::try_from("r").expect("a valid name"),
            gone: *gone,
        };
        after.datacenters.insert(datacenter(name), spec);
    }
    after
}

fn request(text: &str, expected: Option<u64>) -> ChangeRequest {
    ChangeRequest {
        operator: OperatorName::try_from("ann").expect("a valid name"),
        text: text.to_owned(),
        expected: expected.map(ConfigVersion),
    }
}

#[test]
fn a_single_host_makes_the_first_change_and_survives_the_platform() {
    run(async {
        let store = Rc::new(MemoryStore::default());
        let a = TestHost::start("a", "d1", &[], &store).await;
        assert!(!a.takes_work());
        until(|| a.takes_work()).await;
        let outcome = a.change(request("first", None), &[("d1", false)]).await;
        let expected = ChangeOutcome {
            version: ConfigVersion(1),
            before: ConfigVersion(0),
            state: ChangeState::Accepted,
        };
        assert_eq!(outcome, Ok(expected));
        store.faults.down.set(true);
        let failed = a.change(request("second", None), &[]).await;
        assert!(matches!(
            failed,
            Err(ChangeError::Platform(StoreError::Unreachable(_)))
        ));
        let later = (a.clock)() + FRESHNESS_BOUND;
        until(|| (a.clock)() > later && a.takes_work()).await;
        assert_eq!(a.version(), 1);
    });
}

#[test]
fn a_change_is_accepted_once_every_data_centre_has_it() {
    run(async {
        let store = Rc::new(MemoryStore::default());
        let a = TestHost::start("a", "d1", &[], &store).await;
        let b = TestHost::start("b", "d1", &[a.address()], &store).await;
        let c = TestHost::start("c", "d2", &[a.address()], &store).await;
        // The hosts learn of each other though only the first one was named.
        until(|| c.links.is_connected(&host("b"))).await;
        until(|| [&a, &b, &c].iter().all(|host| host.takes_work())).await;
        let places = [("d1", false), ("d2", false)];
        let outcome = b.change(request("first", Some(0)), &places).await;
        let outcome = outcome.expect("the table answers");
        assert_eq!(outcome.state, ChangeState::Accepted);
        assert_eq!([a.version(), b.version(), c.version()], [1, 1, 1]);
        let service = ServiceName::try_from("drafter").expect("a valid name");
        let broker = a.members.broker(&service, &datacenter("d1"));
        assert!(broker.is_some());
        assert_eq!(broker, c.members.broker(&service, &datacenter("d1")));
        assert_eq!(c.members.all_alive(), [host("a"), host("b"), host("c")]);
    });
}

#[test]
fn a_silent_data_centre_keeps_a_change_recorded_until_it_is_declared_gone() {
    run(async {
        let store = Rc::new(MemoryStore::default());
        let a = TestHost::start("a", "d1", &[], &store).await;
        until(|| a.takes_work()).await;
        let places = [("d1", false), ("d2", false)];
        let outcome = a.change(request("first", None), &places).await;
        let lacking = vec![UnconfirmedMember::Datacenter(datacenter("d2"))];
        let outcome = outcome.expect("the table answers");
        assert_eq!(outcome.state, ChangeState::Recorded { lacking });
        assert_eq!(a.version(), 1);
        let outcome = a.change(request("gone", None), &[("d2", true)]).await;
        let outcome = outcome.expect("the table answers");
        assert_eq!(outcome.state, ChangeState::Accepted);
    });
}

#[test]
fn one_of_two_racing_operators_wins() {
    run(async {
        let store = Rc::new(MemoryStore::default());
        let a = TestHost::start("a", "d1", &[], &store).await;
        let b = TestHost::start("b", "d1", &[a.address()], &store).await;
        until(|| a.takes_work() && b.takes_work()).await;
        let (left, right) = futures_util::future::join(
            a.change(request("left", Some(0)), &[("d1", false)]),
            b.change(request("right", Some(0)), &[("d1", false)]),
        )
        .await;
        let conflict = |text: &str| ChangeError::Conflict {
            newest: ConfigVersion(1),
            text: text.to_owned(),
        };
        match (&left, &right) {
            (Ok(_), Err(error)) => assert_eq!(*error, conflict("right")),
            (Err(error), Ok(_)) => assert_eq!(*error, conflict("left")),
            _ => panic!("{left:?} {right:?}"),
        }
        let records = a.keeper.changes(10).await.expect("the table answers");
        let texts: Vec<&str> = records.iter().map(|record| record.text.as_str()).collect();
        assert_eq!(texts, [if left.is_ok() { "left" } else { "right" }]);
    });
}

#[yare::parameterized(
    one_reply_lost = { 1, 0 },
    two_writes_lost = { 0, 2 },
    both = { 1, 1 },
)]
fn a_lost_answer_is_settled(lost_replies: u32, lost_writes: u32) {
    run(async move {
        let store = Rc::new(MemoryStore::default());
        let a = TestHost::start("a", "d1", &[], &store).await;
        until(|| a.takes_work()).await;
        store.faults.lost_replies.set(lost_replies);
        store.faults.lost_writes.set(lost_writes);
        let outcome = a.change(request("first", None), &[("d1", false)]).await;
        let outcome = outcome.expect("the answer is found out");
        assert_eq!(outcome.version, ConfigVersion(1));
        assert_eq!(store.writes.get(), 1);
        let records: Vec<AuditRecord> = a.keeper.changes(10).await.expect("the table answers");
        assert_eq!(records.len(), 1);
        assert_eq!(records[0].operator.as_str(), "ann");
    });
}

#[test]
fn a_host_that_starts_without_the_platform_is_served_by_a_member() {
    run(async {
        let store = Rc::new(MemoryStore::default());
        let a = TestHost::start("a", "d1", &[], &store).await;
        until(|| a.takes_work()).await;
        let outcome = a.change(request("first", None), &[("d1", false)]).await;
        assert_eq!(
            outcome.expect("the table answers").state,
            ChangeState::Accepted
        );
        store.faults.down.set(true);
        let b = TestHost::start("b", "d1", &[a.address()], &store).await;
        assert!(!b.takes_work());
        until(|| b.takes_work()).await;
        assert_eq!(b.version(), 1);
        let c = TestHost::start("c", "d2", &[], &store).await;
        until(|| (c.clock)() > ClockTime::from_millis(500)).await;
        assert!(!c.takes_work());
    });
}

#[test]
fn a_host_that_was_frozen_asks_before_it_takes_work() {
    run(async {
        let store = Rc::new(MemoryStore::default());
        let a = TestHost::start("a", "d1", &[], &store).await;
        let b = TestHost::start("b", "d1", &[a.address()], &store).await;
        until(|| a.takes_work() && b.takes_work()).await;
        store.faults.down.set(true);
        b.frozen.set(FRESHNESS_BOUND);
        // Nothing ran in between, as after a freeze.
        assert!(!b.takes_work());
        until(|| b.takes_work()).await;
    });
}

#[test]
fn a_listener_hears_of_a_version_before_it_is_announced() {
    run(async {
        let store = Rc::new(MemoryStore::default());
        let a = TestHost::start("a", "d1", &[], &store).await;
        until(|| a.takes_work()).await;
        let applied = Rc::new(Cell::new(0));
        let sink = Rc::clone(&applied);
        a.keeper.on_apply(Rc::new(move |configuration| {
            sink.set(configuration.version.0);
        }));
        let outcome = a.change(request("first", None), &[("d1", false)]).await;
        assert!(outcome.is_ok_and(|outcome| outcome.state == ChangeState::Accepted));
        assert_eq!(applied.get(), 1);
    });
}
