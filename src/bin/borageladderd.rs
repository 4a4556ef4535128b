//! The scheduler daemon, which runs on every host.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use borageladder::daemon;
use borageladder::settings;
use borageladder::settings::SettingsError;
use borageladder::signals;
use lexopt::Arg;

const USAGE: &str = "\
borageladderd: the request scheduler daemon

Usage: borageladderd [OPTIONS] SETTINGS

Arguments:
  SETTINGS           the TOML settings file of this host

Options:
  --check-settings   validate the settings file and exit
  -h, --help         print this text
  -V, --version      print the version
";

/// The action that the command line requests.
enum DaemonCommand {
    CheckSettings(PathBuf),
    Help,
    Run(PathBuf),
    Version,
}

fn parse_arguments() -> Result<DaemonCommand, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let mut path = None;
    let mut only_check = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("check-settings") => only_check = true,
            Arg::Long("help") | Arg::Short('h') => return Ok(DaemonCommand::Help),
            Arg::Long("version") | Arg::Short('V') => return Ok(DaemonCommand::Version),
            Arg::Value(value) if path.is_none() => path = Some(PathBuf::from(value)),
            _ => return Err(argument.unexpected()),
        }
    }
    let path = path.ok_or("missing argument SETTINGS; see --help")?;
    if only_check {
        return Ok(DaemonCommand::CheckSettings(path));
    }
    Ok(DaemonCommand::Run(path))
}

fn report_incomplete(error: &SettingsError) {
    eprintln!(
        "borageladderd: the settings can't be used: {error}; they are read again for a moment"
    );
}

fn run(command: DaemonCommand) -> anyhow::Result<()> {
    if !matches!(command, DaemonCommand::Run(_)) {
        signals::release().context("signals can't be unblocked")?;
    }
    match command {
        DaemonCommand::CheckSettings(path) => {
            settings::load(&path).context("the settings can't be used")?;
            println!("{}: settings are valid", path.display());
        }
        DaemonCommand::Help => print!("{USAGE}"),
        DaemonCommand::Run(path) => {
            let settings =
                settings::load_when_complete(|| settings::load(&path), report_incomplete);
            daemon::run(settings.context("the settings can't be used")?)?;
        }
        DaemonCommand::Version => println!("borageladderd {}", env!("CARGO_PKG_VERSION")),
    }
    Ok(())
}

fn main() -> ExitCode {
    // A daemon that can't hold signals back starts nevertheless; only early ones would end it.
    if let Err(error) = signals::hold() {
        eprintln!("borageladderd: signals can't be held back: {error}");
    }
    let outcome = match parse_arguments() {
        Ok(command) => run(command),
        Err(error) => {
            eprintln!("borageladderd: {error}");
            return ExitCode::from(2);
        }
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("borageladderd: {error:#}");
            ExitCode::FAILURE
        }
    }
}
