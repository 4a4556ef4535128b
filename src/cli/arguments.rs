//! Parsing of the command-line arguments.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use thiserror::Error;

/// The environment variable with the address of the host.
const HOST_VARIABLE: &str = "BORAGELADDER_HOST";

/// The environment variable with the path of the operator's token file.
const TOKEN_VARIABLE: &str = "BORAGELADDER_TOKEN_FILE";

/// The address of the host when none is given.
const DEFAULT_HOST: &str = "127.0.0.1:8081";

/// The maximum interval of `--watch`.
const MAX_WATCH_INTERVAL: Duration = Duration::from_hours(1);

/// The text of `--help`.
pub const USAGE: &str = "\
Usage: borageladder [OPTIONS] ['COMMAND']
       borageladder explain FILE... ID

Sends a command, or a script from standard input, to a host and prints the answer. The second
form prints the timeline of request ID from the log files of one or more hosts.

Options:
  --host IP:PORT      the operator address of any host [env: BORAGELADDER_HOST]
                      [default: 127.0.0.1:8081]
  --token-file FILE   the file with the operator's token [env: BORAGELADDER_TOKEN_FILE]
  --json              print the answer as JSON
  --watch SECONDS     repeat a query at this interval, from 0.1 to 3600, until it is refused or
                      interrupted
  --digest FILE       print the digest of the workspace key or operator's token in a file, for
                      key-digest and for the settings file
  -h, --help          print this text
  -V, --version       print the version

Exit codes: 0 done, 1 refused or failed, 2 invalid arguments or command, 3 host not reached or no
answer in time, 4 change recorded but not yet in force everywhere.

Commands: \"borageladder help\" lists them; examples:
  borageladder 'show waiting where tier = urgent'
  borageladder 'drain worker drafter-1'
  borageladder < configuration.txt
";

/// The action that the arguments request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CliAction {
    /// Print the digest of the workspace key or operator's token in a file.
    Digest(PathBuf),
    /// Print the timeline of a request from log files.
    Explain(ExplainArguments),
    /// Print the usage.
    Help,
    /// Print the version.
    Version,
    /// Send a command or script to a host.
    Run(CliArguments),
}

/// The arguments of `explain FILE... ID`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExplainArguments {
    /// The log files, at least one.
    pub files: Vec<PathBuf>,
    /// The request identifier that the caller received or gave.
    pub request: String,
}

/// The validated arguments of a call to a host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CliArguments {
    /// The operator address of the host.
    pub host: SocketAddr,
    /// The file with the operator's token, if one was given.
    pub token_file: Option<PathBuf>,
    /// Whether to print the answer as JSON.
    pub json: bool,
    /// The interval at which to repeat a query; `None` to send it once.
    pub watch: Option<Duration>,
    /// The command; `None` to read a script from standard input.
    pub command: Option<String>,
}

/// The reason why the arguments can't be used.
#[derive(Debug, Error)]
pub enum UsageError {
    /// An argument is unknown or its value is missing.
    #[error("{0}; see borageladder --help")]
    Argument(#[from] lexopt::Error),
    /// The address is not an IP address with a port.
    #[error("host {host:?} is not an address such as 10.0.0.7:8081")]
    Host {
        /// The given address.
        host: String,
    },
    /// The interval is not a number of seconds in range.
    #[error("--watch takes an interval of 0.1 to 3600 seconds, not {seconds:?}")]
    Watch {
        /// The given value.
        seconds: String,
    },
}

/// Parses the arguments; `variable` looks up an environment variable.
pub fn parse(
    arguments: impl IntoIterator<Item = OsString>,
    variable: impl Fn(&str) -> Option<OsString>,
) -> Result<CliAction, UsageError> {
    let mut parser = Parser::from_args(arguments);
    let mut host = variable(HOST_VARIABLE);
    let mut token_file = variable(TOKEN_VARIABLE).map(PathBuf::from);
    let mut json = false;
    let mut watch = None;
    let mut words = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("help") | Arg::Short('h') => return Ok(CliAction::Help),
            Arg::Long("version") | Arg::Short('V') => return Ok(CliAction::Version),
            Arg::Long("digest") => return Ok(CliAction::Digest(parser.value()?.into())),
            Arg::Long("host") => host = Some(parser.value()?),
            Arg::Long("token-file") => token_file = Some(parser.value()?.into()),
            Arg::Long("json") => json = true,
            Arg::Long("watch") => watch = Some(watch_interval(parser.value()?.string()?)?),
            Arg::Value(word) => words.push(word.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    if let Some(arguments) = explain_arguments(&words) {
        return Ok(CliAction::Explain(arguments));
    }
    let host = host.unwrap_or_else(|| DEFAULT_HOST.into());
    Ok(CliAction::Run(CliArguments {
        host: address(&host.to_string_lossy())?,
        token_file,
        json,
        watch,
        command: (!words.is_empty()).then(|| words.join(" ")),
    }))
}

/// Returns the arguments of `explain FILE... ID`; `explain request ID` is a query to a host.
fn explain_arguments(words: &[String]) -> Option<ExplainArguments> {
    let [verb, files @ .., request] = words else {
        return None;
    };
    let first = files.first()?;
    let reads_files = verb == "explain" && first != "request";
    reads_files.then(|| ExplainArguments {
        files: files.iter().map(PathBuf::from).collect(),
        request: request.clone(),
    })
}

fn address(host: &str) -> Result<SocketAddr, UsageError> {
    let address = host.parse();
    address.or(Err(UsageError::Host {
        host: host.to_owned(),
    }))
}

fn watch_interval(seconds: String) -> Result<Duration, UsageError> {
    let number = seconds.parse().ok();
    let interval = number.and_then(|number| Duration::try_from_secs_f64(number).ok());
    let interval = interval
        .filter(|interval| (Duration::from_millis(100)..=MAX_WATCH_INTERVAL).contains(interval));
    interval.ok_or(UsageError::Watch { seconds })
}
