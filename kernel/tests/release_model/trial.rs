//! One simulated release.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::name::HostName;
use borageladder_kernel::release::FleetReadiness;
use borageladder_kernel::release::KnownRelease;
use borageladder_kernel::release::ReleaseAction;
use borageladder_kernel::release::ReleaseBounds;
use borageladder_kernel::release::ReleaseDriver;
use borageladder_kernel::release::ReleaseEvent;
use borageladder_kernel::release::ReleaseEvidence;
use borageladder_kernel::release::ReleasePhase;
use borageladder_kernel::release::ReleaseState;
use borageladder_kernel::release::ReleaseStatus;
use borageladder_kernel::release::StateWrite;
use borageladder_kernel::release::TICK_INTERVAL;
use borageladder_kernel::release::TallyKey;
use borageladder_kernel::release::WriteOutcome;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::store::SimulatedStore;

pub(crate) const BOUNDS: ReleaseBounds = ReleaseBounds {
    exposure_share: 0.1,
    exposure_headroom: 50.0,
};
pub(crate) const DURATION: Duration = Duration::from_secs(12);

/// The time at which the order is written.
pub(crate) const ORDER_AT: Duration = Duration::from_secs(2);

pub(crate) const DRIVERS: usize = 2;
pub(crate) const HOSTS: usize = 4;
const LOST_ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
const STEP: Duration = Duration::from_millis(5);
const FEED_INTERVAL: Duration = Duration::from_millis(250);

/// What is wrong with the target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum TargetFault {
    None,
    /// A part of the answers fails, from a time after the order on.
    Failing(f64, Duration),
    /// A part of the answers fails while the target gets more requests in a second.
    FailingAbove(f64, f64),
    /// A part of the answers fails, on one of two routes that gets a fifth of the requests.
    FailingOnRoute(f64),
    /// A part of the answers takes four times as long.
    Slow(f64),
    /// No request is ever answered.
    Mute,
}

/// The conditions of a trial.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TrialPlan {
    pub(crate) seed: u64,
    /// The requests in a second.
    pub(crate) rate: f64,
    pub(crate) fault: TargetFault,
    /// The part of all answers that fails on both sides.
    pub(crate) noise: f64,
    /// Whether one of the target's workers always fails.
    pub(crate) sick_worker: bool,
    /// The part of the writes whose answers are lost.
    pub(crate) lost_writes: f64,
}

impl TrialPlan {
    pub(crate) const fn new(seed: u64, rate: f64, fault: TargetFault) -> Self {
        Self {
            seed,
            rate,
            fault,
            noise: 0.002,
            sick_worker: false,
            lost_writes: 0.0,
        }
    }
}

#[derive(Debug)]
pub(crate) enum Step {
    Read(usize, ClockTime),
    /// A write, and whether its answer arrives.
    Write(usize, Box<StateWrite>, bool),
    ToDriver(usize, ReleaseEvent),
    ToHost(usize, Box<ReleaseState>),
    Answer(usize, TallyKey, Outcome),
}

#[derive(Clone, Copy, Debug)]
pub(crate) enum Outcome {
    After(Duration),
    Failed,
}

#[derive(Debug, Default)]
pub(crate) struct SimulatedHost {
    pub(crate) known: Option<KnownRelease>,
    pub(crate) next_poll: ClockTime,
    pub(crate) next_report: ClockTime,
    pub(crate) evidence: Option<ReleaseEvidence>,
}

/// What was counted of the present order.
#[derive(Clone, Debug, Default)]
pub(crate) struct Exposure {
    pub(crate) requests: usize,
    pub(crate) target: usize,
    pub(crate) bad: usize,
    pub(crate) fiftieth_bad: Option<ClockTime>,
}

pub(crate) struct Trial {
    pub(crate) plan: TrialPlan,
    pub(crate) random: StdRng,
    pub(crate) now: ClockTime,
    pub(crate) store: SimulatedStore,
    pub(crate) store_up: bool,
    pub(crate) drivers: Vec<ReleaseDriver>,
    /// The drivers that process nothing until they resume.
    pub(crate) frozen: [bool; DRIVERS],
    pub(crate) readiness: FleetReadiness,
    pub(crate) hosts: Vec<SimulatedHost>,
    pub(crate) queue: BinaryHeap<Reverse<(ClockTime, usize)>>,
    pub(crate) steps: Vec<Option<Step>>,
    pub(crate) next_request: ClockTime,
    pub(crate) next_tick: ClockTime,
    pub(crate) next_feed: ClockTime,
    /// The target's latest requests.
    pub(crate) recent: Vec<ClockTime>,
    pub(crate) order_at: ClockTime,
    pub(crate) exposure: Exposure,
    /// The final phase that hosts were told of the present order.
    pub(crate) told: Option<ReleasePhase>,
    pub(crate) ended_at: Option<ClockTime>,
}

pub(crate) fn host_name(number: usize) -> HostName {
    format!("sapporo-{number}").parse().expect("a valid name")
}

impl Trial {
    pub(crate) fn new(plan: TrialPlan) -> Self {
        let service = "drafter".parse().expect("a valid name");
        let driver = ReleaseDriver::new(service, BOUNDS);
        let hosts = (0..HOSTS).map(|_| SimulatedHost::default());
        let mut trial = Self {
            plan,
            random: StdRng::seed_from_u64(plan.seed),
            now: ClockTime::ZERO,
            store: SimulatedStore::default(),
            store_up: true,
            drivers: vec![driver; DRIVERS],
            frozen: [false; DRIVERS],
            readiness: FleetReadiness {
                target: true,
                hosts: true,
            },
            hosts: hosts.collect(),
            queue: BinaryHeap::new(),
            steps: Vec::new(),
            next_request: ClockTime::ZERO,
            next_tick: ClockTime::ZERO,
            next_feed: ClockTime::ZERO,
            recent: Vec::new(),
            order_at: ClockTime::MAX,
            exposure: Exposure::default(),
            told: None,
            ended_at: None,
        };
        trial.set_readiness(trial.readiness);
        trial.lead(0, true);
        trial
    }

    /// Runs a trial up to the write of its order.
    pub(crate) fn with_order(plan: TrialPlan) -> Self {
        let mut trial = Self::new(plan);
        trial.run_until(ORDER_AT);
        trial.order("v2");
        trial
    }

    pub(crate) fn order(&mut self, target: &str) {
        self.order_at = self.now;
        self.exposure = Exposure::default();
        self.told = None;
        self.ended_at = None;
        // A read that waits for a change ends at once.
        self.next_feed = self.now;
        self.store.write_order(target, DURATION);
    }

    pub(crate) fn lead(&mut self, driver: usize, leading: bool) {
        self.tell(driver, ReleaseEvent::RoleChanged { leading });
    }

    pub(crate) fn set_readiness(&mut self, readiness: FleetReadiness) {
        self.readiness = readiness;
        for driver in 0..DRIVERS {
            self.tell(driver, ReleaseEvent::FleetChanged(readiness));
        }
    }

    pub(crate) const fn set_fault(&mut self, fault: TargetFault) {
        self.plan.fault = fault;
    }

    /// Runs until a time while drivers freeze, change and lead together, and the store fails.
    pub(crate) fn run_with_failures(&mut self, random: &mut StdRng, end: Duration) {
        let mut copy = self.store.clone();
        while self.now < ClockTime::ZERO + end {
            let driver = random.random_range(0..DRIVERS);
            match random.random_range(0..10) {
                0 => self.frozen[driver] = !self.frozen[driver],
                1..4 => self.lead(driver, random.random_bool(0.7)),
                4 => self.store_up = !self.store_up,
                5 => copy = self.store.clone(),
                6 if self.store.era.0 < 2 => self.store.restore(copy.clone()),
                _ => {}
            }
            let pause = Duration::from_millis(random.random_range(50..800));
            self.run_until(self.now.since(ClockTime::ZERO) + pause);
        }
        self.store_up = true;
        self.frozen = [false; DRIVERS];
        // The events of the time in which they were frozen come first.
        self.run_until(self.now.since(ClockTime::ZERO) + 2 * TICK_INTERVAL);
        self.lead(0, true);
    }

    pub(crate) fn status(&self) -> Option<ReleaseStatus> {
        self.store.status
    }

    /// Runs until a time after the start of the trial.
    pub(crate) fn run_until(&mut self, end: Duration) {
        let end = ClockTime::ZERO + end;
        while self.now < end {
            self.now = self.now + STEP;
            self.deliver();
            self.arrive();
            self.poll_hosts();
            if self.now >= self.next_tick {
                self.next_tick = self.now + TICK_INTERVAL;
                (0..DRIVERS).for_each(|driver| self.tell(driver, ReleaseEvent::Tick));
            }
            if self.now >= self.next_feed {
                self.next_feed = self.now + FEED_INTERVAL;
                (0..DRIVERS)
                    .for_each(|driver| self.send(Duration::ZERO, Step::Read(driver, self.now)));
            }
            self.send_evidence();
            self.check();
        }
    }

    pub(crate) fn send(&mut self, delay: Duration, step: Step) {
        self.queue
            .push(Reverse((self.now + delay, self.steps.len())));
        self.steps.push(Some(step));
    }

    pub(crate) fn delay(&mut self) -> Duration {
        Duration::from_millis(self.random.random_range(2..15))
    }

    fn deliver(&mut self) {
        while let Some(Reverse((due, number))) = self.queue.peek().copied()
            && due <= self.now
        {
            self.queue.pop();
            let step = self.steps[number].take().expect("an open step");
            self.perform(step);
        }
    }

    fn perform(&mut self, step: Step) {
        let delay = self.delay();
        match step {
            Step::Read(driver, began) => {
                let event = if self.store_up {
                    let reading = Box::new(self.store.read(self.now));
                    ReleaseEvent::StoreRead { began, reading }
                } else {
                    ReleaseEvent::ReadFailed
                };
                self.send(delay, Step::ToDriver(driver, event));
            }
            Step::Write(driver, write, answered) => self.write(driver, &write, answered),
            Step::ToDriver(driver, event) => self.tell(driver, event),
            Step::ToHost(host, state) => self.learn(host, &state),
            Step::Answer(host, key, outcome) => self.answer(host, key, outcome),
        }
    }

    fn write(&mut self, driver: usize, write: &StateWrite, answered: bool) {
        let delay = self.delay();
        let outcome = if self.store_up {
            self.store.write(write)
        } else {
            WriteOutcome::Unknown
        };
        if answered {
            self.end_write(delay, driver, outcome);
        }
    }

    fn end_write(&mut self, delay: Duration, driver: usize, outcome: WriteOutcome) {
        let event = ReleaseEvent::WriteEnded(outcome);
        self.send(delay, Step::ToDriver(driver, event));
    }

    /// Sends a write, which may be made late or not at all if its answer is lost.
    fn send_write(&mut self, driver: usize, write: Box<StateWrite>) {
        let delay = self.delay();
        let answered = !self.random.random_bool(self.plan.lost_writes);
        if answered {
            self.send(delay, Step::Write(driver, write, true));
            return;
        }
        self.end_write(LOST_ANSWER_TIMEOUT, driver, WriteOutcome::Unknown);
        let arrivals = [Some(delay), Some(2 * LOST_ANSWER_TIMEOUT), None];
        if let Some(delay) = arrivals[self.random.random_range(0..arrivals.len())] {
            self.send(delay, Step::Write(driver, write, false));
        }
    }

    pub(crate) fn tell(&mut self, driver: usize, event: ReleaseEvent) {
        if self.frozen[driver] {
            if !matches!(event, ReleaseEvent::Tick) {
                self.send(TICK_INTERVAL, Step::ToDriver(driver, event));
            }
            return;
        }
        for action in self.drivers[driver].handle(self.now, event) {
            let delay = self.delay();
            match action {
                ReleaseAction::Read => self.send(delay, Step::Read(driver, self.now)),
                ReleaseAction::Write(write) => self.send_write(driver, write),
                ReleaseAction::Announce(state) => {
                    for host in 0..HOSTS {
                        self.send(delay, Step::ToHost(host, state.clone()));
                    }
                }
            }
        }
    }
}
