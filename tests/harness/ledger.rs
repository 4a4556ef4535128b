//! Checks answers against the request logs of the upstreams.

use std::collections::BTreeMap;

use super::client::Answer;
use super::deployment::Deployment;
use super::deployment::TestStandin;

/// The requests that all upstreams have received.
///
/// The log of an upstream is lost when its process ends, so a test must save it first.
#[derive(Debug, Default)]
pub struct DispatchLedger {
    saved: Vec<String>,
}

impl DispatchLedger {
    /// Saves the log of an upstream that the test is about to stop.
    pub fn save_log(&mut self, upstream: &TestStandin) {
        self.saved.extend(upstream.received());
    }

    /// Fails the test if the upstreams together received any request more than once.
    pub fn assert_once(&self, deployment: &Deployment) {
        for (request, times) in self.counts(deployment) {
            assert_eq!(times, 1, "{request} was dispatched {times} times");
        }
    }

    /// Fails the test if a request was dispatched more than once, if an answer contradicts the logs
    /// or if a complete answer contains tokens of another request.
    pub fn check(&self, deployment: &Deployment, answers: &[Answer]) {
        self.assert_once(deployment);
        let counts = self.counts(deployment);
        for answer in answers {
            let request = answer.request_id();
            let received = counts.contains_key(&request);
            if answer.ran() == "no" {
                assert!(
                    !received,
                    "{request} ran although its answer denies it: {}",
                    answer.body
                );
                assert!(answer.status >= 400, "{}", answer.head);
            }
            if answer.status == 200 && answer.complete {
                assert!(received, "{request} was answered but is in no log");
                answer.assert_own_tokens();
            }
        }
    }

    fn counts(&self, deployment: &Deployment) -> BTreeMap<String, usize> {
        let upstreams = deployment.engines.iter().chain(&deployment.plain);
        let received = upstreams.flat_map(TestStandin::received);
        let mut counts = BTreeMap::new();
        for request in received.chain(self.saved.iter().cloned()) {
            *counts.entry(request).or_insert(0) += 1;
        }
        counts
    }
}
