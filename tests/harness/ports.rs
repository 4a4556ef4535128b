//! Loopback addresses for the processes that tests start.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::ops::Range;
use std::sync::LazyLock;
use std::sync::Mutex;

/// The first port of the range in which tests listen.
const FIRST_PORT: u16 = 12_000;

/// The number of ports in a block.
const BLOCK_PORTS: u16 = 250;

/// The number of blocks; the last one ends below 32,768, the default start of the ephemeral range.
const BLOCK_COUNT: u16 = 80;

/// Hands out ports from blocks that no other test process uses.
///
/// A listener on the first port of a block reserves the block until the process ends.
#[derive(Debug)]
pub struct PortAllocator {
    next_block: u16,
    reservations: Vec<TcpListener>,
    unused: Range<u16>,
}

impl PortAllocator {
    /// Returns an allocator that tries the blocks in turn, beginning with the given one.
    pub fn new(block: u32) -> Self {
        Self {
            next_block: u16::try_from(block % u32::from(BLOCK_COUNT)).unwrap_or(0),
            reservations: Vec::new(),
            unused: 0..0,
        }
    }

    /// Returns an address on which nothing listens and which was not returned before.
    ///
    /// Panics if other processes have reserved all blocks.
    pub fn next_address(&mut self) -> SocketAddr {
        loop {
            if let Some(address) = self.unused.by_ref().map(loopback).find(is_free) {
                return address;
            }
            self.reserve_block();
        }
    }

    fn reserve_block(&mut self) {
        for _ in 0..BLOCK_COUNT {
            let first = FIRST_PORT + self.next_block * BLOCK_PORTS;
            self.next_block = (self.next_block + 1) % BLOCK_COUNT;
            if let Ok(reservation) = TcpListener::bind(loopback(first)) {
                self.reservations.push(reservation);
                self.unused = first + 1..first + BLOCK_PORTS;
                return;
            }
        }
        panic!("all {BLOCK_COUNT} blocks of test ports are reserved");
    }
}

/// Returns loopback addresses with currently free ports.
///
/// The ports are below the ephemeral range, because an outgoing connection or a listener on port 0
/// could otherwise take a port before the intended process listens on it.
pub fn free_addresses<const N: usize>() -> [SocketAddr; N] {
    static ALLOCATOR: LazyLock<Mutex<PortAllocator>> =
        LazyLock::new(|| Mutex::new(PortAllocator::new(std::process::id())));
    let mut allocator = ALLOCATOR
        .lock()
        .expect("no earlier call ran out of port blocks");
    [(); N].map(|()| allocator.next_address())
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// Returns whether nothing listens on the address.
///
/// The check connects instead of binding the address: a bound socket could be inherited by a
/// process that another thread is starting, which would keep the port in use until it executes its
/// program.
fn is_free(address: &SocketAddr) -> bool {
    TcpStream::connect(address).is_err()
}
