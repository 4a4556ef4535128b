//! A small deployment: the store with a configuration, and gateway processes of the release build.

use std::env;
use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::store::Store;

/// The data centres, each with its region.
pub const ZONES: [(&str, &str); 3] = [
    ("sapporo-a", "sapporo"),
    ("asahikawa-a", "asahikawa"),
    ("kushiro-a", "kushiro"),
];

/// The program that the deploy file starts.
const PROGRAM: &str = "target/release/borageladder-gateway";

/// Returns a free loopback address whose port the kernel gives to no outgoing connection meanwhile.
fn free_address() -> SocketAddr {
    static TRIED: AtomicU32 = AtomicU32::new(0);
    loop {
        let next = TRIED.fetch_add(1, Ordering::Relaxed);
        let offset = (std::process::id().wrapping_mul(97).wrapping_add(next)) % 20_000;
        let port = 11_000 + u16::try_from(offset).unwrap_or(0);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// A gateway process.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub process: Child,
    settings: PathBuf,
    log: PathBuf,
}

impl Gateway {
    /// Starts the host with the number, with the settings of `deploy/settings.toml`.
    pub fn start(number: usize, store: SocketAddr) -> Self {
        let (zone, _) = ZONES[number % ZONES.len()];
        let name = format!("edge-{zone}-{number}");
        let addresses: Vec<SocketAddr> = (0..4).map(|_| free_address()).collect();
        let zones: Vec<String> = ZONES
            .iter()
            .map(|(zone, region)| format!("{zone} = \"{region}\""))
            .collect();
        let settings = format!(
            "host = \"{name}\"\ndatacenter = \"{zone}\"\ncallers_listen = \"{}\"\n\
             readiness_listen = \"{}\"\nlink_listen = \"{}\"\nmetrics_listen = \"{}\"\n\
             store = \"{store}\"\ncells = \"deployment\"\nprocessor_cores = 0.25\n\
             link_megabits = 1000.0\n\n[datacenters]\n{}\n\n[bounds]\nrevocation_ms = 5000\n\
             stop_s = 8\nretry_ratio = 0.2\nretry_window_s = 10\nretry_headroom = 56\n\
             quota_window_s = 8\nquota_ratio = 0.1\nquota_headroom = 140000\n",
            addresses[0],
            addresses[1],
            addresses[2],
            addresses[3],
            zones.join("\n")
        );
        let folder = env::temp_dir();
        let path = folder.join(format!("review-{}-{name}.toml", std::process::id()));
        let log = folder.join(format!("review-{}-{name}.log", std::process::id()));
        fs::write(&path, settings).expect("the settings can be written");
        let process = start_program(&path, &log);
        Self {
            name,
            callers: addresses[0],
            readiness: addresses[1],
            process,
            settings: path,
            log,
        }
    }

    /// Starts the program again, with the same settings.
    pub fn restart(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        self.process = start_program(&self.settings, &self.log);
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let process = self.process.id().to_string();
        let _ = Command::new("kill").args(["-s", name, &process]).status();
    }

    /// Returns whether the host says that it is ready.
    pub fn is_ready(&self) -> bool {
        let time = Duration::from_millis(500);
        let Ok(mut connection) = Connection::open(self.readiness, time) else {
            return false;
        };
        let _ = connection.stream.set_read_timeout(Some(time));
        let call = "GET /borageladder/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let sent = connection.write(call.as_bytes());
        let answer = sent.and_then(|()| connection.read()).ok().flatten();
        answer.is_some_and(|answer| answer.status() == 200)
    }

    /// Returns the resident memory of the process in MB.
    pub fn memory_mb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.process.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kb = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kb.unwrap_or(0) / 1024
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = fs::remove_file(&self.settings);
        if env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_file(&self.log);
        } else {
            eprintln!("log of {}: {}", self.name, self.log.display());
        }
    }
}

fn start_program(settings: &PathBuf, log: &PathBuf) -> Child {
    let output = File::options().create(true).append(true).open(log);
    let process = Command::new(PROGRAM)
        .env_clear()
        .env("BORAGELADDER_BOOT", settings)
        .env("PATH", env::var_os("PATH").unwrap_or_default())
        .stdin(Stdio::null())
        .stdout(output.expect("the log can be written"))
        .stderr(Stdio::inherit())
        .spawn()
        .unwrap_or_else(|error| cannot_run(&format!("{PROGRAM}: {error}")));
    note_process(&process);
    process
}

/// Notes a process that was started, so that it is ended also if this one is killed.
pub fn note_process(process: &Child) {
    let Some(path) = env::var_os("REVIEW_PROCESSES") else {
        return;
    };
    if let Ok(mut file) = File::options().append(true).open(path) {
        let _ = writeln!(file, "{}", process.id());
    }
}

/// Starts hosts and waits until all are ready.
pub fn start_gateways(count: usize, store: &Store) -> Vec<Gateway> {
    let gateways: Vec<Gateway> = (0..count)
        .map(|number| Gateway::start(number, store.address))
        .collect();
    let began = Instant::now();
    while !gateways.iter().all(Gateway::is_ready) {
        if began.elapsed() > Duration::from_secs(15) {
            drop(gateways);
            cannot_run("the hosts are not ready");
        }
        thread::sleep(Duration::from_millis(50));
    }
    // The hosts have found each other by then.
    thread::sleep(Duration::from_secs(2));
    gateways
}

/// Ends with the status for a case that could not run.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("can't run: {reason}");
    std::process::exit(2)
}

/// Returns whether the disruption takes place.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").as_deref() != Ok("0")
}

/// The record of what was sent, answered and run.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the file that the first argument after the case names.
    pub fn create() -> Self {
        let path = env::args()
            .nth(2)
            .unwrap_or_else(|| "record.txt".to_owned());
        Self {
            began: Instant::now(),
            file: Mutex::new(File::create(path).expect("the record can be written")),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("a lock");
        let _ = writeln!(file, "{at:9.3} {text}");
    }

    /// Returns the seconds since the start of the record.
    pub fn seconds(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }
}
