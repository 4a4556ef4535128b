//! Links between hosts: authentication, queues and reconnection.
//!
//! A link is one WebSocket connection between two hosts. When it is opened, each end proves to the
//! other that it has the shared key. Messages that wait in the send queue share a frame; queues and
//! frames are bounded. A link on which nothing arrives for the silence timeout is closed. The host
//! that dialed a link reopens it, with back-off.

mod accept;
mod connection;
mod dial;
mod error;
mod handshake;
mod knowledge;
mod peers;
mod queue;
mod settings;
mod traffic;
mod tunnel;
mod watched;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;

use slog::Logger;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::event::LogEvent;
use crate::kernel::name::HostName;
use crate::listener::listen;
use crate::log_event;
use crate::wire::LinkMessage;
use crate::wire::MAX_MESSAGE_BYTES;
use handshake::LinkStream;

pub use connection::LinkHandle;
pub use connection::LinkTimes;
pub use connection::MessageReceiver;
pub use connection::run_link;
pub use error::HandshakeError;
pub use error::LinkError;
pub use handshake::AuthenticatedPeer;
pub use handshake::HANDSHAKE_TIMEOUT;
pub use knowledge::PeerKnowledge;
pub use queue::MAX_QUEUED_MESSAGES;
pub use queue::MAX_QUEUED_TEXT_BYTES;
pub use queue::QueueFull;
pub use queue::SendQueue;
pub use settings::LinkSettings;
pub use settings::PING_INTERVAL;
pub use settings::SILENCE_TIMEOUT;
pub use settings::SharedKey;
pub use traffic::LinkActivity;
pub use traffic::MessageCount;
pub use traffic::MessageCounter;
pub use tunnel::TunnelDenial;
pub use tunnel::TunnelError;
pub use tunnel::TunnelListener;
pub use tunnel::TunnelRequest;
pub use watched::ArrivalTime;
pub use watched::WatchedStream;

/// The maximum number of links of one host.
const MAX_LINKS: usize = 1_024;

/// The maximum length of the query or of the rows in a message, in bytes. The rest of
/// [`MAX_MESSAGE_BYTES`] is reserved for the other fields.
const MAX_TEXT_BYTES: usize = MAX_MESSAGE_BYTES - 64;

/// The callback for established links; gets the name of the peer.
pub type ConnectListener = Rc<dyn Fn(&HostName)>;

/// The links of one host, at most one for each peer.
pub struct LinkSet {
    settings: LinkSettings,
    address: SocketAddr,
    log: Logger,
    receiver: MessageReceiver,
    traffic: Rc<MessageCounter>,
    links: RefCell<BTreeMap<HostName, Rc<LinkHandle>>>,
    /// The hosts that were found to know the earliest revision only, by their incarnations.
    earliest_peers: RefCell<BTreeMap<HostName, u64>>,
    dialed: RefCell<BTreeSet<SocketAddr>>,
    connect_listeners: RefCell<Vec<ConnectListener>>,
    tunnel_listener: RefCell<Option<TunnelListener>>,
    loopback_messages: RefCell<VecDeque<LinkMessage>>,
    pending_handshakes: Cell<usize>,
    handshake_ended: Notify,
    /// The time that is added to silence timeouts.
    allowance: Rc<Cell<Duration>>,
    stopped: watch::Sender<bool>,
    this: Weak<Self>,
}

impl fmt::Debug for LinkSet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LinkSet")
            .field("host", &self.settings.host)
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl LinkSet {
    /// Opens the listening socket as soon as its address is free and accepts links until
    /// [`LinkSet::stop`] is called; `receive` is called for each message from another host or from this
    /// one.
    ///
    /// Must be called on a `LocalSet`, as every task of an `actix_rt` system is.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::Listen`] if the address of the listening socket can't be read.
    pub async fn start(
        settings: LinkSettings,
        log: &Logger,
        receive: MessageReceiver,
    ) -> Result<Rc<Self>, LinkError> {
        let listener = listen(settings.listen, log).await;
        let local = listener.local_addr().map_err(LinkError::Listen)?;
        let address = settings.advertise.unwrap_or(local);
        let set = Rc::new_cyclic(|this| Self {
            settings,
            address,
            log: log.clone(),
            receiver: receive,
            traffic: Rc::default(),
            links: RefCell::default(),
            earliest_peers: RefCell::default(),
            dialed: RefCell::default(),
            connect_listeners: RefCell::default(),
            tunnel_listener: RefCell::default(),
            loopback_messages: RefCell::default(),
            pending_handshakes: Cell::new(0),
            handshake_ended: Notify::new(),
            allowance: Rc::default(),
            stopped: watch::Sender::new(false),
            this: Weak::clone(this),
        });
        actix_rt::spawn(Rc::clone(&set).accept_all(listener));
        Ok(set)
    }

    /// Returns the name of this host.
    #[must_use]
    pub fn host(&self) -> &HostName {
        &self.settings.host
    }

    /// Returns the logger of this host.
    pub fn log(&self) -> &Logger {
        &self.log
    }

    /// Returns the random number that this process drew at its start.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.settings.incarnation
    }

    /// Returns the address that other hosts dial to reach this one.
    #[must_use]
    pub fn own_address(&self) -> SocketAddr {
        self.address
    }

    /// Opens a link to the host at an address and reopens it whenever it ends.
    ///
    /// The name of the host becomes known by the handshake.
    ///
    /// Does nothing if the address is already dialed or is that of this host, or after
    /// [`LinkSet::stop`].
    pub fn dial(&self, address: SocketAddr) {
        let own = address == self.address;
        if own || self.is_stopped() || !self.dialed.borrow_mut().insert(address) {
            return;
        }
        if let Some(set) = self.this.upgrade() {
            actix_rt::spawn(dial::maintain_link(set, address));
        }
    }

    /// Stops dialing an address; an established link stays open.
    pub fn stop_dialing(&self, address: SocketAddr) {
        self.dialed.borrow_mut().remove(&address);
    }

    /// Queues a message to a host; a message to this host itself is delivered by a separate task.
    ///
    /// # Errors
    ///
    /// Returns an error if no link to the host is established, its queue is full or the text of the
    /// message is too long.
    pub fn send(&self, to: &HostName, message: LinkMessage) -> Result<(), LinkError> {
        let length = queue::text_bytes(&message);
        if length > MAX_TEXT_BYTES {
            return Err(LinkError::TooLong { length });
        }
        if *to == self.settings.host {
            return self.send_to_self(message);
        }
        let links = self.links.borrow();
        let Some(handle) = links.get(to) else {
            return Err(LinkError::NotConnected(to.clone()));
        };
        self.traffic.record_sent(&message);
        let queued = handle.queue.push(message);
        queued.map_err(|queue::QueueFull| LinkError::QueueFull(to.clone()))
    }

    /// Returns the counts of the messages exchanged with other hosts.
    #[must_use]
    pub fn traffic(&self) -> &MessageCounter {
        &self.traffic
    }

    /// Returns the handshakes and pings since the last call.
    #[must_use]
    pub fn take_activity(&self) -> LinkActivity {
        let links = self.links.borrow();
        let pings: u64 = links.values().map(|link| link.pings.take()).sum();
        let mut activity = self.traffic.take_activity();
        activity.pings += pings;
        activity
    }

    /// Sets the time that is added to the silence timeout of all links while this host runs late.
    pub fn set_allowance(&self, allowance: Duration) {
        self.allowance.set(allowance);
    }

    /// Returns the number of handshakes in progress on accepted connections.
    #[must_use]
    pub fn pending_handshakes(&self) -> usize {
        self.pending_handshakes.get()
    }

    /// Queues a message to every linked host.
    ///
    /// Delivery is best effort: hosts with a full queue are skipped, so the content must reach them
    /// by a later message or in another way.
    pub fn broadcast(&self, message: &LinkMessage) {
        for host in self.connected() {
            let _ = self.send(&host, message.clone());
        }
    }

    /// Registers a callback for links that are established from now on.
    pub fn on_connect(&self, listener: ConnectListener) {
        self.connect_listeners.borrow_mut().push(listener);
    }

    /// Closes all links and the listening socket, and stops dialing.
    pub fn stop(&self) {
        self.stopped.send_replace(true);
        for handle in self.links.borrow().values() {
            handle.close.notify_one();
        }
    }

    fn is_stopped(&self) -> bool {
        *self.stopped.borrow()
    }

    async fn wait_until_stopped(&self) {
        let mut stopped = self.stopped.subscribe();
        // `self` owns the sender, so the channel can't be closed while waiting.
        let _ = stopped.wait_for(|stopped| *stopped).await;
    }

    fn send_to_self(&self, message: LinkMessage) -> Result<(), LinkError> {
        let mut messages = self.loopback_messages.borrow_mut();
        if messages.len() >= MAX_QUEUED_MESSAGES {
            return Err(LinkError::QueueFull(self.settings.host.clone()));
        }
        messages.push_back(message);
        if messages.len() == 1
            && let Some(set) = self.this.upgrade()
        {
            actix_rt::spawn(async move { set.deliver_loopback() });
        }
        Ok(())
    }

    fn deliver_loopback(&self) {
        // Messages that the receiver queues during this delivery go into the next one.
        let messages = self.loopback_messages.take();
        for message in messages {
            (self.receiver)(&self.settings.host, message);
        }
    }

    /// Registers and runs a link after its handshake, until it ends.
    async fn run(&self, stream: LinkStream, peer: AuthenticatedPeer, dialer: HostName) {
        let knowledge = PeerKnowledge::of(&peer, self.is_earliest(&peer));
        let mut handle = LinkHandle::new(peer, dialer, knowledge);
        handle.allowance = Rc::clone(&self.allowance);
        let handle = Rc::new(handle);
        if self.is_stopped() || !self.register(&handle) {
            return;
        }
        let host = handle.peer.host.clone();
        log_event!(self.log, LogEvent::LinkOpened,
            "peer" => host.as_str(),
            "revision" => handle.knowledge.revision().0,
            "stated" => handle.knowledge.is_stated());
        let listeners = self.connect_listeners.borrow().clone();
        for listener in listeners {
            listener(&host);
        }
        let times = LinkTimes {
            ping_interval: self.settings.ping_interval,
            silence_timeout: self.settings.silence_timeout,
        };
        let incarnation = self.settings.incarnation;
        let receiver = self.observed_receiver(&handle);
        let error = run_link(stream, &handle, incarnation, times, &receiver).await;
        self.log_closure(&host, &error);
        let is_break = matches!(error, LinkError::Socket(_));
        if is_break && handle.knowledge.is_refuted_by_break() {
            self.record_earliest(&handle.peer);
        }
        self.unregister(&handle);
    }

    /// Returns a receiver that counts each message before it passes it on, and logs the first one
    /// that was skipped.
    fn observed_receiver(&self, handle: &Rc<LinkHandle>) -> MessageReceiver {
        let traffic = Rc::clone(&self.traffic);
        let receive = Rc::clone(&self.receiver);
        let log = self.log.clone();
        let handle = Rc::clone(handle);
        let is_logged = Cell::new(false);
        Rc::new(move |from, message| {
            if handle.skipped.get() > 0 && !is_logged.replace(true) {
                log_event!(log, LogEvent::MessagesSkipped, "peer" => from.as_str());
            }
            traffic.record_received(&message);
            receive(from, message);
        })
    }

    fn log_closure(&self, host: &HostName, error: &LinkError) {
        let peer = host.as_str();
        let reason = error.to_string();
        match error {
            LinkError::Silent => log_event!(self.log, LogEvent::LinkSilent, "peer" => peer),
            LinkError::Codec(_) => {
                log_event!(self.log, LogEvent::FrameRejected, "peer" => peer, "reason" => reason);
            }
            _ => log_event!(self.log, LogEvent::LinkClosed, "peer" => peer, "reason" => reason),
        }
    }

    /// Logs a failed handshake or a connection attempt that timed out; other connection failures
    /// are not logged.
    fn log_rejection(&self, error: &LinkError) {
        if matches!(error, LinkError::Handshake(_)) {
            log_event!(self.log, LogEvent::LinkRejected, "error" => error.to_string());
        }
    }

    /// Registers a link, and returns whether it is to be used.
    ///
    /// Both ends resolve duplicates alike: of two links to the same process the one whose dialer
    /// has the smaller name is kept, of two with the same dialer the newer one. A link to a new
    /// incarnation of the peer replaces the old link. A link to a further host is refused when
    /// `MAX_LINKS` links are established.
    fn register(&self, handle: &Rc<LinkHandle>) -> bool {
        let mut links = self.links.borrow_mut();
        let host = &handle.peer.host;
        if links.len() >= MAX_LINKS && !links.contains_key(host) {
            return false;
        }
        if let Some(other) = links.get(host) {
            let same_process = other.peer.incarnation == handle.peer.incarnation;
            if same_process && other.dialer < handle.dialer {
                return false;
            }
            other.close.notify_one();
        }
        links.insert(host.clone(), Rc::clone(handle));
        true
    }

    fn unregister(&self, handle: &Rc<LinkHandle>) {
        let mut links = self.links.borrow_mut();
        let host = &handle.peer.host;
        if links.get(host).is_some_and(|link| Rc::ptr_eq(link, handle)) {
            links.remove(host);
        }
    }
}
