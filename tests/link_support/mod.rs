//! Settings, a proxy and a store in memory for the tests of links and of configuration changes.
#![allow(dead_code, reason = "each test file uses a part of these")]

pub mod samples;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use borageladder::configuration::CURRENT_KEY;
use borageladder::configuration::ConfigurationStore;
use borageladder::configuration::ConfigurationStoreError;
use borageladder::configuration::StoreRow;
use borageladder::configuration::VersionWrite;
use borageladder::configuration::WriteOutcome;
use borageladder::kernel::name::HostName;
use borageladder::link::LinkSettings;
use borageladder::link::SharedKey;
use futures_util::future::LocalBoxFuture;
use slog::Discard;
use slog::Logger;
use slog::o;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

pub const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The time limit of a test that hangs; no assertion depends on it.
const TEST_TIMEOUT: Duration = Duration::from_mins(1);

pub fn host(name: &str) -> HostName {
    HostName::try_from(name).expect("a valid name")
}

pub fn log() -> Logger {
    Logger::root(Discard, o!())
}

pub fn settings(name: &str, incarnation: u64) -> LinkSettings {
    LinkSettings::new(host(name), incarnation, LOOPBACK, SharedKey::new([7; 32]))
}

/// Runs a test on the same kind of runtime as the daemon, and panics if the test hangs.
pub fn run(test: impl Future<Output = ()>) {
    let system = actix_rt::System::new();
    let outcome = system.block_on(async { tokio::time::timeout(TEST_TIMEOUT, test).await });
    outcome.expect("the test ends");
}

/// Polls a condition until it holds.
pub async fn until(condition: impl Fn() -> bool) {
    while !condition() {
        sleep(Duration::from_millis(5)).await;
    }
}

/// How a proxy treats its connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProxyMode {
    /// Forwards all bytes.
    Open,
    /// Forwards nothing and keeps the connections open; a connection stays stalled after the mode
    /// changes.
    Silent,
    /// Closes all connections, and closes new ones at once.
    Cut,
}

/// A TCP proxy between hosts that can close or stall its connections.
pub struct FaultyProxy {
    pub address: SocketAddr,
    mode: watch::Sender<ProxyMode>,
    pub accepted: Rc<Cell<u32>>,
}

impl FaultyProxy {
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind(LOOPBACK).await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let mode = watch::Sender::new(ProxyMode::Open);
        let accepted = Rc::new(Cell::new(0));
        let seen = Rc::clone(&accepted);
        let modes = mode.subscribe();
        actix_rt::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                if *modes.borrow() == ProxyMode::Cut {
                    continue;
                }
                seen.set(seen.get() + 1);
                actix_rt::spawn(proxy_connection(client, target, modes.clone()));
            }
        });
        Self {
            address,
            mode,
            accepted,
        }
    }

    pub fn set(&self, mode: ProxyMode) {
        self.mode.send_replace(mode);
    }
}

async fn proxy_connection(
    mut client: TcpStream,
    target: SocketAddr,
    mut modes: watch::Receiver<ProxyMode>,
) {
    let Ok(mut server) = TcpStream::connect(target).await else {
        return;
    };
    let mut up = vec![0; 4096];
    let mut down = vec![0; 4096];
    // A stalled connection never recovers, as if a device on the path had lost its state.
    let mut silent = false;
    loop {
        let mode = *modes.borrow_and_update();
        silent |= mode == ProxyMode::Silent;
        if mode == ProxyMode::Cut {
            return;
        }
        if silent {
            if modes.changed().await.is_err() {
                return;
            }
            continue;
        }
        tokio::select! {
            read = client.read(&mut up) => match read {
                Ok(length) if length > 0 => {
                    if server.write_all(&up[..length]).await.is_err() {
                        return;
                    }
                }
                _ => return,
            },
            read = server.read(&mut down) => match read {
                Ok(length) if length > 0 => {
                    if client.write_all(&down[..length]).await.is_err() {
                        return;
                    }
                }
                _ => return,
            },
            changed = modes.changed() => if changed.is_err() {
                return;
            },
        }
    }
}

/// The faults to inject into a store in memory.
#[derive(Debug, Default)]
pub struct StoreFaults {
    /// Whether every read and write fails as unreachable.
    pub down: Cell<bool>,
    /// The number of further writes that take effect but whose answers are lost.
    pub lost_answers: Cell<u32>,
    /// The number of further writes that are lost before they take effect.
    pub lost_writes: Cell<u32>,
}

/// A configuration store in memory.
#[derive(Debug, Default)]
pub struct MemoryStore {
    pub faults: StoreFaults,
    rows: RefCell<BTreeMap<String, StoreRow>>,
    revision: Cell<u64>,
    pub writes: Cell<u32>,
}

impl MemoryStore {
    fn read(&self, key: &str) -> Result<Option<StoreRow>, ConfigurationStoreError> {
        if self.faults.down.get() {
            return Err(ConfigurationStoreError::Unreachable("down".to_owned()));
        }
        Ok(self.rows.borrow().get(key).cloned())
    }

    fn put(&self, key: &str, value: &str) {
        let row = StoreRow {
            value: value.to_owned(),
            revision: self.revision.get(),
        };
        self.rows.borrow_mut().insert(key.to_owned(), row);
    }

    fn transact(&self, write: &VersionWrite) -> Result<WriteOutcome, ConfigurationStoreError> {
        if self.faults.down.get() {
            return Err(ConfigurationStoreError::Unreachable("down".to_owned()));
        }
        let lost = self.faults.lost_writes.get();
        if lost > 0 {
            self.faults.lost_writes.set(lost - 1);
            return Err(ConfigurationStoreError::Unknown("lost".to_owned()));
        }
        let revision = self.read(CURRENT_KEY)?.map(|row| row.revision);
        if revision != write.expected_revision || self.read(&write.audit_key)?.is_some() {
            return Ok(WriteOutcome::Conflict);
        }
        self.writes.set(self.writes.get() + 1);
        self.revision.set(self.revision.get() + 1);
        self.put(CURRENT_KEY, &write.current);
        self.put(&write.audit_key, &write.audit);
        let lost = self.faults.lost_answers.get();
        if lost > 0 {
            self.faults.lost_answers.set(lost - 1);
            return Err(ConfigurationStoreError::Unknown("lost".to_owned()));
        }
        Ok(WriteOutcome::Committed)
    }
}

impl ConfigurationStore for MemoryStore {
    fn row<'a>(
        &'a self,
        key: &'a str,
    ) -> LocalBoxFuture<'a, Result<Option<StoreRow>, ConfigurationStoreError>> {
        Box::pin(async move { self.read(key) })
    }

    fn write<'a>(
        &'a self,
        write: &'a VersionWrite,
    ) -> LocalBoxFuture<'a, Result<WriteOutcome, ConfigurationStoreError>> {
        Box::pin(async move { self.transact(write) })
    }
}
