//! One host reads the platform's store for many.
//!
//! Hosts ask a reader what it knows, and count its answer as of the moment at which they asked: the
//! reader answers a question only by reads that began after the question came. So an answer that was
//! held up on the way, or by a host that froze, is never taken for a newer one than it is. A host
//! whose questions are not answered reads by itself.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::ClockTime;
use crate::name::HostName;

/// The time between two questions of one host.
pub const QUESTION_INTERVAL: Duration = Duration::from_millis(700);

/// The time without an answer after which a host reads by itself: one question and its answer are
/// lost, and the next read of the store is still in time for every bound.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The time for which a host that asked is told of news.
const FOLLOWER_TIME: Duration = Duration::from_secs(3);

/// A question that waits for reads that begin after it came.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OpenQuestion<Q> {
    /// What is asked.
    pub question: Q,
    came: ClockTime,
}

/// The reader's side: who asks, and who is to be told of news.
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
/// assert_eq!(questions.answered_by(at(50)).count(), 0);
/// assert_eq!(questions.answered_by(at(150)).count(), 1);
/// # Ok::<(), borageladder_kernel::name::NameError>(())
/// ```
#[derive(Clone, Debug)]
pub struct QuestionTable<Q> {
    open: BTreeMap<HostName, OpenQuestion<Q>>,
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
    /// Notes a question; a newer one of the same host takes the place of an older one.
    pub fn ask(&mut self, now: ClockTime, host: HostName, question: Q) {
        self.followers.insert(host.clone(), now);
        let came = now;
        self.open.insert(host, OpenQuestion { question, came });
    }

    /// Takes the questions that reads answer which began at the time.
    pub fn answered_by(&mut self, begin: ClockTime) -> impl Iterator<Item = (HostName, Q)> {
        let answered = self.open.extract_if(.., move |_, open| open.came <= begin);
        answered.map(|(host, open)| (host, open.question))
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

    /// Returns whether the host has to read by itself.
    #[must_use]
    pub fn is_overdue(&self, now: ClockTime) -> bool {
        self.answered
            .is_none_or(|answered| now.since(answered) > ANSWER_TIMEOUT)
    }
}
