//! Links between hosts on loopback, partly through a proxy that closes or stalls connections.

mod link_support;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use borageladder::kernel::configuration::ConfigVersion;
use borageladder::link::LinkError;
use borageladder::link::LinkSet;
use borageladder::link::LinkSettings;
use borageladder::link::MAX_QUEUED_MESSAGES;
use borageladder::link::MessageReceiver;
use borageladder::link::SharedKey;
use borageladder::wire::LinkMessage;
use link_support::FaultyProxy;
use link_support::ProxyMode;
use link_support::host;
use link_support::log;
use link_support::run;
use link_support::settings;
use link_support::until;

/// A host that records the messages that it receives, each with its sender.
struct TestHost {
    links: Rc<LinkSet>,
    received: Rc<RefCell<Vec<(String, LinkMessage)>>>,
}

impl TestHost {
    async fn start(settings: LinkSettings) -> Self {
        let received = Rc::new(RefCell::new(Vec::new()));
        let sink = Rc::clone(&received);
        let receive: MessageReceiver = Rc::new(move |from, message| {
            sink.borrow_mut().push((from.to_string(), message));
        });
        let links = LinkSet::start(settings, &log(), receive).await;
        Self {
            links: links.expect("a free port"),
            received,
        }
    }

    fn is_linked(&self, name: &str) -> bool {
        self.links.is_connected(&host(name))
    }
}

fn message(number: u64) -> LinkMessage {
    LinkMessage::ConfigurationWanted(ConfigVersion(number))
}

#[test]
fn messages_arrive_in_order_both_ways() {
    run(async {
        let a = TestHost::start(settings("a", 1)).await;
        let b = TestHost::start(settings("b", 2)).await;
        a.links.dial(b.links.own_address());
        until(|| a.is_linked("b") && b.is_linked("a")).await;
        for number in 0..3_000 {
            a.links.send(&host("b"), message(number)).expect("queued");
        }
        b.links.send(&host("a"), message(7)).expect("queued");
        until(|| b.received.borrow().len() == 3_000 && a.received.borrow().len() == 1).await;
        let expected = (0..3_000).map(|number| ("a".to_owned(), message(number)));
        assert_eq!(*b.received.borrow(), expected.collect::<Vec<_>>());
        assert_eq!(*a.received.borrow(), [("b".to_owned(), message(7))]);
    });
}

#[test]
fn a_wrong_key_is_refused_by_both_ends() {
    run(async {
        let a = TestHost::start(settings("a", 1)).await;
        let mut other = settings("b", 2);
        other.shared_key = SharedKey::new([8; 32]);
        let b = TestHost::start(other).await;
        let right = TestHost::start(settings("c", 3)).await;
        let proxy = FaultyProxy::start(b.links.own_address()).await;
        a.links.dial(proxy.address);
        a.links.dial(right.links.own_address());
        until(|| proxy.accepted.get() >= 3 && a.is_linked("c")).await;
        assert_eq!(a.links.connected(), [host("c")]);
        assert!(b.links.connected().is_empty());
    });
}

#[test]
fn a_broken_link_is_reopened() {
    run(async {
        let a = TestHost::start(settings("a", 1)).await;
        let b = TestHost::start(settings("b", 2)).await;
        let proxy = FaultyProxy::start(b.links.own_address()).await;
        a.links.dial(proxy.address);
        until(|| a.is_linked("b") && b.is_linked("a")).await;
        proxy.set(ProxyMode::Cut);
        until(|| !a.is_linked("b") && !b.is_linked("a")).await;
        let sent = a.links.send(&host("b"), message(1));
        assert!(matches!(sent, Err(LinkError::NotConnected(_))));
        proxy.set(ProxyMode::Open);
        until(|| a.is_linked("b") && b.is_linked("a")).await;
        a.links.send(&host("b"), message(2)).expect("queued");
        until(|| !b.received.borrow().is_empty()).await;
        assert_eq!(*b.received.borrow(), [("a".to_owned(), message(2))]);
    });
}

#[test]
fn a_silent_link_is_closed_and_a_new_one_works() {
    run(async {
        let mut quick = settings("a", 1);
        quick.ping_interval = Duration::from_millis(50);
        quick.silence_timeout = Duration::from_millis(400);
        let a = TestHost::start(quick).await;
        let mut quick = settings("b", 2);
        quick.ping_interval = Duration::from_millis(50);
        quick.silence_timeout = Duration::from_millis(400);
        let b = TestHost::start(quick).await;
        let proxy = FaultyProxy::start(b.links.own_address()).await;
        a.links.dial(proxy.address);
        until(|| a.is_linked("b") && b.is_linked("a")).await;
        proxy.set(ProxyMode::Silent);
        until(|| !a.is_linked("b") && !b.is_linked("a")).await;
        proxy.set(ProxyMode::Open);
        until(|| a.is_linked("b") && b.is_linked("a")).await;
        assert!(proxy.accepted.get() >= 2);
    });
}

#[test]
fn two_hosts_that_dial_each_other_keep_one_link() {
    run(async {
        let a = TestHost::start(settings("a", 1)).await;
        let b = TestHost::start(settings("b", 2)).await;
        a.links.dial(b.links.own_address());
        b.links.dial(a.links.own_address());
        until(|| a.is_linked("b") && b.is_linked("a")).await;
        until(|| {
            let sent = a.links.send(&host("b"), message(1));
            let back = b.links.send(&host("a"), message(2));
            let arrived = !b.received.borrow().is_empty() && !a.received.borrow().is_empty();
            sent.is_ok() && back.is_ok() && arrived
        })
        .await;
        assert_eq!(a.links.connected(), [host("b")]);
        assert_eq!(b.links.connected(), [host("a")]);
    });
}

#[test]
fn a_restarted_host_replaces_its_old_link() {
    run(async {
        let a = TestHost::start(settings("a", 1)).await;
        let old = TestHost::start(settings("b", 2)).await;
        old.links.dial(a.links.own_address());
        until(|| a.links.peer_incarnation(&host("b")) == Some(2)).await;
        let new = TestHost::start(settings("b", 3)).await;
        new.links.dial(a.links.own_address());
        until(|| a.links.peer_incarnation(&host("b")) == Some(3)).await;
        old.links.stop();
        assert_eq!(a.links.address(&host("b")), Some(new.links.own_address()));
    });
}

#[test]
fn a_message_to_the_own_host_is_delivered_later() {
    run(async {
        let a = TestHost::start(settings("a", 1)).await;
        a.links.send(&host("a"), message(1)).expect("queued");
        a.links.send(&host("a"), message(2)).expect("queued");
        assert!(a.received.borrow().is_empty());
        until(|| a.received.borrow().len() == 2).await;
    });
}

#[test]
fn the_send_queue_is_bounded() {
    run(async {
        let a = TestHost::start(settings("a", 1)).await;
        let b = TestHost::start(settings("b", 2)).await;
        a.links.dial(b.links.own_address());
        until(|| a.is_linked("b") && b.is_linked("a")).await;
        let mut refused = 0;
        for number in 0..=MAX_QUEUED_MESSAGES {
            let number = u64::try_from(number).expect("a small number");
            refused += u32::from(a.links.send(&host("b"), message(number)).is_err());
        }
        assert_eq!(refused, 1);
        let rows = "x".repeat(1 << 20);
        let long = LinkMessage::QueryAnswer { number: 1, rows };
        let sent = a.links.send(&host("b"), long);
        assert!(matches!(sent, Err(LinkError::TooLong { .. })));
    });
}

#[test]
fn the_key_is_not_printed() {
    let text = format!("{:?}", SharedKey::new([0x5a; 32]));
    assert!(!text.contains("90") && !text.contains("5a"), "{text}");
}
