//! Processing time of one grant and one ask, and memory use, by the number of waiting requests and
//! of workers.
//!
//! Each operation finishes one running request, which grants its slot to the first waiting request,
//! and submits a new ask, which waits. The numbers of waiting and running requests therefore stay
//! constant within a row.

use std::collections::VecDeque;
use std::fs;
use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use borageladder_kernel::ask::Ask;
use borageladder_kernel::ask::BrokerAction;
use borageladder_kernel::ask::BrokerEvent;
use borageladder_kernel::ask::CellWorker;
use borageladder_kernel::ask::Grant;
use borageladder_kernel::ask::WorkProgress;
use borageladder_kernel::ask::WorkReport;
use borageladder_kernel::broker::BrokerSettings;
use borageladder_kernel::broker::CellBroker;
use borageladder_kernel::clock::ClockTime;
use borageladder_kernel::name::BlockDigest;
use borageladder_kernel::name::HostName;
use borageladder_kernel::name::ModelName;
use borageladder_kernel::name::RequestId;
use borageladder_kernel::name::ServiceName;
use borageladder_kernel::name::TierRank;
use borageladder_kernel::name::WorkspaceName;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// The number of operations that are measured for one row.
const OPERATIONS: usize = 4_000;

/// The minimum number of operations that are run before the measured ones.
///
/// The first operations after the queue was filled also make the first choices for requests that
/// have been waiting since, which would distort the measurement.
const WARM_UP_OPERATIONS: usize = 500;

/// The number of waiting requests for which one further warm-up operation is run.
const WAITING_PER_WARM_UP: usize = 10;

/// The maximum number of requests that one worker runs at once.
const MAX_RUNNING: u32 = 8;

/// The simulated time between two operations.
const OPERATION_GAP: Duration = Duration::from_micros(200);

/// The number of block digests in an ask.
const PREFIX_BLOCKS: u64 = 8;

/// The number of distinct prefixes.
const PREFIXES: u64 = 500;

/// The size of a memory page, in bytes.
const PAGE_BYTES: usize = 4_096;

/// The upper bound of the median time at 10,000 waiting requests and 64 workers, in nanoseconds.
const MEDIAN_BOUND_NANOS: u64 = 10_000;

/// A broker under steady load.
struct SteadyLoad {
    broker: CellBroker,
    now: ClockTime,
    random: SmallRng,
    sequence: u64,
    running: VecDeque<Grant>,
    host: HostName,
    service: ServiceName,
    model: ModelName,
    workspaces: Vec<WorkspaceName>,
}

impl SteadyLoad {
    fn new(waiting: usize, workers: usize) -> Self {
        let settings = BrokerSettings::default()
            .with_takeover_time(Duration::ZERO)
            .with_max_waiting(usize::MAX);
        let now = ClockTime::ZERO;
        let mut load = Self {
            broker: CellBroker::new(settings, now).expect("the policy is registered"),
            now,
            random: SmallRng::seed_from_u64(7),
            sequence: 0,
            running: VecDeque::new(),
            host: "host-1".parse().expect("a valid name"),
            service: "drafter".parse().expect("a valid name"),
            model: "drafter-8b".parse().expect("a valid name"),
            workspaces: (0..8)
                .map(|number| format!("workspace-{number}").parse().expect("a valid name"))
                .collect(),
        };
        load.set_workers(workers);
        load.fill(waiting);
        load
    }

    fn set_workers(&mut self, workers: usize) {
        let workers = (0..workers)
            .map(|number| CellWorker {
                worker: format!("engine-{number:04}").parse().expect("a valid name"),
                models: vec![self.model.clone()],
                version: None,
                max_running: MAX_RUNNING,
                location: None,
            })
            .collect();
        self.handle(BrokerEvent::WorkersChanged { workers });
    }

    fn fill(&mut self, waiting: usize) {
        while self.broker.summary(self.now).waiting.iter().sum::<u32>() < count(waiting) {
            let ask = self.ask();
            self.submit(ask);
        }
    }

    fn handle(&mut self, event: BrokerEvent) {
        let actions = self.broker.handle(self.now, event);
        for action in actions {
            match action {
                BrokerAction::Grant { grant, .. } => self.running.push_back(grant),
                BrokerAction::Refuse { refusal, .. } => {
                    black_box(refusal);
                }
            }
        }
    }

    fn ask(&mut self) -> Ask {
        self.sequence += 1;
        let prefix = self.random.random_range(0..PREFIXES) * PREFIX_BLOCKS;
        let workspace = self.random.random_range(0..self.workspaces.len());
        Ask {
            request: RequestId {
                incarnation: 1,
                sequence: self.sequence,
            },
            service: self.service.clone(),
            model: Some(self.model.clone()),
            version: None,
            workspace: self.workspaces[workspace].clone(),
            tier: TierRank(self.random.random_range(0..4)),
            budget: Duration::from_secs(self.random.random_range(100_000..200_000)),
            first_token_target: None,
            token_gap_target: None,
            prompt_tokens: self.random.random_range(600..6_000),
            max_answer_tokens: 300,
            hinted_tokens: None,
            prefix: (prefix..prefix + PREFIX_BLOCKS).map(BlockDigest).collect(),
            suspect: false,
            hedged_worker: None,
        }
    }

    fn submit(&mut self, ask: Ask) {
        let host = self.host.clone();
        self.handle(BrokerEvent::Asked { host, ask });
    }

    /// Performs one operation and returns the time that the broker needed for it.
    fn operate(&mut self) -> OperationTime {
        self.now = self.now + OPERATION_GAP;
        let ask = self.ask();
        let grant = self.running.pop_front().expect("a request runs");
        let after = Duration::from_millis(300);
        let dispatched = self.report(&grant, WorkProgress::Dispatched);
        let first_token = self.report(&grant, WorkProgress::FirstToken { after });
        let finished = WorkProgress::Finished {
            answer_tokens: 100,
            token_gap: Duration::from_millis(20),
        };
        let finished = self.report(&grant, finished);
        let start = Instant::now();
        self.handle(dispatched);
        self.handle(first_token);
        let reports = elapsed_nanos(start);
        let start = Instant::now();
        self.handle(finished);
        self.submit(ask);
        let grant = elapsed_nanos(start);
        OperationTime { grant, reports }
    }

    /// Runs one request up to its first token and then stops it.
    fn run_one(&mut self) {
        self.now = self.now + OPERATION_GAP;
        let ask = self.ask();
        self.submit(ask);
        while let Some(grant) = self.running.pop_front() {
            let after = Duration::from_millis(300);
            let event = self.report(&grant, WorkProgress::FirstToken { after });
            self.handle(event);
            let event = self.report(&grant, WorkProgress::Stopped);
            self.handle(event);
        }
    }

    fn report(&self, grant: &Grant, progress: WorkProgress) -> BrokerEvent {
        BrokerEvent::Reported {
            host: self.host.clone(),
            report: WorkReport {
                request: grant.request,
                grant: grant.grant,
                worker: grant.worker.clone(),
                progress,
            },
        }
    }
}

/// The time of one operation, in nanoseconds.
struct OperationTime {
    /// The time for finishing a request, granting its slot, and queueing a new ask.
    grant: u64,
    /// The time for the two reports before the end of the request.
    reports: u64,
}

/// Statistics of the operation times of one row, in nanoseconds.
struct OperationTimes {
    median: u64,
    p99: u64,
    mean: u64,
    reports: u64,
}

fn elapsed_nanos(start: Instant) -> u64 {
    u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX)
}

fn measure(waiting: usize, workers: usize) -> OperationTimes {
    let mut load = SteadyLoad::new(waiting, workers);
    for _ in 0..WARM_UP_OPERATIONS + waiting / WAITING_PER_WARM_UP {
        load.operate();
    }
    let operations: Vec<OperationTime> = (0..OPERATIONS).map(|_| load.operate()).collect();
    let mut reports: Vec<u64> = operations.iter().map(|time| time.reports).collect();
    let mut times: Vec<u64> = operations.iter().map(|time| time.grant).collect();
    reports.sort_unstable();
    times.sort_unstable();
    OperationTimes {
        median: times[OPERATIONS / 2],
        p99: times[OPERATIONS * 99 / 100],
        mean: times.iter().sum::<u64>() / u64::from(count(OPERATIONS)),
        reports: reports[OPERATIONS / 2],
    }
}

fn print_row(waiting: usize, workers: usize, times: &OperationTimes) {
    println!(
        "{waiting:>8} {workers:>8} {:>10} {:>10} {:>10} {:>10}",
        times.median, times.p99, times.mean, times.reports
    );
}

fn print_slope(dimension: &str, first: &OperationTimes, last: &OperationTimes, ratio: f64) {
    let growth = nanos(last.median) / nanos(first.median);
    let exponent = growth.ln() / ratio.ln();
    println!("slope over {dimension}: x{growth:.2} for x{ratio:.0}, exponent {exponent:.2}\n");
}

fn nanos(time: u64) -> f64 {
    u32::try_from(time).map_or(f64::INFINITY, f64::from)
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

/// Returns the resident memory of the process in bytes, or zero if it can't be read.
fn resident_bytes() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages.and_then(|pages| pages.parse().ok()).unwrap_or(0) * PAGE_BYTES
}

fn print_memory() {
    let before = resident_bytes();
    let load = SteadyLoad::new(100_000, 4);
    let with_waiting = resident_bytes().saturating_sub(before);
    println!(
        "memory per waiting request: {} bytes",
        with_waiting / 100_000
    );
    let before = resident_bytes();
    let mut warm = SteadyLoad::new(0, 1_000);
    for _ in 0..200_000 {
        warm.run_one();
    }
    let with_workers = resident_bytes().saturating_sub(before);
    let blocks: usize = warm.broker.workers().map(|view| view.cached_blocks).sum();
    println!(
        "memory per worker: {} bytes, with {} cached blocks known\n",
        with_workers / 1_000,
        blocks / 1_000
    );
    drop(load);
}

fn main() {
    print_memory();
    println!("one ask-to-grant, in nanoseconds, with the median of the two reports before its end");
    println!(
        "{:>8} {:>8} {:>10} {:>10} {:>10} {:>10}",
        "waiting", "workers", "median", "p99", "mean", "reports"
    );
    let mut by_waiting = Vec::new();
    for waiting in [10, 100, 1_000, 10_000, 100_000] {
        let times = measure(waiting, 64);
        print_row(waiting, 64, &times);
        by_waiting.push(times);
    }
    print_slope("waiting", &by_waiting[0], &by_waiting[4], 10_000.0);
    let mut by_workers = Vec::new();
    for workers in [4, 16, 64, 256, 1_000] {
        let times = measure(10_000, workers);
        print_row(10_000, workers, &times);
        by_workers.push(times);
    }
    print_slope("workers", &by_workers[0], &by_workers[4], 250.0);
    let median = by_waiting[3].median;
    let verdict = if median < MEDIAN_BOUND_NANOS {
        "holds"
    } else {
        "MISSED"
    };
    println!(
        "bound: {median} of {MEDIAN_BOUND_NANOS} ns at 10,000 waiting, 64 workers: {verdict}\n"
    );
}
