//! A whole deployment on loopback: platform, engines, plain services and hosts.

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
use super::process::TestProcess;
use super::process::free_addresses;
use super::process::program;
use super::relay::TestRelay;

/// The key of the workspace that every deployment has.
pub const KEY: &str = "test-workspace-key";

/// The token of the operator that every deployment has.
const TOKEN: &str = "test-operator-token";

/// The pause between two looks at a state that a test waits for.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// The number of looks after which a test counts as hung.
const MAX_LOOKS: u32 = 600;

/// What a deployment consists of.
#[derive(Clone, Debug)]
pub struct DeploymentPlan {
    /// The data centre of each host, in order.
    pub hosts: Vec<&'static str>,
    /// The data centre and the options of each engine, in order.
    pub engines: Vec<(&'static str, Vec<&'static str>)>,
    /// The data centre of each plain service, in order.
    pub plain: Vec<&'static str>,
    /// Further lines of the operators' script.
    pub script: String,
    /// Whether links and the platform are reached through relays that can be cut.
    pub relayed: bool,
}

impl Default for DeploymentPlan {
    fn default() -> Self {
        Self {
            hosts: vec!["sapporo-a", "sapporo-a", "asahikawa-a"],
            engines: vec![("sapporo-a", Vec::new()), ("sapporo-a", Vec::new())],
            plain: vec!["sapporo-a"],
            script: String::new(),
            relayed: false,
        }
    }
}

/// A running daemon.
#[derive(Debug)]
pub struct TestHost {
    /// The process; `None` after it was taken out.
    pub process: Option<TestProcess>,
    /// The address for callers.
    pub entry: SocketAddr,
    /// The address for operators.
    pub operator: SocketAddr,
    /// The address for links.
    pub link: SocketAddr,
    /// The data centre.
    pub datacenter: &'static str,
    /// The relay through which other hosts reach this one.
    link_relay: Option<TestRelay>,
    /// The relay through which this host reaches the platform.
    platform_relay: Option<TestRelay>,
    settings: PathBuf,
}

/// A running stand-in.
#[derive(Debug)]
pub struct TestStandin {
    /// The process.
    pub process: RefCell<TestProcess>,
    /// The address on which it listens.
    pub address: SocketAddr,
}

/// A running deployment, which ends when it is dropped.
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
}

impl TestHost {
    /// Returns the address at which other hosts reach this one.
    fn link_address(&self) -> SocketAddr {
        self.link_relay
            .as_ref()
            .map_or(self.link, TestRelay::address)
    }
}

impl TestStandin {
    /// Returns the request identifiers that an upstream received, with repeats.
    pub fn received(&self) -> Vec<String> {
        let log = Call::get("/log").send(self.address).json();
        let requests = log["requests"].as_array().cloned().unwrap_or_default();
        requests
            .iter()
            .filter_map(|id| id.as_str().map(str::to_owned))
            .collect()
    }

    /// Changes the faults of a stand-in.
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
    /// Starts all processes, makes the first configuration and waits until every host is ready.
    pub fn start(plan: &DeploymentPlan) -> Self {
        let folder = new_folder();
        let platform = start_standin(&folder, "platform", &["platform"]);
        let engines = start_engines(&folder, plan);
        let casebooks = start_plain(&folder, plan);
        let mut deployment = Self {
            platform,
            engines,
            plain: casebooks,
            hosts: Vec::new(),
            folder,
            relayed: plan.relayed,
        };
        deployment.add_hosts(&plan.hosts);
        let script = deployment.script(plan);
        deployment.command(0, &script);
        for host in 0..deployment.hosts.len() {
            deployment.wait_ready(host);
        }
        deployment
    }

    /// Returns the call that runs an operators' script.
    pub fn operator_call(script: &str) -> Call {
        Call::post("/operator/command", script).key(TOKEN)
    }

    /// Runs an operators' script on a host and returns the whole answer.
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

    /// Makes a call at the entry of a host, with the workspace key.
    pub fn call(&self, host: usize, call: &Call) -> Answer {
        call.clone().key(KEY).send(self.hosts[host].entry)
    }

    /// Starts a call at the entry of a host, with the workspace key.
    pub fn start_call(&self, host: usize, call: &Call) -> PendingCall {
        call.clone().key(KEY).start(self.hosts[host].entry)
    }

    /// Sends a signal to the process of a host.
    pub fn signal(&self, host: usize, name: &str) {
        let process = self.hosts[host].process.as_ref();
        process.expect("the host runs").signal(name);
    }

    /// Cuts the links that other hosts dialed to a host, and its way to the platform.
    pub fn cut(&self, host: usize) {
        for relay in self.relays(host) {
            relay.cut();
        }
    }

    /// Cuts the links that other hosts dialed to a host.
    pub fn cut_links(&self, host: usize) {
        let relay = self.hosts[host].link_relay.as_ref();
        relay.expect("the deployment is relayed").cut();
    }

    /// Ends what [`Self::cut`] and [`Self::cut_links`] did.
    pub fn mend(&self, host: usize) {
        for relay in self.relays(host) {
            relay.mend();
        }
    }

    /// Waits until the hosts know of at least so many running requests.
    pub fn wait_running(&self, host: usize, count: usize) {
        wait_until("the requests run", || {
            self.rows(host, "show running").len() >= count
        });
    }

    /// Waits until the hosts know of at least so many waiting requests.
    pub fn wait_waiting(&self, host: usize, count: usize) {
        wait_until("the requests wait", || {
            self.rows(host, "show waiting").len() >= count
        });
    }

    /// Waits until every host of the indices shows exactly these hosts as alive.
    pub fn wait_linked(&self, hosts: &[usize]) {
        for host in hosts {
            wait_until("the hosts are linked", || {
                self.rows(*host, "show hosts").len() == hosts.len()
            });
        }
    }

    /// Returns the index of the broker's host if all hosts of the data centre are alive.
    pub fn broker_of(&self, service: &str, datacenter: &str) -> usize {
        let inside = self.hosts.iter().enumerate();
        let inside = inside.filter(|(_, host)| host.datacenter == datacenter);
        let names: Vec<(usize, HostName)> = inside
            .map(|(index, _)| (index, parsed(&format!("host-{}", index + 1))))
            .collect();
        let (_, first) = names.first().expect("the data centre has a host");
        let mut membership = Membership::new(first.clone(), parsed(datacenter));
        for (index, name) in &names {
            let sign = LivenessSignal {
                datacenter: parsed(datacenter),
                incarnation: 0,
                stopping: false,
                class: HostClass::default(),
                address: self.hosts[*index].link,
                sent: ClockTime::ZERO,
            };
            membership.record_heartbeat(ClockTime::ZERO, name, sign);
        }
        let broker = membership.broker(&parsed(service), &parsed(datacenter));
        let found = names.iter().find(|(_, name)| Some(name) == broker);
        found.expect("a broker is alive").0
    }

    /// Fails the test if any upstream received a request more than once, or two did.
    pub fn assert_no_double_dispatch(&self) {
        let upstreams = self.engines.iter().chain(&self.plain);
        let mut all: Vec<String> = upstreams.flat_map(TestStandin::received).collect();
        let total = all.len();
        all.sort();
        all.dedup();
        assert_eq!(all.len(), total, "a request was dispatched twice");
    }

    /// Waits until a host says that it is ready.
    pub fn wait_ready(&self, host: usize) {
        let entry = self.hosts[host].entry;
        wait_until("a host is ready", || {
            Call::get("/health/ready").send(entry).status == 200
        });
    }

    /// Starts a further host in the data centre and returns its index.
    pub fn add_host(&mut self, datacenter: &'static str) -> usize {
        self.add_hosts(&[datacenter]);
        self.hosts.len() - 1
    }

    /// Stops a host's process at once and starts a new one with the same settings.
    pub fn restart_host(&mut self, host: usize) {
        self.hosts[host].process = None;
        self.start_host(host);
    }

    /// Returns the rows of a query's only table.
    pub fn rows(&self, host: usize, query: &str) -> Vec<serde_json::Value> {
        let answer = self.command(host, query);
        answer["results"][0]["table"]["rows"]
            .as_array()
            .cloned()
            .unwrap_or_default()
    }

    /// Starts the process of a host whose settings were written before.
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
            let addresses = free_addresses(3);
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
             [limits]\nmax_body_bytes = 1048576\n[log]\nformat = \"json\"\nlevel = \"info\"\n",
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
        // Logs stay for whoever reads a failure.
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Looks again and again until a condition holds; fails the test if it never does.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    for _ in 0..MAX_LOOKS {
        if holds() {
            return;
        }
        std::thread::sleep(LOOK_INTERVAL);
    }
    panic!("waited in vain until {what}");
}

fn parsed<T: FromStr>(text: &str) -> T
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
