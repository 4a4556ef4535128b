//! Child processes of a test, killed when the test drops them.

use std::io::BufRead;
use std::io::BufReader;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

/// A process that is killed when it is dropped.
#[derive(Debug)]
pub struct TestProcess {
    child: Child,
}

impl TestProcess {
    /// Starts a program and returns it with the first line of its standard output.
    ///
    /// Its standard error goes to the file `log`.
    pub fn start(program: &PathBuf, arguments: &[&str], log: &PathBuf) -> (Self, String) {
        let log = std::fs::File::create(log).expect("the log file can be created");
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| panic!("{}: {error}", program.display()));
        let stdout = child.stdout.take().expect("the output is piped");
        let mut line = String::new();
        let mut reader = BufReader::new(stdout);
        reader.read_line(&mut line).expect("the output is text");
        // Further output is discarded, so that the process does not block on a full pipe.
        std::thread::spawn(move || std::io::copy(&mut reader, &mut std::io::sink()));
        (Self { child }, line.trim().to_owned())
    }

    /// Returns the process identifier.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name, such as `KILL`, `STOP`, `CONT` or `TERM`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &id]).status();
        assert!(
            status.expect("kill can be run").success(),
            "kill -s {name} {id}"
        );
    }

    /// Waits for the process to end and returns whether its exit code was zero.
    pub fn wait(&mut self) -> bool {
        self.child
            .wait()
            .expect("the process can be waited for")
            .success()
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .try_wait()
            .expect("the state of the process can be read")
            .is_some()
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of a program built in this workspace.
pub fn program(name: &str) -> PathBuf {
    let daemon = PathBuf::from(env!("CARGO_BIN_EXE_borageladderd"));
    let path = daemon.with_file_name(name);
    assert!(
        path.is_file(),
        "{} is missing; run cargo build --workspace",
        path.display()
    );
    path
}
