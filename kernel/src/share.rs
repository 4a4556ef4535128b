//! Shared reads of the platform's store: one host, the reader, reads it for many.
//!
//! Hosts poll the reader, which answers a poll only by reads that began after the poll was
//! received. A polling host takes the answer as of the time of its poll, so an answer that was
//! delayed on the network or by a paused host is never taken to be newer than it is. A host whose
//! polls are not answered reads the store itself.
//!
//! With many hosts, those of a data centre poll one of them, the relay, which polls the reader. The
//! relay treats an answer to its own poll like a read of the store: the answer serves all polls
//! that the relay received before it sent that poll.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::ClockTime;
use crate::name::HostName;

/// The interval between two polls by a host other than a relay; an update that is not an answer to
/// a poll triggers the next poll earlier.
pub const STATE_POLL_INTERVAL: Duration = Duration::from_millis(700);

/// The interval between two polls by a relay; an update that is not an answer to a poll triggers
/// the next poll earlier.
pub const RELAY_POLL_INTERVAL: Duration = Duration::from_millis(350);

/// The age of the last answer, counted from when its poll was sent, above which a host that polls
/// the reader reads the store itself. It allows for the loss of one poll or its answer, and the
/// host's own read is still in time for every freshness bound.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The age of the last answer above which a host that polls a relay reads the store itself. It adds
/// the time for the relay's own poll and answer to [`ANSWER_TIMEOUT`].
pub const RELAYED_ANSWER_TIMEOUT: Duration = Duration::from_millis(2_200);

/// The number of live hosts up to which all of them poll the reader directly. With more, a change
/// of the configuration would saturate the link and processor of the reader.
pub const DIRECT_HOSTS: usize = 24;

/// The maximum number of pending polls per host, above which the oldest is dropped. Only slow reads
/// of the store, or slow answers to a relay, lead to more.
const MAX_PENDING_POLLS: usize = 4;

/// The time after its last poll for which a host is sent updates.
const SUBSCRIPTION_TIME: Duration = Duration::from_secs(3);

/// The source from which a host gets the state of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StateSource<'a> {
    /// The host reads the store itself.
    Store,
    /// The host polls the reader.
    Reader(&'a HostName),
    /// The host polls the relay of its data centre.
    Relay(&'a HostName),
}

impl StateSource<'_> {
    /// Returns the age of the last answer above which the host reads the store itself.
    #[must_use]
    pub const fn timeout(&self) -> Duration {
        match self {
            Self::Store | Self::Reader(_) => ANSWER_TIMEOUT,
            Self::Relay(_) => RELAYED_ANSWER_TIMEOUT,
        }
    }
}

/// The hosts from which a host may get the state of the store.
#[derive(Clone, Copy, Debug)]
pub struct SourceView<'a> {
    /// The host itself.
    pub own: &'a HostName,
    /// The number of live hosts in all data centres.
    pub hosts: usize,
    /// The host that reads the store for the other hosts; `None` if there is none.
    pub reader: Option<&'a HostName>,
    /// Whether the reader is in the host's own data centre.
    pub reader_near: bool,
    /// The host of the own data centre that polls the reader for the other hosts there; `None` if
    /// there is none.
    pub relay: Option<&'a HostName>,
}

impl<'a> SourceView<'a> {
    /// Returns the source that the host has to use.
    ///
    /// # Examples
    ///
    /// ```
    /// use borageladder_kernel::name::HostName;
    /// use borageladder_kernel::share::SourceView;
    /// use borageladder_kernel::share::StateSource;
    ///
    /// let [own, reader, relay] = ["kushiro-3", "sapporo-1", "kushiro-1"].map(str::parse::<HostName>);
    /// let (own, reader, relay) = (own?, reader?, relay?);
    /// let view = SourceView {
    ///     own: &own,
    ///     hosts: 66,
    ///     reader: Some(&reader),
    ///     reader_near: false,
    ///     relay: Some(&relay),
    /// };
    /// assert_eq!(view.source(), StateSource::Relay(&relay));
    /// # Ok::<(), borageladder_kernel::name::NameError>(())
    /// ```
    #[must_use]
    pub fn source(&self) -> StateSource<'a> {
        let Some(reader) = self.reader.filter(|reader| *reader != self.own) else {
            return StateSource::Store;
        };
        match self.relay.filter(|relay| *relay != self.own) {
            Some(relay) if self.hosts > DIRECT_HOSTS && !self.reader_near => {
                StateSource::Relay(relay)
            }
            _ => StateSource::Reader(reader),
        }
    }
}

/// A poll that waits for a read which begins after the poll was received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct PendingPoll<Q> {
    poll: Q,
    received: ClockTime,
}

/// The polls that a reader or relay has received, and the hosts to which it sends updates.
///
/// `Q` is the content of a poll, from which its answer is made.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::clock::ClockTime;
/// use borageladder_kernel::share::PollTable;
///
/// let at = ClockTime::from_millis;
/// let mut polls = PollTable::default();
/// polls.record(at(100), "sapporo-2".parse()?, 7);
/// assert_eq!(polls.take_answered_by(at(50)).len(), 0);
/// assert_eq!(polls.take_answered_by(at(150)).len(), 1);
/// # Ok::<(), borageladder_kernel::name::NameError>(())
/// ```
#[derive(Clone, Debug)]
pub struct PollTable<Q> {
    pending: BTreeMap<HostName, VecDeque<PendingPoll<Q>>>,
    /// The time of the last poll of each host.
    subscribers: BTreeMap<HostName, ClockTime>,
}

impl<Q> Default for PollTable<Q> {
    fn default() -> Self {
        Self {
            pending: BTreeMap::new(),
            subscribers: BTreeMap::new(),
        }
    }
}

impl<Q: Copy> PollTable<Q> {
    /// Records a poll. An older poll of the same host stays pending, since an earlier read may
    /// answer it.
    pub fn record(&mut self, now: ClockTime, host: HostName, poll: Q) {
        self.subscribers.insert(host.clone(), now);
        let pending = self.pending.entry(host).or_default();
        pending.push_back(PendingPoll {
            poll,
            received: now,
        });
        if pending.len() > MAX_PENDING_POLLS {
            pending.pop_front();
        }
    }

    /// Removes the polls that a read which began at `begin` answers, and returns the newest one of
    /// each host; its answer also serves the older ones.
    pub fn take_answered_by(&mut self, begin: ClockTime) -> Vec<(HostName, Q)> {
        let mut answered = Vec::new();
        for (host, pending) in &mut self.pending {
            let count = pending
                .iter()
                .take_while(|poll| poll.received <= begin)
                .count();
            if let Some(newest) = pending.drain(..count).next_back() {
                answered.push((host.clone(), newest.poll));
            }
        }
        self.pending.retain(|_, pending| !pending.is_empty());
        answered
    }

    /// Returns the hosts that polled within the subscription time, to which updates are sent.
    pub fn subscribers(&mut self, now: ClockTime) -> impl Iterator<Item = &HostName> {
        self.subscribers
            .retain(|_, polled| now.since(*polled) < SUBSCRIPTION_TIME);
        self.subscribers.keys()
    }
}

/// The unanswered polls that a host has sent, and the time as of which its last answer holds.
#[derive(Clone, Debug, Default)]
pub struct AnswerTracker {
    /// The times at which the unanswered polls were sent, by their numbers.
    sent: BTreeMap<u64, ClockTime>,
    /// The number of the last poll.
    last: u64,
    /// The time at which the last answered poll was sent.
    answered: Option<ClockTime>,
}

/// The maximum number of unanswered polls that are tracked; the oldest are dropped.
const MAX_UNANSWERED_POLLS: usize = 8;

impl AnswerTracker {
    /// Records a poll that is sent now and returns its number.
    pub fn record_poll(&mut self, now: ClockTime) -> u64 {
        self.last += 1;
        self.sent.insert(self.last, now);
        while self.sent.len() > MAX_UNANSWERED_POLLS {
            self.sent.pop_first();
        }
        self.last
    }

    /// Records the answer to a poll and returns the time as of which it holds, which is when the
    /// poll was sent; `None` if the poll is unknown or a newer one was answered before.
    pub fn record_answer(&mut self, number: u64) -> Option<ClockTime> {
        let sent = self.sent.remove(&number)?;
        self.sent.retain(|other, _| *other > number);
        self.answered = self.answered.max(Some(sent));
        Some(sent)
    }

    /// Returns whether the host has to read the store itself, because more than `timeout` has
    /// passed since the last answered poll was sent or none was answered.
    #[must_use]
    pub fn is_overdue(&self, now: ClockTime, timeout: Duration) -> bool {
        self.answered
            .is_none_or(|answered| now.since(answered) > timeout)
    }
}
