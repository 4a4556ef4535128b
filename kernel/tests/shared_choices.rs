//! Choices that hosts of different builds must make alike: brokers, and the replicas of a stream's
//! record. A change of these values needs a wire revision (`docs/WIRE.md`).

use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::membership::HostClass;
use borageladder_kernel::membership::LivenessSignal;
use borageladder_kernel::membership::Membership;
use borageladder_kernel::name::HostName;
use borageladder_kernel::stream::StreamKey;
use yare::parameterized;

fn host(number: usize) -> HostName {
    let name = format!("edge-sapporo-a-{number}");
    name.parse().expect("a valid name")
}

/// Returns a view with eight hosts, of which every third has a higher class.
fn membership() -> Membership {
    let datacenter = "sapporo-a".parse().expect("a valid name");
    let mut members = Membership::new(host(0), datacenter);
    members.set_host_class(HostClass::from_number(2));
    for number in 1..8_u8 {
        let class = if number.is_multiple_of(3) { 2 } else { 1 };
        let signal = LivenessSignal {
            datacenter: "sapporo-a".parse().expect("a valid name"),
            incarnation: u64::from(number),
            stopping: false,
            host_class: HostClass::from_number(class),
            address: "127.0.0.1:7000".parse().expect("an address"),
            sent: ClockTime::ZERO,
        };
        members.record_heartbeat(ClockTime::ZERO, &host(number.into()), signal);
    }
    members
}

#[parameterized(
    drafter = { "drafter", "edge-sapporo-a-0", "edge-sapporo-a-3" },
    casebook = { "casebook", "edge-sapporo-a-6", "edge-sapporo-a-0" },
    maestro = { "maestro-llm", "edge-sapporo-a-6", "edge-sapporo-a-3" },
)]
fn brokers_are_chosen_as_in_earlier_builds(service: &str, broker: &str, deputy: &str) {
    let service = service.parse().expect("a valid name");
    let datacenter = "sapporo-a".parse().expect("a valid name");
    let members = membership();
    let pair = members.brokers(&service, &datacenter, |_| true);
    let names = [pair.broker, pair.deputy].map(|host| host.map(HostName::as_str));
    assert_eq!(names, [Some(broker), Some(deputy)]);
}

#[parameterized(
    first = { "attempt-1", "edge-sapporo-a-7", "edge-sapporo-a-5" },
    second = { "9c41d07be2a35f68", "edge-sapporo-a-3", "edge-sapporo-a-1" },
)]
fn replicas_of_streams_are_chosen_as_in_earlier_builds(attempt: &str, one: &str, other: &str) {
    let hosts = (0..8).map(host).collect();
    let replicas = StreamKey::of(attempt).replicas(hosts, 2);
    let names: Vec<&str> = replicas.iter().map(HostName::as_str).collect();
    assert_eq!(names, [one, other]);
}
