//! The requests of a trial, and what its hosts know.

use std::time::Duration;

use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::name::WorkerName;
use borageladder_kernel::release::KnownRelease;
use borageladder_kernel::release::ReleaseEvent;
use borageladder_kernel::release::ReleaseEvidence;
use borageladder_kernel::release::ReleaseState;
use borageladder_kernel::release::TallyKey;
use borageladder_kernel::release::VersionSide;
use rand::RngExt;

use crate::trial::BOUNDS;
use crate::trial::DRIVERS;
use crate::trial::DURATION;
use crate::trial::HOSTS;
use crate::trial::Outcome;
use crate::trial::Step;
use crate::trial::TargetFault;
use crate::trial::Trial;
use crate::trial::host_name;

/// The time after its 50th bad answer from which on a bad version must get no request.
const ROLLBACK: Duration = Duration::from_secs(5);

const ROUTES: [&str; 2] = ["letters.example/", "letters.example/drafts/"];
/// The time over which the load on the target is measured.
const LOAD_SPAN: Duration = Duration::from_millis(300);

const TARGET_WORKERS: usize = 4;

impl Trial {
    /// Lets hosts read the store at intervals of about 0.1 s, and 1.1 s at most.
    pub(crate) fn poll_hosts(&mut self) {
        for host in 0..HOSTS {
            if self.now < self.hosts[host].next_poll {
                continue;
            }
            let is_late = self.random.random_bool(0.05);
            let longest = if is_late { 1_100 } else { 150 };
            let interval = Duration::from_millis(self.random.random_range(50..longest));
            self.hosts[host].next_poll = self.now + interval;
            let Some(stored) = self.store.state.clone().filter(|_| self.store_up) else {
                continue;
            };
            let mut state = stored.state;
            state.era = self.store.era;
            self.learn(host, &state);
        }
    }

    pub(crate) fn learn(&mut self, host: usize, state: &ReleaseState) {
        let now = self.now;
        let known = &mut self.hosts[host].known;
        let known = known.get_or_insert_with(|| KnownRelease::new(state.clone(), now));
        known.learn(state.clone(), now);
        let newest = known.state().clone();
        self.check_known(&newest);
        for driver in 0..DRIVERS {
            let event = ReleaseEvent::StateReceived(Box::new(newest.clone()));
            self.tell(driver, event);
        }
    }

    /// Checks that hosts are told of one final phase of an order only.
    fn check_known(&mut self, newest: &ReleaseState) {
        let is_present = Some(&newest.order) == self.store.order.as_ref();
        if is_present && newest.phase.is_final() {
            let told = *self.told.get_or_insert(newest.phase);
            assert_eq!(told, newest.phase, "seed {}", self.plan.seed);
        }
    }

    pub(crate) fn send_evidence(&mut self) {
        for host in 0..HOSTS {
            let (Some(known), Some(evidence)) =
                (&self.hosts[host].known, &self.hosts[host].evidence)
            else {
                continue;
            };
            if self.now < self.hosts[host].next_report {
                continue;
            }
            let evidence = evidence.clone();
            let interval = known.state().phase.evidence_interval();
            self.hosts[host].next_report = self.now + interval;
            for driver in 0..DRIVERS {
                let event = ReleaseEvent::EvidenceReceived {
                    host: host_name(host),
                    incarnation: 1,
                    evidence: Box::new(evidence.clone()),
                };
                let delay = self.delay();
                self.send(delay, Step::ToDriver(driver, event));
            }
        }
    }

    /// Creates the requests that have arrived by now, in random intervals.
    pub(crate) fn arrive(&mut self) {
        while self.plan.rate > 0.0 && self.next_request <= self.now {
            let draw: f64 = self.random.random();
            let gap = -(1.0 - draw).ln() / self.plan.rate;
            self.next_request = self.next_request + Duration::from_secs_f64(gap);
            self.request();
        }
    }

    fn request(&mut self) {
        let host = self.random.random_range(0..HOSTS);
        let hash = self.random.random();
        let Some(known) = &self.hosts[host].known else {
            return;
        };
        let order = known.state().order.clone();
        if Some(&order) != self.store.order.as_ref() {
            return;
        }
        let mut side = known.choose_side(self.now, hash);
        if !self.readiness.target {
            side = VersionSide::Baseline;
        }
        let key = self.tally_key(side);
        let outcome = self.outcome(&key);
        let evidence = self.hosts[host].evidence.take();
        let evidence = evidence.filter(|evidence| evidence.order == order);
        let mut evidence = evidence.unwrap_or_else(|| ReleaseEvidence::new(order));
        evidence.tally(key.clone()).requests += 1;
        self.hosts[host].evidence = Some(evidence);
        self.count(side, outcome);
        if let Some(outcome) = outcome {
            let delay = match outcome {
                Outcome::After(time) => time,
                Outcome::Failed => Duration::from_millis(5),
            };
            self.send(delay, Step::Answer(host, key, outcome));
        }
    }

    fn tally_key(&mut self, side: VersionSide) -> TallyKey {
        let route = ROUTES[usize::from(self.random.random_bool(0.2))];
        let number = self.random.random_range(0..TARGET_WORKERS);
        let worker = (side == VersionSide::Target).then(|| worker_name(number));
        TallyKey {
            route: route.to_owned(),
            side,
            worker,
        }
    }

    /// Returns the outcome of a request; `None` if it is never answered.
    fn outcome(&mut self, key: &TallyKey) -> Option<Outcome> {
        let micros = self.random.random_range(10_000..30_000);
        let normal = Some(Outcome::After(Duration::from_micros(micros)));
        let is_target = key.side == VersionSide::Target;
        if is_target && self.plan.fault == TargetFault::Mute {
            return None;
        }
        if self.random.random_bool(self.plan.noise) {
            return Some(Outcome::Failed);
        }
        if !is_target {
            return normal;
        }
        if self.plan.sick_worker && key.worker == Some(worker_name(0)) {
            return Some(Outcome::Failed);
        }
        let now = self.now;
        self.recent.push(now);
        self.recent.retain(|at| now.since(*at) < LOAD_SPAN);
        let after_order = now.since(self.order_at);
        let draw: f64 = self.random.random();
        #[expect(clippy::cast_precision_loss, reason = "a trial has few requests")]
        let rate = self.recent.len() as f64 / LOAD_SPAN.as_secs_f64();
        let is_bad = match self.plan.fault {
            TargetFault::None | TargetFault::Mute => false,
            TargetFault::Failing(part, from) => after_order >= from && draw < part,
            TargetFault::FailingAbove(part, limit) => rate > limit && draw < part,
            TargetFault::FailingOnRoute(part) => key.route == ROUTES[1] && draw < part,
            TargetFault::Slow(part) => draw < part,
        };
        match self.plan.fault {
            _ if !is_bad => normal,
            TargetFault::Slow(_) => Some(Outcome::After(Duration::from_micros(4 * micros))),
            _ => Some(Outcome::Failed),
        }
    }

    pub(crate) fn answer(&mut self, host: usize, key: TallyKey, outcome: Outcome) {
        let is_target = key.side == VersionSide::Target;
        let Some(evidence) = &mut self.hosts[host].evidence else {
            return;
        };
        let tally = evidence.tally(key);
        match outcome {
            Outcome::After(time) => tally.record_answer(time),
            Outcome::Failed => tally.record_failure(),
        }
        let is_slow = matches!(outcome, Outcome::After(time) if time >= Duration::from_millis(40));
        if is_target && (is_slow || matches!(outcome, Outcome::Failed)) {
            self.exposure.bad += 1;
            if self.exposure.bad == 50 {
                self.exposure.fiftieth_bad = Some(self.now);
            }
        }
    }

    /// Counts a request, and checks that a bad version gets none long after its 50th bad answer.
    fn count(&mut self, side: VersionSide, outcome: Option<Outcome>) {
        if self.now > self.order_at + DURATION {
            return;
        }
        self.exposure.requests += 1;
        if side == VersionSide::Baseline {
            return;
        }
        self.exposure.target += 1;
        let fiftieth = self.exposure.fiftieth_bad;
        let is_late = fiftieth.is_some_and(|at: ClockTime| self.now.since(at) > ROLLBACK);
        let is_bad = self.is_bad();
        assert!(
            !(is_bad && is_late),
            "seed {}: {outcome:?} is late",
            self.plan.seed
        );
    }

    pub(crate) fn is_bad(&self) -> bool {
        self.plan.fault != TargetFault::None
    }

    /// Checks the bound on the requests of a bad version, and notes when the release ends.
    pub(crate) fn check(&mut self) {
        let state = self.store.state.as_ref().map(|stored| &stored.state);
        let order = self.store.order.as_ref();
        if let Some(state) = state.filter(|state| Some(&state.order) == order) {
            assert_eq!(self.store.status, Some(state.phase.status()));
            if state.phase.is_final() && self.ended_at.is_none() {
                self.ended_at = Some(self.now);
            }
        }
        let at_deadline = self.now.since(self.order_at) == DURATION;
        if at_deadline && self.is_bad() {
            self.check_exposure();
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "a trial has few requests")]
    fn check_exposure(&self) {
        let counted = &self.exposure;
        let share = BOUNDS.exposure_share * counted.requests as f64;
        let allowed = share + BOUNDS.exposure_headroom;
        let seed = self.plan.seed;
        assert!(
            counted.target as f64 <= allowed,
            "seed {seed}: {counted:?} of {allowed}"
        );
    }
}

fn worker_name(number: usize) -> WorkerName {
    format!("worker-{number}").parse().expect("a valid name")
}
