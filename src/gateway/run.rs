//! Start and stop of a gateway host.

use std::cell::OnceCell;
use std::io;
use std::panic;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use rand::RngExt;
use slog::Logger;
use tokio::net::TcpListener;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use super::beliefs;
use super::dialect::GatewayDialect;
use super::document::HostRecord;
use super::document::JoinReading;
use super::front;
use super::host::GatewayHost;
use super::host::GatewayParts;
use super::metering;
use super::readiness;
use super::settings::GatewaySettings;
use super::state::GatewayState;
use super::store::FleetStore;
use super::sync;
use crate::cell::CellService;
use crate::clock::ProcessClock;
use crate::event::LogEvent;
use crate::kernel::broker::BrokerSettings;
use crate::kernel::name::HostName;
use crate::kernel::policy::FIRST_TOKEN_POLICY;
use crate::link::LinkSet;
use crate::link::LinkSettings;
use crate::link::SharedKey;
use crate::log_budget::SharedBudget;
use crate::log_event;
use crate::logging;
use crate::member::ClockSource;
use crate::member::MemberChange;
use crate::member::MemberService;
use crate::member::MemberSettings;
use crate::metrics::MetricSet;
use crate::network::ConfigurationSource;
use crate::network::HostNetwork;
use crate::settings::LogFormat;
use crate::settings::LogSettings;
use crate::wire::LinkMessage;

/// The time between two attempts to register at the store.
const JOIN_PAUSE: Duration = Duration::from_millis(300);

/// The time between two looks at old connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// The messages about quotas of which one tells all, for hosts that missed some.
const FULL_USE_TURNS: u32 = 8;

/// The time between two messages about what was given out of quotas.
const USE_INTERVAL: Duration = Duration::from_millis(250);

/// The time for which a stopping host takes requests, until the balancer has asked twice, a second
/// apart, whether it is ready.
const STOP_NOTICE: Duration = Duration::from_millis(2_500);

/// The time before the kill at which a stopping host ends whatever it still holds.
const STOP_RESERVE: Duration = Duration::from_millis(200);

/// The time between two looks at whether a stopping host holds something.
const STOP_LOOK: Duration = Duration::from_millis(50);

/// The links to another data centre: to all of its hosts, as each may be the broker of a cell and all
/// share quotas.
const ALL_LINKS: usize = usize::MAX;

/// The time in which the entries declare what they run to a broker that takes over.
const TAKEOVER_TIME: Duration = Duration::from_millis(100);

/// What a gateway host is made of beside its settings.
pub struct GatewayPlatform {
    /// The names and formats of headers.
    pub dialect: Rc<dyn GatewayDialect>,
    /// The platform's store.
    pub store: Rc<dyn FleetStore>,
}

impl std::fmt::Debug for GatewayPlatform {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("GatewayPlatform").finish_non_exhaustive()
    }
}

/// Runs a gateway host until it is asked to stop and everything it holds has ended.
///
/// # Errors
///
/// Returns an error if an address can't be listened on.
pub fn run(
    settings: GatewaySettings,
    platform: impl FnOnce(&GatewaySettings, &Logger) -> GatewayPlatform,
) -> anyhow::Result<()> {
    let log_settings = LogSettings {
        format: LogFormat::Json,
        level: slog::Level::Info,
    };
    let handle = logging::start_on(io::stdout(), log_settings, &settings.host);
    let log = handle.logger.clone();
    log_faults(&log);
    let platform = platform(&settings, &log);
    let logs = HostLogs {
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

/// Logs the faults of tasks, whose callers would else lose their connections without a word.
fn log_faults(log: &Logger) {
    let log = log.clone();
    panic::set_hook(Box::new(move |fault| {
        log_event!(log, LogEvent::TaskFailed, "fault" => fault.to_string());
    }));
}

/// Where a host's lines go, and the bound on them.
struct HostLogs {
    log: Logger,
    budget: SharedBudget,
}

type HostSlot = Rc<OnceCell<Rc<GatewayHost>>>;

async fn run_host(
    settings: GatewaySettings,
    platform: GatewayPlatform,
    logs: HostLogs,
) -> anyhow::Result<()> {
    let HostLogs { log, budget } = logs;
    // The handler is in place before anything is announced, so an early signal is not lost.
    let mut terminate = signal(SignalKind::terminate()).context("can't handle SIGTERM")?;
    // Settings are read at the start only; the default action would end the process.
    let _reload = signal(SignalKind::hangup()).context("can't handle SIGHUP")?;
    let callers = listen(settings.callers_listen).await?;
    let questions = listen(settings.readiness_listen).await?;
    let incarnation: u64 = rand::rng().random();
    let state = Rc::new(GatewayState::new(&settings, incarnation));
    let slot = HostSlot::default();
    let joined = join(&settings, &platform, &log).await;
    let links = start_links(&settings, incarnation, joined.key, &log, &slot).await?;
    let host = start_parts(
        settings,
        &platform,
        log,
        (incarnation, joined),
        links,
        state,
    )?;
    // Nothing has waited since the links were started, so no message can have come before.
    let _ = slot.set(Rc::clone(&host));
    actix_rt::spawn(sync::follow_store(
        Rc::clone(&host),
        Rc::clone(&platform.store),
    ));
    actix_rt::spawn(beliefs::log_changes(Rc::clone(&host), budget));
    metering::serve(&host).await?;
    actix_rt::spawn(readiness::answer_questions(Rc::clone(&host), questions));
    actix_rt::spawn(front::accept_callers(Rc::clone(&host), callers));
    log_event!(host.log, LogEvent::HostStarted);
    terminate.recv().await;
    stop(&host).await;
    Ok(())
}

async fn listen(address: std::net::SocketAddr) -> anyhow::Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.with_context(|| format!("can't listen on {address}"))
}

/// Registers at the store, however long that takes.
async fn join(settings: &GatewaySettings, platform: &GatewayPlatform, log: &Logger) -> JoinReading {
    let proposed: [u8; 32] = rand::rng().random();
    loop {
        let record = HostRecord {
            host: settings.host.clone(),
            link: settings.link_listen,
        };
        match platform.store.join(record, proposed).await {
            Ok(joined) => return joined,
            Err(error) => {
                let error = error.to_string();
                log_event!(log, LogEvent::PlatformFailed, "call" => "join", "error" => error);
            }
        }
        let pause = JOIN_PAUSE.mul_f64(rand::random_range(0.5..=1.5));
        actix_rt::time::sleep(pause).await;
    }
}

async fn start_links(
    settings: &GatewaySettings,
    incarnation: u64,
    key: [u8; 32],
    log: &Logger,
    slot: &HostSlot,
) -> anyhow::Result<Rc<LinkSet>> {
    let host = settings.host.clone();
    let key = SharedKey::new(key);
    let link_settings = LinkSettings::new(host, incarnation, settings.link_listen, key);
    let slot = Rc::clone(slot);
    let receive = Rc::new(move |from: &HostName, message: LinkMessage| {
        if let Some(host) = slot.get() {
            receive(host, from, message);
        }
    });
    Ok(LinkSet::start(link_settings, log, receive).await?)
}

fn receive(host: &Rc<GatewayHost>, from: &HostName, message: LinkMessage) {
    host.members.receive(from, &message);
    match message {
        LinkMessage::Strike { digest, strikes } => host.strikes.merge(digest, strikes),
        LinkMessage::Usage(report) => host.learn_use(from, &report),
        LinkMessage::StateWanted(question) => sync::asked(host, from, question),
        LinkMessage::State(news) => sync::learned(host, from, *news),
        other => host.cells.receive(from, other),
    }
}

fn start_parts(
    settings: GatewaySettings,
    platform: &GatewayPlatform,
    log: Logger,
    (incarnation, joined): (u64, JoinReading),
    links: Rc<LinkSet>,
    state: Rc<GatewayState>,
) -> anyhow::Result<Rc<GatewayHost>> {
    let clock = ProcessClock::start();
    let source: ClockSource = Rc::new(move || clock.now());
    let member_settings = MemberSettings {
        datacenter: settings.datacenter.clone(),
        remote_links: ALL_LINKS,
        seed_peers: joined.hosts.iter().map(|record| record.link).collect(),
    };
    let members = MemberService::start(member_settings, Rc::clone(&links), source);
    members.set_host_class(settings.strength());
    let shared = Rc::clone(&state);
    let configuration: ConfigurationSource = Rc::new(move || shared.cell_configuration());
    let network = HostNetwork {
        host: settings.host.clone(),
        datacenter: settings.datacenter.clone(),
        span: settings.cells,
        links: Rc::clone(&links),
        members: Rc::clone(&members),
        configuration,
    };
    let broker_settings = BrokerSettings::default()
        .with_incarnation(incarnation)
        .with_policy(FIRST_TOKEN_POLICY)
        .with_takeover_time(TAKEOVER_TIME);
    let cells = CellService::new(Box::new(network), clock, broker_settings);
    let cells = Rc::new(cells.with_span(settings.cells));
    let host = Rc::new(GatewayHost::from(GatewayParts {
        settings,
        clock,
        log,
        metrics: MetricSet::new()?,
        dialect: Rc::clone(&platform.dialect),
        links,
        members,
        cells,
        state,
        incarnation,
    }));
    start_tasks(&host);
    Ok(host)
}

fn start_tasks(host: &Rc<GatewayHost>) {
    let lost = Rc::downgrade(host);
    host.members.on_change(Rc::new(move |change| {
        if let (Some(host), MemberChange::HostLost(name)) = (lost.upgrade(), change) {
            host.cells.host_lost(&name);
        }
    }));
    actix_rt::spawn(Rc::clone(&host.cells).run_ticks());
    actix_rt::spawn(Rc::clone(&host.cells).run_summaries());
    actix_rt::spawn(sweep(Rc::clone(host)));
    actix_rt::spawn(tell_use(Rc::clone(host)));
}

async fn sweep(host: Rc<GatewayHost>) {
    loop {
        actix_rt::time::sleep(SWEEP_INTERVAL).await;
        host.pool.sweep(host.clock.now());
    }
}

async fn tell_use(host: Rc<GatewayHost>) {
    for turn in (0..FULL_USE_TURNS).cycle() {
        actix_rt::time::sleep(USE_INTERVAL).await;
        host.tell_use(turn == 0);
    }
}

/// Stops without cutting a request: the balancer and the other hosts are told, and answers close
/// their connections; then idle connections are closed and nothing is taken any more; the process
/// ends once nothing is held or the kill is near.
async fn stop(host: &GatewayHost) {
    log_event!(host.log, LogEvent::StopRequested);
    let begin = host.clock.now();
    let last = host.settings.bounds.stop().saturating_sub(STOP_RESERVE);
    host.draining.stop();
    host.members.set_stopping(true);
    loop {
        actix_rt::time::sleep(STOP_LOOK).await;
        let passed = host.clock.now().since(begin);
        let noticed = passed >= STOP_NOTICE;
        if noticed {
            host.closing.stop();
        }
        if (noticed && host.held() == 0) || passed >= last {
            break;
        }
    }
    host.links.stop();
    log_event!(host.log, LogEvent::StopFinished);
}
