//! Tests of route look-up, weighted backends and validation.

use std::time::Duration;

use borageladder_kernel::attempt::WorkKind;
use borageladder_kernel::name::TierRank;
use borageladder_kernel::route::RouteBackend;
use borageladder_kernel::route::RouteError;
use borageladder_kernel::route::RouteSpec;
use borageladder_kernel::route::RouteTable;
use yare::parameterized;

fn route(prefix: &str, weights: &[(&str, u32)]) -> RouteSpec {
    let backend = |(service, weight): &(&str, u32)| RouteBackend {
        service: service.parse().expect("a valid name"),
        weight: *weight,
    };
    RouteSpec {
        hostname: "letters.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: WorkKind::Safe,
        backends: weights.iter().map(backend).collect(),
        timeout: Duration::from_secs(5),
        target: Duration::from_millis(300),
        event_gap_target: None,
        run_limit: 2,
        tier: TierRank(0),
        open: false,
    }
}

fn table() -> RouteTable {
    let mut routes = RouteTable::default();
    for prefix in ["/", "/a/", "/a/b/"] {
        let inserted = routes.insert(route(prefix, &[("drafter", 1)]));
        assert_eq!(inserted, Ok(()));
    }
    routes
}

#[parameterized(
    root = { "/", Some("/") },
    other = { "/z/1", Some("/") },
    inner = { "/a/1", Some("/a/") },
    longest = { "/a/b/c/d", Some("/a/b/") },
    the_prefix_itself = { "/a/b/", Some("/a/b/") },
    no_slash_at_the_end = { "/a/b", Some("/a/") },
    not_within_a_word = { "/a/bc/1", Some("/a/") },
    no_path = { "", None },
)]
fn the_longest_prefix_matches(path: &str, expected: Option<&str>) {
    let routes = table();
    let found = routes.find("letters.example", path);
    assert_eq!(found.map(|route| route.prefix.as_str()), expected);
}

#[test]
fn another_host_name_has_no_route() {
    assert_eq!(table().find("other.example", "/a/1"), None);
}

#[test]
fn backends_are_selected_by_weight() {
    let route = route("/a/", &[("old", 90), ("none", 0), ("new", 10)]);
    let drawn = (0..1_000).map(|draw| route.select_service(draw).expect("a weight").to_string());
    let drawn: Vec<String> = drawn.collect();
    let count = |name: &str| drawn.iter().filter(|service| *service == name).count();
    assert_eq!((count("old"), count("none"), count("new")), (900, 0, 100));
}

#[parameterized(
    no_slash_before = { "a/", &[("drafter", 1)] },
    no_slash_after = { "/a", &[("drafter", 1)] },
    no_weight = { "/a/", &[("drafter", 0)] },
    no_backend = { "/a/", &[] },
)]
fn invalid_routes_are_rejected(prefix: &str, weights: &[(&str, u32)]) {
    let inserted = RouteTable::default().insert(route(prefix, weights));
    let expected = if prefix == "/a/" {
        RouteError::NoBackend {
            prefix: prefix.to_owned(),
        }
    } else {
        RouteError::Prefix {
            prefix: prefix.to_owned(),
        }
    };
    assert_eq!(inserted, Err(expected));
}

// Guards against requests for a route that can't be served which run at that of a shorter prefix.
#[test]
fn a_route_that_serves_no_request_hides_shorter_prefixes() {
    let mut routes = table();
    routes.insert_unserved("letters.example".to_owned(), "/a/c/".to_owned());
    let found = routes.find("letters.example", "/a/c/1").expect("a route");
    assert_eq!(found.prefix, "/a/c/");
    assert_eq!(found.select_service(7), None);
}
