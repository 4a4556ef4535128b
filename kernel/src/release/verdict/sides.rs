//! The evidence sorted by route, side and worker.

use std::collections::BTreeMap;

use crate::name::WorkerName;
use crate::release::evidence::ReleaseEvidence;
use crate::release::split::VersionSide;
use crate::release::tally::VersionTally;

/// The answers that are compared: those of one route, or of all.
#[derive(Clone, Debug, Default)]
pub(super) struct ComparedSides<'a> {
    pub(super) baseline: VersionTally,
    /// The answers of the target's workers.
    pub(super) target: BTreeMap<Option<&'a WorkerName>, VersionTally>,
}

impl<'a> ComparedSides<'a> {
    fn add(&mut self, side: VersionSide, worker: Option<&'a WorkerName>, tally: &VersionTally) {
        match side {
            VersionSide::Baseline => self.baseline.add(tally),
            VersionSide::Target => self.target.entry(worker).or_default().add(tally),
        }
    }
}

/// The answers of each route and of all together.
#[derive(Clone, Debug, Default)]
pub(super) struct RouteSides<'a> {
    all: ComparedSides<'a>,
    routes: BTreeMap<&'a str, ComparedSides<'a>>,
}

impl<'a> RouteSides<'a> {
    pub(super) fn of(evidence: &'a ReleaseEvidence) -> Self {
        let mut sorted = Self::default();
        for (key, tally) in evidence.iter() {
            let worker = key.worker.as_ref();
            let route = sorted.routes.entry(&key.route).or_default();
            route.add(key.side, worker, tally);
            sorted.all.add(key.side, worker, tally);
        }
        sorted
    }

    /// Returns the number of the target's workers.
    pub(super) fn target_workers(&self) -> usize {
        self.all.target.len()
    }

    /// Iterates over the answers of all routes together, and of each if there are several.
    pub(super) fn scopes(&self) -> impl Iterator<Item = (Option<&'a str>, &ComparedSides<'a>)> {
        let several = self.routes.len() > 1;
        let routes = self.routes.iter().filter(move |_| several);
        let routes = routes.map(|(route, sides)| (Some(*route), sides));
        std::iter::once((None, &self.all)).chain(routes)
    }
}
