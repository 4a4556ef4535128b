//! A TCP relay between two processes that can interrupt or silence its connections.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

/// The size of the buffer of one direction, in bytes.
const BUFFER_SIZE: usize = 16_384;

#[derive(Debug, Default)]
struct RelayState {
    interrupted: AtomicBool,
    closed: AtomicBool,
    /// The number of accepted connections, which are numbered from 1.
    accepted: AtomicU64,
    /// The number of the last silenced connection; all earlier ones are silenced too.
    last_silenced: AtomicU64,
    sockets: Mutex<Vec<TcpStream>>,
}

/// A TCP relay that closes its connections when it is dropped.
#[derive(Debug)]
pub struct TestRelay {
    address: SocketAddr,
    state: Arc<RelayState>,
}

impl TestRelay {
    /// Starts a relay to the target on a free loopback port.
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let state = Arc::new(RelayState::default());
        let shared = Arc::clone(&state);
        thread::spawn(move || accept(&listener, target, &shared));
        Self { address, state }
    }

    /// Returns the listen address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections and closes new ones at once until [`Self::restore`].
    pub fn interrupt(&self) {
        self.state.interrupted.store(true, Ordering::SeqCst);
        self.state.end_connections();
    }

    /// Relays new connections again.
    pub fn restore(&self) {
        self.state.interrupted.store(false, Ordering::SeqCst);
    }

    /// Discards all further data of the existing connections, which stay open.
    ///
    /// New connections are relayed normally.
    pub fn silence(&self) {
        let accepted = self.state.accepted.load(Ordering::SeqCst);
        self.state.last_silenced.store(accepted, Ordering::SeqCst);
    }
}

impl Drop for TestRelay {
    fn drop(&mut self) {
        self.state.closed.store(true, Ordering::SeqCst);
        self.state.end_connections();
        // Wakes the accepting thread, which may have ended already.
        let _ = TcpStream::connect(self.address);
    }
}

impl RelayState {
    fn end_connections(&self) {
        let mut sockets = self.sockets.lock().unwrap_or_else(PoisonError::into_inner);
        for socket in sockets.drain(..) {
            // The peer may have closed the connection already.
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    fn is_silent(&self, number: u64) -> bool {
        number <= self.last_silenced.load(Ordering::SeqCst)
    }

    fn register(&self, socket: &TcpStream) -> std::io::Result<()> {
        let mut sockets = self.sockets.lock().unwrap_or_else(PoisonError::into_inner);
        sockets.push(socket.try_clone()?);
        Ok(())
    }
}

fn accept(listener: &TcpListener, target: SocketAddr, state: &Arc<RelayState>) {
    for near in listener.incoming().flatten() {
        if state.closed.load(Ordering::SeqCst) {
            return;
        }
        if state.interrupted.load(Ordering::SeqCst) {
            continue;
        }
        let number = state.accepted.fetch_add(1, Ordering::SeqCst) + 1;
        // If the target refuses the connection, dropping `near` closes the caller's side.
        let _ = connect(&near, target, number, state);
    }
}

fn connect(
    near: &TcpStream,
    target: SocketAddr,
    number: u64,
    state: &Arc<RelayState>,
) -> std::io::Result<()> {
    let far = TcpStream::connect(target)?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    state.register(near)?;
    state.register(&far)?;
    if state.interrupted.load(Ordering::SeqCst) {
        state.end_connections();
    }
    let directions = [
        (near.try_clone()?, far.try_clone()?),
        (far, near.try_clone()?),
    ];
    for (from, to) in directions {
        let state = Arc::clone(state);
        thread::spawn(move || copy(from, to, number, &state));
    }
    Ok(())
}

fn copy(mut from: TcpStream, mut to: TcpStream, number: u64, state: &RelayState) {
    let mut buffer = vec![0; BUFFER_SIZE];
    while let Ok(length @ 1..) = from.read(&mut buffer) {
        if !state.is_silent(number) && to.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    if !state.is_silent(number) {
        // The peer may have closed the connection already.
        let _ = to.shutdown(Shutdown::Write);
    }
}
