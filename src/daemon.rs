//! Start-up, delivery of link messages and graceful shutdown of the daemon.

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io::Write;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use rand::RngExt;
use slog::Logger;

use crate::activity::record_activity;
use crate::cell::CellService;
use crate::claims::ClaimService;
use crate::clock::ProcessClock;
use crate::configuration::ConfigurationAgent;
use crate::context::AppliedConfiguration;
use crate::context::HostContext;
use crate::crashes::SharedCrashRegister;
use crate::entry;
use crate::event::LogEvent;
use crate::journal::RequestJournal;
use crate::kernel::broker::BrokerSettings;
use crate::kernel::configuration::Configuration;
use crate::kernel::location::CellSpan;
use crate::kernel::name::HostName;
use crate::link::LinkSet;
use crate::link::LinkSettings;
use crate::link::SharedKey;
use crate::listener::listen;
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
use crate::operator::OperatorService;
use crate::platform::PlatformClient;
use crate::platform::PlatformTimeouts;
use crate::query;
use crate::query::QueryTable;
use crate::server::HttpServer;
use crate::server::StopSignal;
use crate::settings::HostSettings;
use crate::signals::StopRequests;
use crate::watch::UpstreamWatch;
use crate::wire::LinkMessage;

/// The time for which a stopping host still accepts connections, so that load balancers can detect
/// that it is not ready.
pub const NOT_READY_GRACE: Duration = Duration::from_secs(2);

/// The interval at which the daemon checks whether the host is ready or has finished its work.
const STATE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The maximum time that a stopping host waits for the outcomes of claims to be recorded.
const STOP_CLAIMS_TIMEOUT: Duration = Duration::from_secs(10);

/// The time allowed for sending queued messages to other hosts before the process exits.
const STOP_FLUSH_TIME: Duration = Duration::from_millis(200);

/// The maximum number of open connections from operators.
const MAX_OPERATOR_CONNECTIONS: usize = 64;

/// Runs the daemon until it receives SIGTERM or SIGINT and its shutdown is complete. Signals that
/// [`crate::signals::hold`] held back take effect.
///
/// # Errors
///
/// Returns an error if signals can't be handled or the metrics can't be set up. An address that
/// can't be listened on is tried again until it can.
pub fn run(settings: HostSettings) -> anyhow::Result<()> {
    let handle = logging::start(settings.log, &settings.host);
    let log = handle.logger.clone();
    let outcome = actix_rt::System::new().block_on(run_host(settings, log.clone()));
    if let Err(error) = &outcome {
        log_event!(log, LogEvent::StartFailed, "error" => format!("{error:#}"));
    }
    drop(log);
    handle.finish();
    outcome
}

/// The host context, set once it is complete; link messages that arrive before are discarded.
type ContextSlot = Rc<OnceCell<Rc<HostContext>>>;

async fn run_host(settings: HostSettings, log: Logger) -> anyhow::Result<()> {
    // The handlers are installed before the host listens, so that an early signal is not lost.
    let mut stop_requests = StopRequests::listen().context("can't handle signals")?;
    let stop = StopSignal::default();
    let (context, entry) = tokio::select! {
        started = start_host(settings, log.clone(), &stop) => started?,
        () = stop_requests.received() => {
            log_event!(log, LogEvent::StopFinished);
            return Ok(());
        }
    };
    stop_requests.received().await;
    stop_host(&context, &stop, &entry).await;
    Ok(())
}

/// Starts the host, and returns it with its server for callers once it listens on all its addresses.
async fn start_host(
    settings: HostSettings,
    log: Logger,
    stop: &StopSignal,
) -> anyhow::Result<(Rc<HostContext>, HttpServer)> {
    let context = start_context(settings, log).await?;
    let (entry, operators) = start_servers(&context, stop).await?;
    report_started(&context, &entry, &operators)?;
    Ok((context, entry))
}

async fn start_context(settings: HostSettings, log: Logger) -> anyhow::Result<Rc<HostContext>> {
    let clock = ProcessClock::start();
    let source: ClockSource = Rc::new(move || clock.now());
    let incarnation: u64 = rand::rng().random();
    let slot = ContextSlot::default();
    let links = start_links(&settings, incarnation, &log, &slot).await?;
    let member_settings = MemberSettings {
        datacenter: settings.datacenter.clone(),
        links: LinkPlan::SPARSE,
        small_hosts: usize::MAX,
        max_seeds: usize::MAX,
        seed_peers: settings.peers.clone(),
    };
    let members = MemberService::start(member_settings, Rc::clone(&links), Rc::clone(&source));
    let platform = PlatformClient::new(settings.platform, PlatformTimeouts::default());
    let configuration_agent = ConfigurationAgent::start(
        settings.datacenter.clone(),
        Rc::clone(&links),
        Rc::clone(&members),
        Rc::new(platform.clone()),
        source,
        &log,
    );
    let network = HostNetwork {
        host: settings.host.clone(),
        datacenter: settings.datacenter.clone(),
        span: CellSpan::default(),
        links: Rc::clone(&links),
        members: Rc::clone(&members),
        configuration: configuration_of(&configuration_agent),
        known_brokers: BrokerCache::default(),
    };
    let broker_settings = BrokerSettings {
        incarnation,
        ..BrokerSettings::default()
    };
    let cells = CellService::new(Box::new(network), clock, broker_settings);
    let claims = ClaimService::new(platform.clone(), settings.host.clone());
    let crashes = SharedCrashRegister::start(&links, clock);
    let applied = AppliedConfiguration::from(configuration_agent.configuration());
    let context = Rc::new(HostContext {
        settings: Rc::new(settings),
        clock,
        log,
        metrics: MetricSet::new()?,
        configuration_agent,
        members,
        links,
        cells: Rc::new(cells),
        claims,
        platform,
        journal: RefCell::new(RequestJournal::default()),
        crashes,
        applied: RefCell::new(Rc::new(applied)),
        queries: QueryTable::default(),
        leaving: RefCell::new(BTreeSet::new()),
        stopping: StopSignal::default(),
        incarnation,
        sequence: Cell::new(0),
    });
    // There is no await point since the links were started, so no message can have arrived yet.
    let _ = slot.set(Rc::clone(&context));
    start_tasks(&context);
    Ok(context)
}

fn configuration_of(configuration_agent: &Rc<ConfigurationAgent>) -> ConfigurationSource {
    let configuration_agent = Rc::clone(configuration_agent);
    Rc::new(move || configuration_agent.configuration())
}

async fn start_links(
    settings: &HostSettings,
    incarnation: u64,
    log: &Logger,
    slot: &ContextSlot,
) -> anyhow::Result<Rc<LinkSet>> {
    let digest = blake3::hash(settings.shared_key.expose());
    let key = SharedKey::new(*digest.as_bytes());
    let host = settings.host.clone();
    let mut link_settings = LinkSettings::new(host, incarnation, settings.link_listen, key);
    // With port 0 the system assigns the port, so the link set advertises its actual address.
    link_settings.advertise =
        (settings.link_advertise.port() != 0).then_some(settings.link_advertise);
    let slot = Rc::clone(slot);
    let receive = Rc::new(move |from: &HostName, message: LinkMessage| {
        if let Some(context) = slot.get() {
            deliver_message(context, from, message);
        }
    });
    Ok(LinkSet::start(link_settings, log, receive).await?)
}

/// Passes a message from another host to the services that handle it.
fn deliver_message(context: &Rc<HostContext>, from: &HostName, message: LinkMessage) {
    context.members.receive(from, &message);
    context.configuration_agent.receive(from, &message);
    match message {
        LinkMessage::Crash(count) => context.crashes.merge(count),
        LinkMessage::Query { number, text } => query::answer(context, from, number, text),
        LinkMessage::QueryAnswer { number, rows } => context.queries.add_rows(number, from, &rows),
        other => context.cells.receive(from, other),
    }
}

fn start_tasks(context: &Rc<HostContext>) {
    let weak_context = Rc::downgrade(context);
    context.members.on_change(Rc::new(move |change| {
        let Some(context) = weak_context.upgrade() else {
            return;
        };
        if let MemberChange::HostLost(host) = change {
            context.cells.host_lost(&host);
        }
    }));
    actix_rt::spawn(Rc::clone(&context.cells).run_ticks());
    actix_rt::spawn(Rc::clone(&context.cells).run_summaries());
    actix_rt::spawn(watch_readiness(Rc::clone(context)));
    actix_rt::spawn(record_activity(Rc::clone(context)));
    let weak_context = Rc::downgrade(context);
    context
        .configuration_agent
        .on_apply(Rc::new(move |configuration| {
            if let Some(context) = weak_context.upgrade() {
                apply_configuration(&context, configuration);
            }
        }));
    UpstreamWatch::new(Rc::clone(context)).start();
}

/// Puts a configuration in force on this host, before the host reports it to other hosts.
fn apply_configuration(context: &HostContext, configuration: &Arc<Configuration>) {
    let version = configuration.version.0;
    let applied = AppliedConfiguration::from(Arc::clone(configuration));
    context.applied.replace(Rc::new(applied));
    let leaving = context.leaving.borrow().clone();
    context.cells.reconfigure(leaving);
    log_event!(context.log, LogEvent::ConfigurationApplied, "version" => version);
}

/// Logs when the host becomes ready; load balancers poll the readiness endpoint instead.
async fn watch_readiness(context: Rc<HostContext>) {
    while !context.is_ready() {
        actix_rt::time::sleep(STATE_CHECK_INTERVAL).await;
    }
    log_event!(context.log, LogEvent::HostReady);
}

async fn start_servers(
    context: &Rc<HostContext>,
    stop: &StopSignal,
) -> anyhow::Result<(HttpServer, HttpServer)> {
    let settings = Rc::clone(&context.settings);
    let shared = Rc::clone(context);
    let entry = HttpServer::start(
        listen(settings.entry_listen, &context.log).await,
        settings.limits.max_connections,
        stop.clone(),
        move |request| entry::handle(Rc::clone(&shared), request),
    );
    let entry = entry.await?;
    let service = Rc::new(OperatorService::new(Rc::clone(context)));
    let operators = HttpServer::start(
        listen(settings.operator_listen, &context.log).await,
        MAX_OPERATOR_CONNECTIONS,
        StopSignal::default(),
        move |request| Rc::clone(&service).handle(request),
    );
    Ok((entry, operators.await?))
}

/// Logs that the host has started and prints its addresses, which may have system-assigned ports.
fn report_started(
    context: &HostContext,
    entry: &HttpServer,
    operators: &HttpServer,
) -> std::io::Result<()> {
    log_event!(context.log, LogEvent::HostStarted);
    let mut output = std::io::stdout();
    let (entry, operators) = (entry.address(), operators.address());
    let link = context.links.own_address();
    writeln!(
        output,
        "listening entry={entry} operators={operators} link={link}"
    )?;
    output.flush()
}

/// Stops the host without interrupting requests: reports it as not ready and stopping, closes the
/// listener after [`NOT_READY_GRACE`], and waits for active requests and pending claims.
async fn stop_host(context: &HostContext, stop: &StopSignal, entry: &HttpServer) {
    log_event!(context.log, LogEvent::StopRequested);
    context.stopping.stop();
    context.members.set_stopping(true);
    actix_rt::time::sleep(NOT_READY_GRACE).await;
    stop.stop();
    entry.finished().await;
    while context.journal.borrow().active_count() > 0 {
        actix_rt::time::sleep(STATE_CHECK_INTERVAL).await;
    }
    wait_for_claims(context).await;
    actix_rt::time::sleep(STOP_FLUSH_TIME).await;
    context.links.stop();
    log_event!(context.log, LogEvent::StopFinished);
}

/// Waits until the platform has recorded the outcomes of claims, at most [`STOP_CLAIMS_TIMEOUT`].
///
/// A claim without a recorded outcome stays claimed, which is safe: its request does not run again,
/// and an operator can settle it.
async fn wait_for_claims(context: &HostContext) {
    let recorded = async {
        while context.claims.pending_count() > 0 {
            actix_rt::time::sleep(STATE_CHECK_INTERVAL).await;
        }
    };
    let _ = tokio::time::timeout(STOP_CLAIMS_TIMEOUT, recorded).await;
}
