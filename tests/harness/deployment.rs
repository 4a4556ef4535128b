//! A complete deployment on loopback: platform, engines, plain services and hosts.

use std::cell::RefCell;
use std::fmt::Debug;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::str::FromStr;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use borageladder::kernel::clock::ClockTime;
use borageladder::kernel::membership::HostClass;
use borageladder::kernel::membership::LivenessSignal;
use borageladder::kernel::membership::Membership;
use borageladder::kernel::name::HostName;

use super::client::Answer;
use super::client::Call;
use super::client::PendingCall;
use super::ports::free_addresses;
use super::process::TestProcess;
use super::process::program;
use super::relay::TestRelay;

/// The workspace key in every test deployment.
pub const KEY: &str = "test-workspace-key";

/// The operator token in every test deployment.
const TOKEN: &str = "test-operator-token";

/// The interval at which an awaited condition is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The number of checks after which a wait fails the test.
const MAX_CHECKS: u32 = 600;

/// The composition of a test deployment.
#[derive(Clone, Debug)]
pub struct DeploymentPlan {
    /// The data centre of each host, in order.
    pub hosts: Vec<&'static str>,
    /// The data centre and the options of each engine, in order.
    pub engines: Vec<(&'static str, Vec<&'static str>)>,
    /// The data centre of each instance of the plain service, in order.
    pub plain: Vec<&'static str>,
    /// Additional operator commands, run after those that every deployment needs.
    pub script: String,
    /// Whether links and platform connections go through relays, so that tests can interrupt them.
    pub relayed: bool,
    /// The length of the longest body that the hosts accept, in bytes.
    pub max_body_bytes: usize,
}

impl Default for DeploymentPlan {
    fn default() -> Self {
        Self {
            hosts: vec!["sapporo-a", "sapporo-a", "asahikawa-a"],
            engines: vec![("sapporo-a", Vec::new()), ("sapporo-a", Vec::new())],
            plain: vec!["sapporo-a"],
            script: String::new(),
            relayed: false,
            max_body_bytes: 1 << 20,
        }
    }
}

/// A daemon with its addresses and settings.
#[derive(Debug)]
pub struct TestHost {
    /// The process; `None` while the host is stopped.
    pub process: Option<TestProcess>,
    /// The listen address for callers.
    pub entry: SocketAddr,
    /// The listen address for operators.
    pub operator: SocketAddr,
    /// The listen address for links between hosts.
    pub link: SocketAddr,
    /// The data centre.
    pub datacenter: &'static str,
    /// The relay through which other hosts reach this one.
    link_relay: Option<TestRelay>,
    /// The relay through which this host reaches the platform.
    platform_relay: Option<TestRelay>,
    /// The path of the settings file.
    settings: PathBuf,
}

/// A running stand-in for the platform or an upstream.
#[derive(Debug)]
pub struct TestStandin {
    /// The process.
    pub process: RefCell<TestProcess>,
    /// The listen address.
    pub address: SocketAddr,
}

/// A running deployment whose processes are killed when it is dropped.
#[derive(Debug)]
pub struct Deployment {
    /// The platform.
    pub platform: TestStandin,
    /// The engines, named `engine-1` and so on.
    pub engines: Vec<TestStandin>,
    /// The instances of the plain service `casebook`, named `casebook-1` and so on.
    pub plain: Vec<TestStandin>,
    /// The hosts, named `host-1` and so on.
    pub hosts: Vec<TestHost>,
    folder: PathBuf,
    relayed: bool,
    max_body_bytes: usize,
}

impl TestHost {
    /// Returns the address that other hosts use for links to this one.
    fn link_address(&self) -> SocketAddr {
        self.link_relay
            .as_ref()
            .map_or(self.link, TestRelay::address)
    }
}

impl TestStandin {
    /// Returns the identifiers of the requests that an upstream received, each as often as it
    /// arrived; none if the upstream does not answer.
    pub fn received(&self) -> Vec<String> {
        let log = Call::get("/log").send(self.address).json();
        let requests = log["requests"].as_array().cloned().unwrap_or_default();
        requests
            .iter()
            .filter_map(|id| id.as_str().map(str::to_owned))
            .collect()
    }

    /// Changes the injected faults of a stand-in.
    pub fn control(&self, faults: &serde_json::Value) {
        let answer = Call::post("/control", faults.to_string()).send(self.address);
        assert!(
            (200..300).contains(&answer.status),
            "{faults}: {} {}",
            answer.status,
            answer.body
        );
    }
}

impl Deployment {
    /// Starts all processes, creates the first configuration and waits until every host is ready.
    pub fn start(plan: &DeploymentPlan) -> Self {
        let folder = new_folder();
        let platform = start_standin(&folder, "platform", &["platform"]);
        let engines = start_engines(&folder, plan);
        let plain_instances = start_plain(&folder, plan);
        let mut deployment = Self {
            platform,
            engines,
            plain: plain_instances,
            hosts: Vec::new(),
            folder,
            relayed: plan.relayed,
            max_body_bytes: plan.max_body_bytes,
        };
        deployment.add_hosts(&plan.hosts);
        let script = deployment.script(plan);
        deployment.command(0, &script);
        for host in 0..deployment.hosts.len() {
            deployment.wait_ready(host);
        }
        deployment
    }

    /// Returns the request that runs a script of operator commands.
    pub fn operator_call(script: &str) -> Call {
        Call::post("/operator/command", script).key(TOKEN)
    }

    /// Runs a script of operator commands on a host and returns the answer.
    ///
    /// An error in the answer fails the test.
    pub fn command(&self, host: usize, script: &str) -> serde_json::Value {
        let answer = Self::operator_call(script).send(self.hosts[host].operator);
        let value = answer.json();
        assert!(
            value["error"].is_null(),
            "{script}: {} {}",
            answer.status,
            answer.body
        );
        value
    }

    /// Sends a request with the workspace key to the entry of a host and waits for the answer.
    pub fn call(&self, host: usize, call: &Call) -> Answer {
        call.clone().key(KEY).send(self.hosts[host].entry)
    }

    /// Starts a call with the workspace key to the entry of a host.
    pub fn start_call(&self, host: usize, call: &Call) -> PendingCall {
        call.clone().key(KEY).start(self.hosts[host].entry)
    }

    /// Sends a signal to the process of a host.
    pub fn signal(&self, host: usize, name: &str) {
        let process = self.hosts[host].process.as_ref();
        process.expect("the host runs").signal(name);
    }

    /// Interrupts the links that other hosts dialed to a host, and its platform connections, until
    /// [`Self::restore`].
    pub fn interrupt(&self, host: usize) {
        for relay in self.relays(host) {
            relay.interrupt();
        }
    }

    /// Interrupts the links that other hosts dialed to a host, until [`Self::restore`].
    pub fn interrupt_links(&self, host: usize) {
        let relay = self.hosts[host].link_relay.as_ref();
        relay.expect("the deployment is relayed").interrupt();
    }

    /// Ends the interruptions by [`Self::interrupt`] and [`Self::interrupt_links`].
    pub fn restore(&self, host: usize) {
        for relay in self.relays(host) {
            relay.restore();
        }
    }

    /// Waits until `show running` on the host lists at least `count` requests.
    pub fn wait_running(&self, host: usize, count: usize) {
        wait_until("the requests run", || {
            self.rows(host, "show running").len() >= count
        });
    }

    /// Waits until `show waiting` on the host lists at least `count` requests.
    pub fn wait_waiting(&self, host: usize, count: usize) {
        wait_until("the requests wait", || {
            self.rows(host, "show waiting").len() >= count
        });
    }

    /// Waits until `show hosts` on each of these hosts lists as many hosts.
    pub fn wait_linked(&self, hosts: &[usize]) {
        for host in hosts {
            wait_until("the hosts are linked", || {
                self.rows(*host, "show hosts").len() == hosts.len()
            });
        }
    }

    /// Returns the index of the broker's host, provided all hosts of the data centre are alive.
    pub fn broker_of(&self, service: &str, datacenter: &str) -> usize {
        let inside = self.hosts.iter().enumerate();
        let inside = inside.filter(|(_, host)| host.datacenter == datacenter);
        let names: Vec<(usize, HostName)> = inside
            .map(|(index, _)| (index, parse_name(&format!("host-{}", index + 1))))
            .collect();
        let (_, first) = names.first().expect("the data centre has a host");
        let mut membership = Membership::new(first.clone(), parse_name(datacenter));
        for (index, name) in &names {
            let signal = LivenessSignal {
                datacenter: parse_name(datacenter),
                incarnation: 0,
                stopping: false,
                host_class: HostClass::default(),
                address: self.hosts[*index].link,
                sent: ClockTime::ZERO,
            };
            membership.record_heartbeat(ClockTime::ZERO, name, signal);
        }
        let broker = membership.broker(&parse_name(service), &parse_name(datacenter));
        let found = names.iter().find(|(_, name)| Some(name) == broker);
        found.expect("a broker is alive").0
    }

    /// Fails the test if the running upstreams together received any request more than once.
    ///
    /// The log of an upstream is lost when its process ends; [`DispatchLedger`] can save it before.
    ///
    /// [`DispatchLedger`]: super::ledger::DispatchLedger
    pub fn assert_no_double_dispatch(&self) {
        let upstreams = self.engines.iter().chain(&self.plain);
        let mut requests: Vec<String> = upstreams.flat_map(TestStandin::received).collect();
        let total = requests.len();
        requests.sort();
        requests.dedup();
        assert_eq!(requests.len(), total, "a request was dispatched twice");
    }

    /// Waits until the readiness check of a host succeeds.
    pub fn wait_ready(&self, host: usize) {
        let entry = self.hosts[host].entry;
        wait_until("a host is ready", || {
            Call::get("/health/ready").send(entry).status == 200
        });
    }

    /// Starts another host in the data centre and returns its index.
    pub fn add_host(&mut self, datacenter: &'static str) -> usize {
        self.add_hosts(&[datacenter]);
        self.hosts.len() - 1
    }

    /// Kills a host's process and starts a new one with the same settings.
    pub fn restart_host(&mut self, host: usize) {
        self.hosts[host].process = None;
        self.start_host(host);
    }

    /// Returns the rows of the table that a query returns.
    pub fn rows(&self, host: usize, query: &str) -> Vec<serde_json::Value> {
        let answer = self.command(host, query);
        answer["results"][0]["table"]["rows"]
            .as_array()
            .cloned()
            .unwrap_or_default()
    }

    /// Starts the process of a host with its existing settings file.
    pub fn start_host(&mut self, host: usize) {
        let settings = self.hosts[host].settings.display().to_string();
        let log = self.hosts[host].settings.with_extension("log");
        let (process, line) = TestProcess::start(&program("borageladderd"), &[&settings], &log);
        assert!(
            line.starts_with("listening"),
            "{settings}: {line:?}, see {}",
            log.display()
        );
        self.hosts[host].process = Some(process);
    }

    fn relays(&self, host: usize) -> impl Iterator<Item = &TestRelay> {
        let host = &self.hosts[host];
        host.link_relay.iter().chain(&host.platform_relay)
    }

    fn add_hosts(&mut self, datacenters: &[&'static str]) {
        for datacenter in datacenters {
            let number = self.hosts.len() + 1;
            let addresses = free_addresses::<3>();
            let settings = self.folder.join(format!("host-{number}.toml"));
            let host = TestHost {
                process: None,
                entry: addresses[0],
                operator: addresses[1],
                link: addresses[2],
                datacenter,
                link_relay: self.relayed.then(|| TestRelay::start(addresses[2])),
                platform_relay: self
                    .relayed
                    .then(|| TestRelay::start(self.platform.address)),
                settings,
            };
            fs::write(
                &host.settings,
                self.settings_text(number, datacenter, &host),
            )
            .expect("settings can be written");
            self.hosts.push(host);
            self.start_host(number - 1);
        }
    }

    fn settings_text(&self, number: usize, datacenter: &str, host: &TestHost) -> String {
        let key_file = self.folder.join("shared.key");
        fs::write(&key_file, "a shared key for tests only").expect("the key can be written");
        let peers: Vec<String> = self
            .hosts
            .iter()
            .map(|other| format!("{:?}", other.link_address().to_string()))
            .collect();
        format!(
            "host = \"host-{number}\"\ndatacenter = \"{datacenter}\"\nregion = \"{}\"\n\
             entry_listen = \"{}\"\noperator_listen = \"{}\"\nlink_listen = \"{}\"\n\
             link_advertise = \"{}\"\n\
             peers = [{}]\nplatform = \"{}\"\nshared_key_file = \"shared.key\"\n\
             [[operators]]\nname = \"tester\"\ntoken_digest = \"{}\"\n\
             [limits]\nmax_body_bytes = {}\n[log]\nformat = \"json\"\nlevel = \"info\"\n",
            region(datacenter),
            host.entry,
            host.operator,
            host.link,
            host.link_address(),
            peers.join(", "),
            host.platform_relay
                .as_ref()
                .map_or(self.platform.address, TestRelay::address),
            blake3::hash(TOKEN.as_bytes()).to_hex(),
            self.max_body_bytes,
        )
    }

    fn script(&self, plan: &DeploymentPlan) -> String {
        let mut lines = vec![
            "set tier urgent deadline 30s".to_owned(),
            "set tier normal deadline 60s".to_owned(),
            "set tier batch deadline 15m".to_owned(),
        ];
        let mut datacenters: Vec<&str> = plan.hosts.clone();
        datacenters.extend(plan.engines.iter().map(|(datacenter, _)| *datacenter));
        datacenters.extend(&plan.plain);
        datacenters.sort_unstable();
        datacenters.dedup();
        for datacenter in datacenters {
            lines.push(format!(
                "set datacenter {datacenter} region {}",
                region(datacenter)
            ));
        }
        let digest = blake3::hash(KEY.as_bytes()).to_hex();
        lines.push(format!(
            "set workspace reps key-digest {digest} max-requests 1000"
        ));
        lines.push("set service drafter engine models quill-8b".to_owned());
        lines.push("set service casebook plain non-idempotent".to_owned());
        for (index, (datacenter, _)) in plan.engines.iter().enumerate() {
            let address = self.engines[index].address;
            lines.push(worker_line(
                &format!("engine-{}", index + 1),
                "drafter",
                datacenter,
                address,
            ));
        }
        for (index, datacenter) in plan.plain.iter().enumerate() {
            let name = format!("casebook-{}", index + 1);
            lines.push(worker_line(
                &name,
                "casebook",
                datacenter,
                self.plain[index].address,
            ));
        }
        lines.push("set rule hearing tier urgent when header.x-kind = hearing".to_owned());
        lines.push("set rule filing tier urgent when service = casebook".to_owned());
        lines.push("set rule drafts tier normal when prompt < 2000".to_owned());
        lines.push(plan.script.clone());
        lines.join("\n")
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        // The logs of a failed test are kept for diagnosis.
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Polls until a condition holds; fails the test after the last check.
pub fn wait_until(condition: &str, mut holds: impl FnMut() -> bool) {
    for _ in 0..MAX_CHECKS {
        if holds() {
            return;
        }
        std::thread::sleep(CHECK_INTERVAL);
    }
    panic!("timed out waiting until {condition}");
}

fn parse_name<T: FromStr>(text: &str) -> T
where
    T::Err: Debug,
{
    text.parse().expect("the text is a name")
}

fn worker_line(name: &str, service: &str, datacenter: &str, address: SocketAddr) -> String {
    format!(
        "set worker {name} service {service} datacenter {datacenter} address {address} max-running 8"
    )
}

fn region(datacenter: &str) -> &str {
    datacenter.split('-').next().unwrap_or(datacenter)
}

fn start_engines(folder: &Path, plan: &DeploymentPlan) -> Vec<TestStandin> {
    let start = |(index, (_, options)): (usize, &(&str, Vec<&str>))| {
        let name = format!("engine-{}", index + 1);
        let mut arguments = vec!["engine", "--name", &name, "--model", "quill-8b"];
        arguments.extend(options);
        start_standin(folder, &name, &arguments)
    };
    plan.engines.iter().enumerate().map(start).collect()
}

fn start_plain(folder: &Path, plan: &DeploymentPlan) -> Vec<TestStandin> {
    let start = |index: usize| {
        let name = format!("casebook-{}", index + 1);
        start_standin(folder, &name, &["plain", "--name", &name])
    };
    (0..plan.plain.len()).map(start).collect()
}

fn start_standin(folder: &Path, name: &str, arguments: &[&str]) -> TestStandin {
    let mut arguments = arguments.to_vec();
    arguments.extend(["--listen", "127.0.0.1:0"]);
    let log = folder.join(format!("{name}.log"));
    let (process, line) = TestProcess::start(&program("borageladder-standin"), &arguments, &log);
    let address = line
        .strip_prefix("listening on ")
        .and_then(|text| text.parse().ok());
    let address = address.unwrap_or_else(|| panic!("{name}: {line:?}, see {}", log.display()));
    TestStandin {
        process: RefCell::new(process),
        address,
    }
}

fn new_folder() -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("deployment-{}-{number}", std::process::id());
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::create_dir_all(&folder).expect("a folder can be made");
    folder
}
