//! The breadth-first search through all states of a scenario.

use std::collections::HashSet;
use std::collections::VecDeque;

use super::ModelStep;
use super::Scenario;
use super::state::ModelState;

/// The result of a search.
#[derive(Debug, Default)]
pub struct SearchResult {
    /// The number of distinct states.
    pub states: usize,
    /// The steps that lead to the first state that violates the invariant.
    pub violation: Option<Vec<ModelStep>>,
    /// The highest version that was accepted in any state.
    pub accepted: u64,
    /// Whether a change was reported as recorded in any state.
    pub recorded: bool,
    /// Whether a host refused work in any state because its version may be outdated.
    pub refused: bool,
    /// Whether a host served a version lower than that of the table in any state.
    pub served_older: bool,
}

impl Scenario {
    /// Searches all states breadth-first until one violates the invariant: once a version is
    /// accepted, no host serves a lower one.
    pub fn search(&self) -> SearchResult {
        let mut result = SearchResult::default();
        let mut seen = HashSet::new();
        // Each step taken, with the index of the step before it; index 0 is the start.
        let mut paths: Vec<(usize, ModelStep)> = Vec::new();
        let mut queue = VecDeque::new();
        let start = self.warm_up();
        seen.insert(start.clone());
        paths.push((0, ModelStep::Advance));
        queue.push_back((0, start));
        while let Some((index, state)) = queue.pop_front() {
            result.states += 1;
            for step in self.steps(&state) {
                let mut next = state.clone();
                let sound = self.apply(&mut next, step);
                paths.push((index, step));
                let at = paths.len() - 1;
                if !sound {
                    result.violation = Some(path(&paths, at));
                    return result;
                }
                Self::observe(&next, &mut result);
                if seen.insert(next.clone()) {
                    queue.push_back((at, next));
                }
            }
        }
        result
    }

    fn observe(state: &ModelState, result: &mut SearchResult) {
        result.accepted = result.accepted.max(state.accepted);
        result.recorded |= state.recorded;
        for host in &state.hosts {
            let Some(process) = host.process.as_ref().filter(|_| !host.suspended) else {
                continue;
            };
            let serves = process.may_take_work(state.now);
            result.refused |= !serves;
            result.served_older |= serves && process.applied().0 < state.table;
        }
    }
}

fn path(paths: &[(usize, ModelStep)], end: usize) -> Vec<ModelStep> {
    let mut steps = Vec::new();
    let mut at = end;
    while at != 0 {
        let (before, step) = paths[at];
        steps.push(step);
        at = before;
    }
    steps.reverse();
    steps
}
