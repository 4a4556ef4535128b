//! One host reads the platform's store for many.
//!
//! Hosts ask a reader what it knows, and count its answer as of the moment at which they asked: the
//! reader answers a question only by reads that began after the question came. So an answer that was
//! held up on the way, or by a host that froze, is never taken for a newer one than it is. A host
//! whose questions are not answered reads by itself.
//!
//! Where many hosts run, those of a data centre ask one of them, the relay, which asks the reader. An
//! answer to the relay is to it what a read is to the reader: it answers the questions that came
//! before the relay asked.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::ClockTime;
use crate::name::HostName;

/// The time between two questions of one host.
pub const QUESTION_INTERVAL: Duration = Duration::from_millis(700);

/// The time between two questions of a host that passes the answers on.
pub const RELAY_INTERVAL: Duration = Duration::from_millis(350);

/// The time without an answer after which a host reads by itself: one question and its answer are
/// lost, and the next read of the store is still in time for every bound.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The same time where a relay asks first: its own question and the answer come on top.
pub const RELAYED_ANSWER_TIMEOUT: Duration = Duration::from_millis(2_200);

/// The most hosts that all ask the reader itself: more would take all of its link and processor
/// whenever the configuration changes.
pub const DIRECT_HOSTS: usize = 24;

/// The most questions of one host that wait at once; more only if answers are held up.
const OPEN_QUESTIONS: usize = 4;

/// The time for which a host that asked is told of news.
const FOLLOWER_TIME: Duration = Duration::from_secs(3);

/// Where a host hears what the store holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StateSource<'a> {
    /// It reads the store itself.
    Store,
    /// It asks the reader.
    Reader(&'a HostName),
    /// It asks the host of its data centre that asks the reader.
    Relay(&'a HostName),
}

impl StateSource<'_> {
    /// Returns the time without an answer after which the host reads by itself.
    #[must_use]
    pub const fn timeout(&self) -> Duration {
        match self {
            Self::Store | Self::Reader(_) => ANSWER_TIMEOUT,
            Self::Relay(_) => RELAYED_ANSWER_TIMEOUT,
        }
    }
}

/// What a host knows of those that may tell it what the store holds.
#[derive(Clone, Copy, Debug)]
pub struct SourceView<'a> {
    /// The host itself.
    pub own: &'a HostName,
    /// The number of live hosts.
    pub hosts: usize,
    /// The host that reads for all.
    pub reader: Option<&'a HostName>,
    /// Whether the reader stands in the host's own data centre.
    pub reader_near: bool,
    /// The host of the own data centre that asks the reader for the others there.
    pub relay: Option<&'a HostName>,
}

impl<'a> SourceView<'a> {
    /// Returns where the host hears what the store holds.
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

/// A question that waits for reads that begin after it came.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct OpenQuestion<Q> {
    question: Q,
    came: ClockTime,
}

/// The answering side: who asks, and who is to be told of news.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::clock::ClockTime;
/// use borageladder_kernel::share::QuestionTable;
///
/// let at = ClockTime::from_millis;
/// let mut questions = QuestionTable::default();
/// questions.ask(at(100), "sapporo-2".parse()?, 7);
/// assert_eq!(questions.answered_by(at(50)).len(), 0);
/// assert_eq!(questions.answered_by(at(150)).len(), 1);
/// # Ok::<(), borageladder_kernel::name::NameError>(())
/// ```
#[derive(Clone, Debug)]
pub struct QuestionTable<Q> {
    open: BTreeMap<HostName, VecDeque<OpenQuestion<Q>>>,
    followers: BTreeMap<HostName, ClockTime>,
}

impl<Q> Default for QuestionTable<Q> {
    fn default() -> Self {
        Self {
            open: BTreeMap::new(),
            followers: BTreeMap::new(),
        }
    }
}

impl<Q: Copy> QuestionTable<Q> {
    /// Notes a question; an older one of the same host stays open, as it may be answered before.
    pub fn ask(&mut self, now: ClockTime, host: HostName, question: Q) {
        self.followers.insert(host.clone(), now);
        let open = self.open.entry(host).or_default();
        open.push_back(OpenQuestion {
            question,
            came: now,
        });
        if open.len() > OPEN_QUESTIONS {
            open.pop_front();
        }
    }

    /// Takes the questions that reads answer which began at the time: of each host the newest, with
    /// which the older ones are answered too.
    pub fn answered_by(&mut self, begin: ClockTime) -> Vec<(HostName, Q)> {
        let mut answered = Vec::new();
        for (host, open) in &mut self.open {
            let count = open.iter().take_while(|open| open.came <= begin).count();
            if let Some(newest) = open.drain(..count).next_back() {
                answered.push((host.clone(), newest.question));
            }
        }
        self.open.retain(|_, open| !open.is_empty());
        answered
    }

    /// Returns the hosts that asked lately.
    pub fn followers(&mut self, now: ClockTime) -> impl Iterator<Item = &HostName> {
        self.followers
            .retain(|_, asked| now.since(*asked) < FOLLOWER_TIME);
        self.followers.keys()
    }
}

/// The asking side: the questions that are not answered yet.
#[derive(Clone, Debug, Default)]
pub struct AnswerWatch {
    asked: BTreeMap<u64, ClockTime>,
    last: u64,
    answered: Option<ClockTime>,
}

/// The most questions that are remembered.
const MAX_QUESTIONS: usize = 8;

impl AnswerWatch {
    /// Notes a question that is asked now and returns its number.
    pub fn ask(&mut self, now: ClockTime) -> u64 {
        self.last += 1;
        self.asked.insert(self.last, now);
        while self.asked.len() > MAX_QUESTIONS {
            self.asked.pop_first();
        }
        self.last
    }

    /// Returns the moment as of which an answer holds; `None` if the question is not known.
    pub fn answered(&mut self, number: u64) -> Option<ClockTime> {
        let asked = self.asked.remove(&number)?;
        self.asked.retain(|other, _| *other > number);
        self.answered = self.answered.max(Some(asked));
        Some(asked)
    }

    /// Returns whether the host has to read by itself, after a time without an answer.
    #[must_use]
    pub fn is_overdue(&self, now: ClockTime, timeout: Duration) -> bool {
        self.answered
            .is_none_or(|answered| now.since(answered) > timeout)
    }
}
