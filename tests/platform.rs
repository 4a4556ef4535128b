//! The platform client against the stand-in, with the faults that the stand-in can inject.

use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::System;
use awc::Client;
use borageladder::kernel::table::ListedState;
use borageladder::kernel::table::RowCheck;
use borageladder::kernel::table::RowWrite;
use borageladder::kernel::table::TableTransaction;
use borageladder::platform::PlatformClient;
use borageladder::platform::PlatformError;
use borageladder::platform::PlatformTimeouts;
use borageladder::platform::TransactOutcome;
use borageladder_standin::control::FaultCommand;
use borageladder_standin::control::LeavingNotice;
use borageladder_standin::hosts::HostListing;
use borageladder_standin::platform::PlatformService;
use yare::parameterized;

const LOOPBACK: &str = "127.0.0.1:0";

fn start_platform() -> SocketAddr {
    let workers = vec!["engine-1".parse().unwrap(), "engine-2".parse().unwrap()];
    let hosts = HostListing::new(workers, Duration::ZERO);
    PlatformService::start(LOOPBACK.parse().unwrap(), hosts).unwrap()
}

fn client(address: SocketAddr) -> PlatformClient {
    let timeouts = PlatformTimeouts {
        connect: Duration::from_mins(1),
        call: Duration::from_secs(3),
    };
    PlatformClient::new(address, timeouts)
}

async fn control(address: SocketAddr, command: FaultCommand) {
    let request = Client::default().post(format!("http://{address}/control"));
    let response = request.send_json(&command).await.unwrap();
    assert!(response.status().is_success());
}

fn insert(key: &str, value: &str) -> TableTransaction {
    TableTransaction {
        checks: vec![RowCheck {
            key: key.to_owned(),
            revision: None,
        }],
        writes: vec![RowWrite {
            key: key.to_owned(),
            value: value.to_owned(),
        }],
        deletes: Vec::new(),
    }
}

#[test]
fn transactions_are_checked_and_rows_are_read_in_order() {
    System::new().block_on(async {
        let client = client(start_platform());
        let mut inserted = Vec::new();
        for key in ["rows/b", "rows/a c&d", "other"] {
            let outcome = client.transact(&insert(key, "1")).await.unwrap();
            inserted.push(outcome);
        }
        assert!(
            inserted
                .iter()
                .all(|outcome| matches!(outcome, TransactOutcome::Committed { .. }))
        );

        let outcome = client.transact(&insert("rows/b", "2")).await.unwrap();
        let row = client.row("rows/b").await.unwrap();
        let key = "rows/b".to_owned();
        assert_eq!(row.as_ref().unwrap().value, "1");
        assert_eq!(outcome, TransactOutcome::Conflict { key, row });
        assert_eq!(client.row("absent").await, Ok(None));

        let rows = client.rows("rows/", "", 10).await.unwrap();
        let keys: Vec<&str> = rows.iter().map(|row| row.key.as_str()).collect();
        assert_eq!(keys, ["rows/a c&d", "rows/b"]);
        let rest = client.rows("rows/", keys[0], 10).await.unwrap();
        assert_eq!(rest, rows[1..]);
    });
}

#[test]
fn objects_and_hosts_are_read_back() {
    System::new().block_on(async {
        let address = start_platform();
        let client = client(address);
        let bytes = bytes::Bytes::from_static(b"answer\0bytes");
        client.put_object("a/b", bytes.clone()).await.unwrap();
        assert_eq!(client.object("a/b").await, Ok(Some(bytes)));
        assert_eq!(client.object("a/c").await, Ok(None));

        let leaving = LeavingNotice::Workers(vec!["engine-2".parse().unwrap()]);
        let command = FaultCommand {
            leaving: Some(leaving),
            ..FaultCommand::default()
        };
        control(address, command).await;
        let list = client.hosts().await.unwrap();
        let states: Vec<ListedState> = list.hosts.iter().map(|host| host.state).collect();
        assert_eq!(states, [ListedState::Live, ListedState::Leaving]);
    });
}

#[test]
fn a_lost_answer_is_unknown_and_the_write_is_committed() {
    System::new().block_on(async {
        let address = start_platform();
        let client = client(address);
        let command = FaultCommand {
            lose_replies: Some(1),
            ..FaultCommand::default()
        };
        control(address, command).await;
        let outcome = client.transact(&insert("key", "value")).await;
        assert!(
            matches!(outcome, Err(PlatformError::Unknown { .. })),
            "{outcome:?}"
        );
        let row = client.row("key").await.unwrap().unwrap();
        assert_eq!(row.value, "value");
    });
}

#[parameterized(
    down = { FaultCommand { down: Some(true), ..FaultCommand::default() } },
    read_then_reset = { FaultCommand { lose_replies: Some(1), ..FaultCommand::default() } },
    closed_unread = { FaultCommand { close_before_read: Some(1), ..FaultCommand::default() } },
    silent = { FaultCommand { silent: Some(true), ..FaultCommand::default() } },
    slow = { FaultCommand { delay_ms: Some(60_000), ..FaultCommand::default() } },
)]
fn a_fault_on_an_open_connection_is_never_unreachable(command: FaultCommand) {
    System::new().block_on(async {
        let address = start_platform();
        let client = client(address);
        if command.close_before_read.is_none() {
            assert_eq!(client.row("absent").await, Ok(None));
        }
        control(address, command).await;
        let outcome = client.transact(&insert("key", "value")).await;
        assert!(
            matches!(outcome, Err(PlatformError::Unknown { .. })),
            "{outcome:?}"
        );
    });
}

#[test]
fn a_refused_connection_is_unreachable() {
    let listener = std::net::TcpListener::bind(LOOPBACK).unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    System::new().block_on(async {
        let outcome = client(address).transact(&insert("key", "value")).await;
        assert!(matches!(outcome, Err(PlatformError::Unreachable { .. })));
    });
}
