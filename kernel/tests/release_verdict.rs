//! Verdicts on targets that are bad in several ways, and on good ones beside faults of other kinds.

use std::time::Duration;

use borageladder_kernel::name::WorkerName;
use borageladder_kernel::release::BadMeasure;
use borageladder_kernel::release::EvidenceTable;
use borageladder_kernel::release::ReleaseEvidence;
use borageladder_kernel::release::ReleaseOrder;
use borageladder_kernel::release::ReleaseVerdict;
use borageladder_kernel::release::TallyKey;
use borageladder_kernel::release::VersionSide;
use borageladder_kernel::release::VersionTally;
use borageladder_kernel::roster::StoreRevision;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const SEEDS: u64 = 200;
const ROUTES: [&str; 2] = ["letters.example/", "letters.example/drafts/"];

fn order() -> ReleaseOrder {
    ReleaseOrder {
        service: "drafter".parse().expect("a valid name"),
        revision: StoreRevision(7),
        target: "v2".parse().expect("a valid name"),
        duration: Duration::from_secs(12),
    }
}

fn worker_name(number: usize) -> WorkerName {
    format!("worker-{number}").parse().expect("a valid name")
}

/// The faults of some answers, as probabilities.
#[derive(Clone, Copy, Debug)]
struct Faults {
    failed: f64,
    lost: f64,
    /// Four times slower.
    slow: f64,
}

impl Faults {
    const NONE: Self = Self::new(0.0, 0.0, 0.0);

    const fn new(failed: f64, lost: f64, slow: f64) -> Self {
        Self { failed, lost, slow }
    }

    const fn failed(part: f64) -> Self {
        Self::new(part, 0.0, 0.0)
    }

    const fn lost(part: f64) -> Self {
        Self::new(0.0, part, 0.0)
    }

    const fn slow(part: f64) -> Self {
        Self::new(0.0, 0.0, part)
    }

    /// Records an answer; returns whether it is bad.
    fn record(self, random: &mut StdRng, tally: &mut VersionTally) -> bool {
        tally.requests += 1;
        let draw: f64 = random.random();
        if draw < self.lost {
            tally.lost += 1;
            return true;
        }
        if draw < self.lost + self.failed {
            tally.record_failure();
            return true;
        }
        let is_slow = draw < self.lost + self.failed + self.slow;
        let micros = random.random_range(10_000..30_000);
        let factor = if is_slow { 4 } else { 1 };
        tally.record_answer(Duration::from_micros(micros * factor));
        is_slow
    }
}

struct Sample {
    random: StdRng,
    evidence: ReleaseEvidence,
}

impl Sample {
    fn new(seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            evidence: ReleaseEvidence::new(order()),
        }
    }

    fn baseline(&mut self, route: usize, count: usize, faults: Faults) {
        let tally = self.evidence.tally(TallyKey {
            route: ROUTES[route].to_owned(),
            side: VersionSide::Baseline,
            worker: None,
        });
        for _ in 0..count {
            faults.record(&mut self.random, tally);
        }
    }

    /// Records answers of the target's workers, each with its faults; returns how many are bad.
    fn target(&mut self, route: usize, count: usize, workers: &[Faults]) -> usize {
        let mut bad = 0;
        for _ in 0..count {
            let number = self.random.random_range(0..workers.len());
            let tally = self.evidence.tally(TallyKey {
                route: ROUTES[route].to_owned(),
                side: VersionSide::Target,
                worker: Some(worker_name(number)),
            });
            bad += usize::from(workers[number].record(&mut self.random, tally));
        }
        bad
    }

    fn verdict(&self) -> ReleaseVerdict {
        ReleaseVerdict::judge(&self.evidence, None)
    }
}

fn is_bad(verdict: &ReleaseVerdict) -> bool {
    matches!(verdict, ReleaseVerdict::Bad(_))
}

/// Guards against a bad version that goes on after its 50th bad answer.
#[yare::parameterized(
    failing_always = { Faults::failed(1.0), 4 },
    failing_in_part = { Faults::failed(0.3), 4 },
    failing_rarely = { Faults::failed(0.03), 4 },
    failing_on_many_workers = { Faults::failed(0.3), 200 },
    failing_on_one_worker = { Faults::failed(0.3), 1 },
    slow_in_part = { Faults::slow(0.3), 4 },
    lost_in_part = { Faults::lost(0.3), 8 },
    failing_and_slow = { Faults::new(0.1, 0.0, 0.1), 4 },
)]
fn a_bad_version_is_found_by_its_50th_bad_answer(faults: Faults, workers: usize) {
    for seed in 0..SEEDS {
        let mut sample = Sample::new(seed);
        let workers = vec![faults; workers];
        let mut bad = 0;
        while bad < 50 {
            bad += sample.target(0, 1, &workers);
            sample.baseline(0, 20, Faults::failed(0.001));
        }
        let verdict = sample.verdict();
        assert!(is_bad(&verdict), "seed {seed}: {verdict:?}");
    }
}

/// Guards against a completed release whose target is bad under load only, when the baseline has few
/// requests left.
#[test]
fn a_version_that_is_bad_under_load_is_found_beside_a_small_baseline() {
    for seed in 0..SEEDS {
        let mut sample = Sample::new(seed);
        sample.baseline(0, 100, Faults::NONE);
        sample.target(0, 400, &[Faults::failed(0.2); 4]);
        assert!(is_bad(&sample.verdict()), "seed {seed}");
    }
}

/// Guards against a fault of one route that the answers of the others hide.
#[test]
fn a_version_that_is_bad_on_one_route_is_found() {
    for seed in 0..SEEDS {
        let mut sample = Sample::new(seed);
        for (route, count, faults) in [(0, 2_000, Faults::NONE), (1, 40, Faults::failed(0.6))] {
            sample.baseline(route, count * 10, Faults::failed(0.02));
            sample.target(route, count, &[faults; 4]);
        }
        let verdict = sample.verdict();
        let ReleaseVerdict::Bad(counts) = verdict else {
            panic!("seed {seed}: {verdict:?}");
        };
        assert_eq!(counts.measure, BadMeasure::Failed);
        assert_eq!(counts.route.as_deref(), Some(ROUTES[1]));
    }
}

/// Guards against a fault that begins later and that the sound answers before it hide.
#[test]
fn a_version_that_turns_bad_later_is_found_by_its_recent_answers() {
    for seed in 0..SEEDS {
        let mut sample = Sample::new(seed);
        sample.baseline(0, 20_000, Faults::NONE);
        sample.target(0, 2_000, &[Faults::NONE; 4]);
        let earlier = sample.evidence.clone();
        sample.baseline(0, 400, Faults::NONE);
        sample.target(0, 40, &[Faults::failed(0.7); 4]);
        assert!(!is_bad(&sample.verdict()), "seed {seed}");
        let verdict = ReleaseVerdict::judge(&sample.evidence, Some(&earlier));
        assert!(is_bad(&verdict), "seed {seed}: {verdict:?}");
    }
}

/// Guards against a good version that is reverted for faults that it does not have.
#[yare::parameterized(
    all_sound = { Faults::NONE, &[Faults::NONE; 4] },
    half_of_all_answers_fail = { Faults::failed(0.5), &[Faults::failed(0.5); 4] },
    everything_fails = { Faults::failed(1.0), &[Faults::failed(1.0); 4] },
    slow_answers_on_both_sides = { Faults::slow(0.3), &[Faults::slow(0.3); 4] },
    crashes_on_both_sides = { Faults::lost(0.1), &[Faults::lost(0.1); 4] },
    one_of_three_fails = { Faults::NONE, &[Faults::failed(1.0), Faults::NONE, Faults::NONE] },
    one_of_three_is_slow = { Faults::NONE, &[Faults::slow(1.0), Faults::NONE, Faults::NONE] },
    the_baseline_is_worse = { Faults::failed(0.3), &[Faults::NONE; 4] },
)]
fn a_good_version_is_not_bad(baseline: Faults, workers: &[Faults]) {
    for seed in 0..SEEDS {
        let mut sample = Sample::new(seed);
        for _ in 0..10 {
            sample.baseline(0, 960, baseline);
            sample.target(0, 40, workers);
            let verdict = sample.verdict();
            assert!(!is_bad(&verdict), "seed {seed}: {verdict:?}");
        }
    }
}

/// Guards against a verdict on too few answers of either side, which chance explains.
#[test]
fn few_answers_give_no_verdict() {
    let mut sample = Sample::new(1);
    sample.target(0, 7, &[Faults::failed(1.0); 4]);
    sample.baseline(0, 7, Faults::NONE);
    assert_eq!(sample.verdict(), ReleaseVerdict::Sound);
    sample.baseline(0, 200, Faults::NONE);
    assert_eq!(sample.verdict(), ReleaseVerdict::Doubtful);
}

/// Guards against counts that depend on lost, repeated or reordered reports.
#[test]
fn reports_in_any_order_give_the_same_evidence() {
    let mut sample = Sample::new(3);
    let mut reports = Vec::new();
    for _ in 0..6 {
        sample.baseline(0, 30, Faults::NONE);
        sample.target(1, 30, &[Faults::failed(0.2); 4]);
        reports.push(sample.evidence.clone());
    }
    let host = "sapporo-1".parse().expect("a valid name");
    let mut table = EvidenceTable::new(order());
    for position in [4, 0, 5, 5, 2] {
        table.record(&host, 1, &reports[position]);
    }
    assert_eq!(table.total(), &reports[5]);
    // A new run of the process counts from zero, on top of what the last one counted.
    table.record(&host, 2, &reports[0]);
    let requests = table.total().counts().requests;
    assert_eq!(requests, 7 * reports[0].counts().requests);
}

/// Guards against evidence that does not survive its encoding.
#[test]
fn evidence_is_the_same_after_it_was_encoded() {
    let mut sample = Sample::new(4);
    sample.baseline(0, 30, Faults::NONE);
    sample.target(1, 30, &[Faults::failed(0.2); 4]);
    let text = serde_json::to_string(&sample.evidence).expect("it can be encoded");
    let decoded: ReleaseEvidence = serde_json::from_str(&text).expect("it can be decoded");
    assert_eq!(decoded, sample.evidence);
}
