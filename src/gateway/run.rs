//! Startup of a gateway host.

use std::cell::OnceCell;
use std::io;
use std::panic;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use nix::sys::resource::Resource;
use nix::sys::resource::getrlimit;
use rand::RngExt;
use slog::Logger;
use tokio::time::Instant;

use super::confirm;
use super::crash_record::CrashRecordKeeper;
use super::dialect::GatewayDialect;
use super::document::HostRecord;
use super::document::RegistrationOutcome;
use super::frontend;
use super::host::GatewayHost;
use super::host::GatewayParts;
use super::messages;
use super::metering;
use super::readiness;
use super::release;
use super::settings::GatewaySettings;
use super::snapshot;
use super::state::GatewayState;
use super::stop;
use super::store::FleetStore;
use super::stream_log;
use super::sync;
use super::tunnel;
use crate::activity::record_activity;
use crate::cell::CellService;
use crate::clock::ProcessClock;
use crate::event::LogEvent;
use crate::kernel::broker::BrokerSettings;
use crate::kernel::broker::SuspectPlacement;
use crate::kernel::name::HostName;
use crate::kernel::policy::FIRST_TOKEN_POLICY;
use crate::kernel::quota::BUNDLE_INTERVAL;
use crate::kernel::quota::BUNDLES_PER_REPORT;
use crate::link::LinkSet;
use crate::link::LinkSettings;
use crate::link::SharedKey;
use crate::listener::listen;
use crate::log_budget::SharedBudget;
use crate::log_event;
use crate::logging;
use crate::member::ClockSource;
use crate::member::LinkPlan;
use crate::member::MemberChange;
use crate::member::MemberService;
use crate::member::MemberSettings;
use crate::metrics::MetricSet;
use crate::network::BrokerCache;
use crate::network::ConfigurationSource;
use crate::network::HostNetwork;
use crate::settings::LogFormat;
use crate::settings::LogSettings;
use crate::signals::StopRequests;
use crate::wire::LinkMessage;

/// The mean delay before a failed registration at the store is retried.
const REGISTRATION_RETRY_DELAY: Duration = Duration::from_millis(300);

/// The interval at which expired idle connections to workers are closed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// The number of usage reports of which one covers all workspaces, for hosts that missed a report.
const FULL_REPORT_PERIOD: u32 = 8;

/// The number of registered hosts up to which a starting host dials all of them at once.
const MAX_SEEDS: usize = 16;

/// The number of links to every data centre other than the host's own, in a deployment in which not all
/// hosts are linked. Brokers, readers and reporters are dialed beside these.
const REMOTE_LINKS: usize = 3;

/// The time for which a broker that takes over a cell grants no slots, so that entries can declare
/// their running requests.
const TAKEOVER_TIME: Duration = Duration::from_millis(100);

/// The parts of a gateway host that are specific to the platform.
pub struct GatewayPlatform {
    /// The names and formats of headers on the platform.
    pub dialect: Rc<dyn GatewayDialect>,
    /// The platform's store.
    pub store: Rc<dyn FleetStore>,
}

impl std::fmt::Debug for GatewayPlatform {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("GatewayPlatform").finish_non_exhaustive()
    }
}

/// Runs a gateway host until SIGTERM or SIGINT, then stops it gracefully. Signals that
/// [`crate::signals::hold`] held back take effect.
///
/// # Errors
///
/// Returns an error if signals can't be handled or the metrics can't be created. An address
/// that can't be listened on is tried again until it can.
pub fn run(
    settings: GatewaySettings,
    platform: impl FnOnce(&GatewaySettings, &Logger) -> GatewayPlatform,
) -> anyhow::Result<()> {
    let log_settings = LogSettings {
        format: LogFormat::Json,
        level: slog::Level::Info,
    };
    let handle = logging::start_on(io::stdout, log_settings, &settings.host);
    let log = handle.logger.clone();
    log_panics(&log);
    let platform = platform(&settings, &log);
    let logs = LogParts {
        log: log.clone(),
        budget: handle.budget.clone(),
    };
    let outcome = actix_rt::System::new().block_on(run_host(settings, platform, logs));
    if let Err(error) = &outcome {
        log_event!(log, LogEvent::StartFailed, "error" => format!("{error:#}"));
    }
    drop(log);
    handle.finish();
    outcome
}

/// Logs panics of tasks. A panic only closes the connection of its caller, so that nothing else
/// would report it.
fn log_panics(log: &Logger) {
    let log = log.clone();
    panic::set_hook(Box::new(move |panic| {
        log_event!(log, LogEvent::TaskFailed, "fault" => panic.to_string());
    }));
}

/// The logger of a host and the budget that limits its lines.
struct LogParts {
    log: Logger,
    budget: SharedBudget,
}

/// The host, set once it is created; a message that a link receives before that is dropped.
type PendingHost = Rc<OnceCell<Rc<GatewayHost>>>;

async fn run_host(
    settings: GatewaySettings,
    platform: GatewayPlatform,
    logs: LogParts,
) -> anyhow::Result<()> {
    let log = logs.log.clone();
    // The handlers are installed before the host listens, so that an early signal is not lost.
    let mut stop_requests = StopRequests::listen().context("can't handle signals")?;
    let host = tokio::select! {
        started = start_host(settings, platform, logs) => started?,
        () = stop_requests.received() => {
            log_event!(log, LogEvent::StopFinished);
            return Ok(());
        }
    };
    stop_requests.received().await;
    stop::stop(&host).await;
    Ok(())
}

/// Starts the host, and returns it once it accepts callers.
async fn start_host(
    settings: GatewaySettings,
    platform: GatewayPlatform,
    logs: LogParts,
) -> anyhow::Result<Rc<GatewayHost>> {
    let LogParts { log, budget } = logs;
    let caller_listener = listen(settings.callers_listen, &log).await;
    let readiness_listener = listen(settings.readiness_listen, &log).await;
    let incarnation: u64 = rand::rng().random();
    let state = Rc::new(GatewayState::new(&settings, incarnation));
    let pending_host = PendingHost::default();
    let registration_began = Instant::now();
    let registration = register_host(&settings, &platform, &log).await;
    let registration_time = registration_began.elapsed();
    let links = start_links(
        &settings,
        incarnation,
        registration.key,
        &log,
        &pending_host,
    )
    .await?;
    let host = start_parts(
        settings,
        &platform,
        log,
        (incarnation, registration),
        links,
        state,
    )?;
    // No task has run since the links were started, so no message has been received yet.
    let _ = pending_host.set(Rc::clone(&host));
    let mut crash_record = CrashRecordKeeper::new(&host);
    // A host that can't read the record yet starts nevertheless, and reads it later.
    let _ = crash_record.read().await;
    actix_rt::spawn(crash_record.keep());
    actix_rt::spawn(sync::follow_store(
        Rc::clone(&host),
        Rc::clone(&platform.store),
    ));
    actix_rt::spawn(snapshot::log_changes(Rc::clone(&host), budget));
    actix_rt::spawn(metering::serve(Rc::clone(&host)));
    actix_rt::spawn(readiness::serve_readiness(
        Rc::clone(&host),
        readiness_listener,
    ));
    actix_rt::spawn(frontend::accept_callers(Rc::clone(&host), caller_listener));
    log_event!(host.log, LogEvent::HostStarted,
        "registration_ms" => registration_time.as_secs_f64() * 1_000.0);
    Ok(host)
}

/// Registers at the store, retrying until that succeeds.
async fn register_host(
    settings: &GatewaySettings,
    platform: &GatewayPlatform,
    log: &Logger,
) -> RegistrationOutcome {
    let proposed: [u8; 32] = rand::rng().random();
    loop {
        let record = HostRecord {
            host: settings.host.clone(),
            link: settings.link_listen,
        };
        match platform.store.register_host(record, proposed).await {
            Ok(registration) => return registration,
            Err(error) => {
                let error = error.to_string();
                log_event!(log, LogEvent::PlatformFailed, "call" => "join", "error" => error);
            }
        }
        let delay = REGISTRATION_RETRY_DELAY.mul_f64(rand::random_range(0.5..=1.5));
        actix_rt::time::sleep(delay).await;
    }
}

async fn start_links(
    settings: &GatewaySettings,
    incarnation: u64,
    key: [u8; 32],
    log: &Logger,
    pending_host: &PendingHost,
) -> anyhow::Result<Rc<LinkSet>> {
    let host = settings.host.clone();
    let key = SharedKey::new(key);
    let link_settings = LinkSettings::new(host, incarnation, settings.link_listen, key);
    let pending_host = Rc::clone(pending_host);
    let receive = Rc::new(move |from: &HostName, message: LinkMessage| {
        if let Some(host) = pending_host.get() {
            messages::handle(host, from, message);
        }
    });
    Ok(LinkSet::start(link_settings, log, receive).await?)
}

/// Returns the number of descriptors that the process may open; without a bound if it can't be read.
fn descriptor_limit(log: &Logger) -> u64 {
    match getrlimit(Resource::RLIMIT_NOFILE) {
        Ok((limit, _)) => limit,
        Err(error) => {
            let error = error.to_string();
            log_event!(log, LogEvent::DescriptorsUnknown, "error" => error);
            u64::MAX
        }
    }
}

fn start_parts(
    settings: GatewaySettings,
    platform: &GatewayPlatform,
    log: Logger,
    (incarnation, registration): (u64, RegistrationOutcome),
    links: Rc<LinkSet>,
    state: Rc<GatewayState>,
) -> anyhow::Result<Rc<GatewayHost>> {
    let descriptors = descriptor_limit(&log);
    let clock = ProcessClock::start();
    let source: ClockSource = Rc::new(move || clock.now());
    let member_settings = MemberSettings {
        datacenter: settings.datacenter.clone(),
        links: LinkPlan {
            full_mesh_hosts: settings.direct_hosts,
            remote_links: REMOTE_LINKS,
        },
        small_hosts: settings.direct_hosts,
        max_seeds: MAX_SEEDS,
        seed_peers: registration
            .hosts
            .iter()
            .map(|record| record.link)
            .collect(),
    };
    let members = MemberService::start(member_settings, Rc::clone(&links), source);
    members.set_host_class(settings.host_class());
    let cell_state = Rc::clone(&state);
    let configuration: ConfigurationSource = Rc::new(move || cell_state.cell_configuration());
    let network = HostNetwork {
        host: settings.host.clone(),
        datacenter: settings.datacenter.clone(),
        span: settings.cells,
        links: Rc::clone(&links),
        members: Rc::clone(&members),
        configuration,
        known_brokers: BrokerCache::default(),
    };
    let broker_settings = BrokerSettings::default()
        .with_incarnation(incarnation)
        .with_policy(FIRST_TOKEN_POLICY)
        .with_takeover_time(TAKEOVER_TIME)
        .with_suspects(SuspectPlacement::OneByOne)
        .with_late_work(settings.late_work)
        .with_fair_shares(settings.fair_shares);
    let cells = CellService::new(Box::new(network), clock, broker_settings);
    let cells = Rc::new(cells.with_span(settings.cells));
    let host = Rc::new(GatewayHost::from(GatewayParts {
        settings,
        clock,
        log,
        metrics: MetricSet::new()?,
        dialect: Rc::clone(&platform.dialect),
        store: Rc::clone(&platform.store),
        links,
        members,
        cells,
        state,
        incarnation,
        descriptors,
    }));
    start_tasks(&host);
    Ok(host)
}

fn start_tasks(host: &Rc<GatewayHost>) {
    tunnel::serve_tunnels(host);
    let weak = Rc::downgrade(host);
    host.members.on_change(Rc::new(move |change| {
        if let (Some(host), MemberChange::HostLost(name)) = (weak.upgrade(), change) {
            host.cells.host_lost(&name);
        }
    }));
    let weak = Rc::downgrade(host);
    host.links.on_connect(Rc::new(move |name| {
        let host = weak.upgrade();
        let is_large = |host: &Rc<GatewayHost>| host.host_count() > host.settings.direct_hosts;
        if let Some(host) = host.filter(is_large) {
            host.cells.host_linked(name);
        }
    }));
    actix_rt::spawn(Rc::clone(&host.cells).run_ticks());
    actix_rt::spawn(Rc::clone(&host.cells).run_summaries());
    actix_rt::spawn(confirm::confirm_workers(Rc::clone(host)));
    actix_rt::spawn(close_expired_connections(Rc::clone(host)));
    actix_rt::spawn(report_usage(Rc::clone(host)));
    actix_rt::spawn(release::report_evidence(Rc::clone(host)));
    actix_rt::spawn(release::drive_releases(Rc::clone(host)));
    actix_rt::spawn(stream_log::save_streams(Rc::clone(host)));
    actix_rt::spawn(record_activity(Rc::clone(host)));
}

async fn close_expired_connections(host: Rc<GatewayHost>) {
    loop {
        actix_rt::time::sleep(SWEEP_INTERVAL).await;
        host.pool.close_expired(host.clock.now());
    }
}

async fn report_usage(host: Rc<GatewayHost>) {
    for turn in (0..FULL_REPORT_PERIOD * BUNDLES_PER_REPORT).cycle() {
        actix_rt::time::sleep(BUNDLE_INTERVAL).await;
        if turn % BUNDLES_PER_REPORT == 0 {
            host.report_usage(turn == 0);
        }
        host.pass_usage_on();
    }
}
