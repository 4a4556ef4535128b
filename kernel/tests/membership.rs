//! Which hosts count as alive, and who is the broker, at exact times.

use std::collections::BTreeMap;
use std::time::Duration;

use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::membership::HEARTBEAT_TIMEOUT;
use borageladder_kernel::membership::HostStrength;
use borageladder_kernel::membership::LifeSign;
use borageladder_kernel::membership::ListedMember;
use borageladder_kernel::membership::MemberChange;
use borageladder_kernel::membership::MemberChange::HostAlive;
use borageladder_kernel::membership::MemberChange::HostLost;
use borageladder_kernel::membership::Membership;
use borageladder_kernel::name::DatacenterName;
use borageladder_kernel::name::HostName;
use borageladder_kernel::name::ServiceName;

const ONE_MILLISECOND: Duration = Duration::from_millis(1);

fn host(name: &str) -> HostName {
    HostName::try_from(name).expect("a valid name")
}

fn place(name: &str) -> DatacenterName {
    DatacenterName::try_from(name).expect("a valid name")
}

fn service(number: u32) -> ServiceName {
    ServiceName::try_from(format!("service-{number}")).expect("a valid name")
}

fn sign(datacenter: &str, incarnation: u64) -> LifeSign {
    LifeSign {
        datacenter: place(datacenter),
        incarnation,
        stopping: false,
        strength: HostStrength::default(),
        address: "127.0.0.1:7000".parse().expect("an address"),
        sent: ClockTime::from_millis(77),
    }
}

fn listed(name: &str, incarnation: u64) -> ListedMember {
    ListedMember {
        host: host(name),
        incarnation,
        stopping: false,
        address: "127.0.0.1:7000".parse().expect("an address"),
    }
}

fn membership() -> Membership {
    Membership::new(host("a"), place("d1"))
}

#[test]
fn a_host_is_dead_exactly_when_its_heartbeat_is_overdue() {
    let mut members = membership();
    let heard = ClockTime::from_millis(1_000);
    let changes = members.heard(heard, &host("b"), sign("d1", 1));
    assert_eq!(changes, [HostAlive(host("b"))]);
    let due = heard + HEARTBEAT_TIMEOUT;
    let before = heard + HEARTBEAT_TIMEOUT.saturating_sub(ONE_MILLISECOND);
    assert_eq!(members.tick(before), []);
    assert_eq!(members.alive(&place("d1")), [host("a"), host("b")]);
    assert_eq!(members.tick(due), [HostLost(host("b"))]);
    assert_eq!(members.alive(&place("d1")), [host("a")]);
}

#[test]
fn a_restart_is_a_loss_and_a_return() {
    let mut members = membership();
    members.heard(ClockTime::ZERO, &host("b"), sign("d1", 1));
    let changes = members.heard(ClockTime::ZERO, &host("b"), sign("d1", 2));
    assert_eq!(changes, [HostLost(host("b")), HostAlive(host("b"))]);
    assert_eq!(members.last_sent(&host("b"), 1), None);
    assert_eq!(
        members.last_sent(&host("b"), 2),
        Some(ClockTime::from_millis(77))
    );
}

#[test]
fn hosts_elsewhere_live_as_long_as_a_live_neighbour_lists_them() {
    let mut members = membership();
    members.heard(ClockTime::ZERO, &host("x"), sign("d2", 1));
    let later = ClockTime::ZERO + Duration::from_secs(1);
    members.heard(later, &host("y"), sign("d2", 1));
    members.listed(later, &host("x"), vec![listed("x", 1), listed("z", 4)]);
    let changes = members.listed(later, &host("y"), vec![listed("z", 4), listed("a", 9)]);
    assert_eq!(changes, []);
    assert_eq!(
        members.alive(&place("d2")),
        [host("x"), host("y"), host("z")]
    );
    let first_dead = members.tick(ClockTime::ZERO + HEARTBEAT_TIMEOUT);
    assert_eq!(first_dead, [HostLost(host("x"))]);
    let all_dead = members.tick(later + HEARTBEAT_TIMEOUT);
    assert_eq!(all_dead, [HostLost(host("y")), HostLost(host("z"))]);
    assert_eq!(members.all_alive(), [host("a")]);
}

#[test]
fn a_list_does_not_revive_a_host_of_the_own_data_centre() {
    let mut members = membership();
    members.heard(ClockTime::ZERO, &host("b"), sign("d1", 1));
    let changes = members.listed(ClockTime::ZERO, &host("b"), vec![listed("c", 1)]);
    assert_eq!(changes, []);
    assert_eq!(members.all_alive(), [host("a"), host("b")]);
}

#[test]
fn stopping_hosts_get_no_broker_role_while_others_live() {
    let mut members = membership();
    let mut stopping = sign("d1", 1);
    stopping.stopping = true;
    members.heard(ClockTime::ZERO, &host("b"), stopping);
    for number in 0..50 {
        assert_eq!(
            members.broker(&service(number), &place("d1")),
            Some(&host("a"))
        );
    }
    members.set_stopping(true);
    let brokers = (0..50).filter_map(|number| members.broker(&service(number), &place("d1")));
    let brokers: Vec<&HostName> = brokers.collect();
    assert_eq!(brokers.len(), 50);
    assert!(brokers.contains(&&host("a")) && brokers.contains(&&host("b")));
}

#[test]
fn of_unlike_hosts_a_strong_one_is_the_broker_and_another_its_deputy() {
    let mut members = membership();
    let (weak, strong) = (HostStrength::of(0.12, 10.0), HostStrength::of(0.5, 200.0));
    members.set_strength(weak);
    for (name, strength) in [("b", weak), ("c", strong), ("d", weak), ("e", strong)] {
        let sign = LifeSign {
            strength,
            ..sign("d1", 1)
        };
        members.heard(ClockTime::ZERO, &host(name), sign);
    }
    let strong = [host("c"), host("e")];
    for number in 0..50 {
        let pair = members.brokers(&service(number), &place("d1"), |_| true);
        let first = pair.first.expect("a broker");
        let deputy = pair.deputy.expect("a deputy");
        assert!(strong.contains(first) && strong.contains(deputy) && first != deputy);
    }
}

#[test]
fn without_the_strong_hosts_a_weak_one_is_the_broker() {
    let mut members = membership();
    let mut strong = sign("d1", 1);
    strong.strength = HostStrength::of(0.5, 200.0);
    members.heard(ClockTime::ZERO, &host("b"), strong.clone());
    assert_eq!(members.broker(&service(1), &place("d1")), Some(&host("b")));
    // One that stops gives its roles up however strong it is.
    strong.stopping = true;
    members.heard(ClockTime::ZERO, &host("b"), strong);
    assert_eq!(members.broker(&service(1), &place("d1")), Some(&host("a")));
}

#[test]
fn every_host_names_the_same_broker_and_a_loss_moves_only_its_cells() {
    let names = ["a", "b", "c", "d"];
    let views: Vec<Membership> = names
        .iter()
        .map(|own| {
            let mut members = Membership::new(host(own), place("d1"));
            for other in names.iter().filter(|other| *other != own) {
                members.heard(ClockTime::ZERO, &host(other), sign("d1", 1));
            }
            members
        })
        .collect();
    let mut smaller = membership();
    smaller.heard(ClockTime::ZERO, &host("b"), sign("d1", 1));
    smaller.heard(ClockTime::ZERO, &host("c"), sign("d1", 1));
    let mut cells: BTreeMap<HostName, u32> = BTreeMap::new();
    for number in 0..200 {
        let broker = views[0].broker(&service(number), &place("d1")).cloned();
        for view in &views {
            assert_eq!(view.broker(&service(number), &place("d1")).cloned(), broker);
        }
        let broker = broker.expect("a live host");
        *cells.entry(broker.clone()).or_default() += 1;
        let after = smaller.broker(&service(number), &place("d1"));
        assert!(broker == host("d") || after == Some(&broker));
    }
    assert_eq!(cells.len(), 4);
    assert!(cells.values().all(|count| *count >= 25), "{cells:?}");
}

#[test]
fn an_empty_data_centre_has_no_broker() {
    let changes: Vec<MemberChange> = membership().tick(ClockTime::ZERO);
    assert_eq!(changes, []);
    assert_eq!(membership().broker(&service(1), &place("d9")), None);
}
