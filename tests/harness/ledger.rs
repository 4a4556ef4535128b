//! Checks of answers against what the upstreams received.

use std::collections::BTreeMap;

use super::client::Answer;
use super::deployment::Deployment;
use super::deployment::TestStandin;

/// What every upstream received until now.
///
/// The log of an upstream that ends is lost, so it is read before a test ends it.
#[derive(Debug, Default)]
pub struct DispatchLedger {
    lost: Vec<String>,
}

impl DispatchLedger {
    /// Keeps the log of an upstream that a test is about to end.
    pub fn keep(&mut self, upstream: &TestStandin) {
        self.lost.extend(upstream.received());
    }

    /// Fails the test if a request was received more than once by all upstreams together.
    pub fn assert_once(&self, deployment: &Deployment) {
        for (request, times) in self.counts(deployment) {
            assert_eq!(times, 1, "{request} was dispatched {times} times");
        }
    }

    /// Fails the test if an answer contradicts the logs or carries another request's text.
    pub fn check(&self, deployment: &Deployment, answers: &[Answer]) {
        self.assert_once(deployment);
        let counts = self.counts(deployment);
        for answer in answers {
            let request = answer.request();
            let received = counts.contains_key(&request);
            if answer.ran() == "no" {
                assert!(!received, "{request} ran: {}", answer.body);
                assert!(answer.status >= 400, "{}", answer.head);
            }
            if answer.status == 200 && answer.whole {
                assert!(received, "{request} was answered and not run");
                answer.assert_own();
            }
        }
    }

    fn counts(&self, deployment: &Deployment) -> BTreeMap<String, usize> {
        let upstreams = deployment.engines.iter().chain(&deployment.plain);
        let received = upstreams.flat_map(TestStandin::received);
        let mut counts = BTreeMap::new();
        for request in received.chain(self.lost.iter().cloned()) {
            *counts.entry(request).or_insert(0) += 1;
        }
        counts
    }
}
