//! The arguments of the command line.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use thiserror::Error;

/// The environment variable for the host's address.
const HOST_VARIABLE: &str = "BORAGELADDER_HOST";

/// The environment variable for the file with the operator's token.
const TOKEN_VARIABLE: &str = "BORAGELADDER_TOKEN_FILE";

/// The host that is asked when none is given.
const DEFAULT_HOST: &str = "127.0.0.1:8081";

/// The longest pause of `--watch`.
const MAX_PAUSE: Duration = Duration::from_hours(1);

/// What `--help` prints.
pub const USAGE: &str = "\
Usage: borageladder [OPTIONS] ['COMMAND']
       borageladder explain FILE... ID

Sends a command to a host, or a script from standard input, and prints the answer. The second
form tells the story of the request ID from the log files of any hosts.

Options:
  --host IP:PORT      the operators' address of any host [env: BORAGELADDER_HOST]
  --token-file FILE   the file with your token [env: BORAGELADDER_TOKEN_FILE]
  --json              print the answer as JSON
  --watch SECONDS     repeat a question until interrupted
  --digest FILE       print the digest of the key or token in a file, for key-digest and settings
  --help              print this text
  --version           print the version

Exit codes: 0 done, 1 refused or failed, 2 not understood, 3 host not reached,
4 change recorded but not yet in force everywhere.

Commands: \"borageladder help\" lists them; examples:
  borageladder 'show waiting where tier = urgent'
  borageladder 'drain worker drafter-1'
  borageladder < configuration.txt
";

/// What the arguments ask for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CliAction {
    /// Print the digest of the key or token in a file.
    Digest(PathBuf),
    /// Tell one request's story from log files.
    Explain(StoryArguments),
    /// Print the usage.
    Help,
    /// Print the version.
    Version,
    /// Send a command.
    Run(CliArguments),
}

/// The log files to read and the request to tell of.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoryArguments {
    /// The log files.
    pub files: Vec<PathBuf>,
    /// The identifier by which the caller knows the request.
    pub request: String,
}

/// The checked arguments.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CliArguments {
    /// The operators' address of a host.
    pub host: SocketAddr,
    /// The file with the operator's token.
    pub token_file: Option<PathBuf>,
    /// Whether to print JSON.
    pub json: bool,
    /// The pause between two repeats of a question.
    pub watch: Option<Duration>,
    /// The command; `None` to read a script from standard input.
    pub command: Option<String>,
}

/// The reason why the arguments can't be used.
#[derive(Debug, Error)]
pub enum UsageError {
    /// An argument is unknown or lacks its value.
    #[error("{0}; see borageladder --help")]
    Argument(#[from] lexopt::Error),
    /// The address is not an IP number with a port.
    #[error("host {host:?} is not an address such as 10.0.0.7:8081")]
    Host {
        /// The address given.
        host: String,
    },
    /// The pause is not a number of seconds in range.
    #[error("--watch needs seconds from 0.1 to 3600, not {seconds:?}")]
    Watch {
        /// The value given.
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
            Arg::Long("watch") => watch = Some(pause(parser.value()?.string()?)?),
            Arg::Value(word) => words.push(word.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    if let Some(story) = story(&words) {
        return Ok(CliAction::Explain(story));
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

/// Returns what `explain FILE... ID` asks for; `explain request ID` is a question to a host.
fn story(words: &[String]) -> Option<StoryArguments> {
    let [verb, files @ .., request] = words else {
        return None;
    };
    let first = files.first()?;
    let asks = verb == "explain" && first != "request";
    asks.then(|| StoryArguments {
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

fn pause(seconds: String) -> Result<Duration, UsageError> {
    let number = seconds.parse().ok();
    let pause = number.and_then(|number| Duration::try_from_secs_f64(number).ok());
    let pause = pause.filter(|pause| (Duration::from_millis(100)..=MAX_PAUSE).contains(pause));
    pause.ok_or(UsageError::Watch { seconds })
}
