//! The operators' command line: arguments, the call to a host and the output.

use std::ffi::OsString;
use std::fs::File;
use std::io;
use std::io::BufReader;
use std::io::IsTerminal;
use std::io::Read;
use std::io::Write;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use thiserror::Error;

use crate::language::MAX_SCRIPT_BYTES;
use crate::language::OperatorCommand;
use crate::language::help::describe;
use crate::language::parse_script;
use crate::settings::KeyDigest;
use crate::timeline::LogCollection;
use crate::timeline::TimelineError;

mod arguments;
mod call;
mod output;

pub use arguments::CliAction;
pub use arguments::CliArguments;
pub use arguments::ExplainArguments;
pub use arguments::UsageError;
use call::CallError;
use call::CommandClient;

/// The terminal sequence that clears the screen and moves the cursor to the top left.
const CLEAR_SCREEN: &str = "\x1b[2J\x1b[H";

/// The exit code of the command line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CliStatus {
    /// All commands were carried out.
    Done = 0,
    /// A command was refused or failed.
    Failed = 1,
    /// The arguments or a command are invalid.
    Usage = 2,
    /// The host can't be reached or did not answer.
    Unreachable = 3,
    /// A change is recorded but not yet in force everywhere.
    Recorded = 4,
}

impl From<CliStatus> for ExitCode {
    fn from(status: CliStatus) -> Self {
        Self::from(status as u8)
    }
}

/// The reason why the command line failed.
#[derive(Debug, Error)]
enum CliError {
    #[error("{0}")]
    Usage(#[from] UsageError),
    #[error("{0}")]
    Call(#[from] CallError),
    #[error("{0}")]
    Timeline(#[from] TimelineError),
    #[error("can't read the script: {0}")]
    Script(io::Error),
    #[error("the script is longer than {MAX_SCRIPT_BYTES} bytes")]
    LongScript,
    #[error("--watch repeats queries only, such as show or explain")]
    WatchedChange,
    #[error("can't write the result: {0}")]
    Output(io::Error),
}

impl CliError {
    fn status(&self) -> CliStatus {
        match self {
            Self::Call(error) => error.status(),
            Self::Output(_) | Self::Timeline(_) => CliStatus::Failed,
            Self::LongScript | Self::Script(_) | Self::Usage(_) | Self::WatchedChange => {
                CliStatus::Usage
            }
        }
    }
}

/// Runs the command line with the arguments that follow the program name.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> CliStatus {
    match execute(arguments) {
        Ok(status) => status,
        Err(error) => {
            eprintln!("borageladder: {error}");
            error.status()
        }
    }
}

fn execute(arguments: impl IntoIterator<Item = OsString>) -> Result<CliStatus, CliError> {
    let action = arguments::parse(arguments, |name| std::env::var_os(name))?;
    let arguments = match action {
        CliAction::Digest(file) => return print_digest(&file),
        CliAction::Explain(arguments) => return explain(&arguments),
        CliAction::Help => return print(arguments::USAGE),
        CliAction::Version => {
            return print(concat!("borageladder ", env!("CARGO_PKG_VERSION"), "\n"));
        }
        CliAction::Run(arguments) => arguments,
    };
    let script = match &arguments.command {
        Some(command) => command.clone(),
        None => read_script()?,
    };
    let commands = parse_script(&script).unwrap_or_default();
    if let [OperatorCommand::Help(verb)] = commands.as_slice() {
        return print(&describe(verb.as_deref()).unwrap_or_default());
    }
    if arguments.watch.is_some() && !are_queries(&commands) {
        return Err(CliError::WatchedChange);
    }
    let client = CommandClient::try_from(&arguments)?;
    let system = actix_rt::System::new();
    system.block_on(async {
        match arguments.watch {
            None => run_once(&client, &script, arguments.json).await,
            Some(interval) => watch(&client, &script, arguments.json, interval).await,
        }
    })
}

fn explain(arguments: &ExplainArguments) -> Result<CliStatus, CliError> {
    let mut logs = LogCollection::default();
    for file in &arguments.files {
        let name = file.display().to_string();
        let opened = File::open(file).map_err(|source| TimelineError::File {
            file: name.clone(),
            source,
        })?;
        logs.read(&name, BufReader::new(opened))?;
    }
    print(&logs.render(&arguments.request)?)
}

fn print_digest(file: &Path) -> Result<CliStatus, CliError> {
    let secret = call::read_secret(file)?;
    print(&format!("{}\n", KeyDigest::of(&secret)))
}

/// Returns whether all commands are queries, which can be repeated safely.
///
/// A script that can't be parsed here yields no commands and is treated as a change.
fn are_queries(commands: &[OperatorCommand]) -> bool {
    let is_query = |command: &OperatorCommand| {
        matches!(
            command,
            OperatorCommand::Explain(_) | OperatorCommand::Show(_)
        )
    };
    !commands.is_empty() && commands.iter().all(is_query)
}

fn print(text: &str) -> Result<CliStatus, CliError> {
    let mut stdout = io::stdout().lock();
    let written = stdout.write_all(text.as_bytes());
    let flushed = written.and_then(|()| stdout.flush());
    flushed.map_err(CliError::Output)?;
    Ok(CliStatus::Done)
}

fn read_script() -> Result<String, CliError> {
    let mut script = String::new();
    let limit = MAX_SCRIPT_BYTES as u64 + 1;
    let mut stdin = io::stdin().lock().take(limit);
    stdin
        .read_to_string(&mut script)
        .map_err(CliError::Script)?;
    if script.len() > MAX_SCRIPT_BYTES {
        return Err(CliError::LongScript);
    }
    Ok(script)
}

async fn run_once(client: &CommandClient, script: &str, json: bool) -> Result<CliStatus, CliError> {
    let answer = client.send(script).await?;
    print(&output::render(&answer, json))?;
    if let Some(error) = &answer.error {
        eprint!("{}", output::render_error(error, script));
    }
    Ok(output::status(&answer))
}

async fn watch(
    client: &CommandClient,
    script: &str,
    json: bool,
    interval: Duration,
) -> Result<CliStatus, CliError> {
    loop {
        if io::stdout().is_terminal() && !json {
            print(CLEAR_SCREEN)?;
        }
        match run_once(client, script, json).await {
            Ok(CliStatus::Done) => {}
            Ok(status) => return Ok(status),
            // The host may be restarting, so the next repetition may succeed.
            Err(CliError::Call(error)) => eprintln!("borageladder: {error}"),
            Err(error) => return Err(error),
        }
        actix_rt::time::sleep(interval).await;
    }
}
