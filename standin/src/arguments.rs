//! Parsing of the stand-ins' command line.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use borageladder_kernel::name::ModelName;
use borageladder_kernel::name::RegionName;
use borageladder_kernel::name::WorkerName;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use thiserror::Error;

use crate::engine::EngineSpec;
use crate::load::LoadSpec;
use crate::load::MAX_LOAD_LENGTH;
use crate::load::MAX_LOAD_RATE;
use crate::model::EngineProfile;
use crate::trace::DeploymentKind;

/// The default of `--max-open`, the limit of concurrent calls of the load tool.
const DEFAULT_MAX_OPEN: usize = 2_000;

/// The text that `--help` prints.
pub const USAGE: &str = "\
Usage: borageladder-standin COMMAND [OPTIONS]

Commands:
  platform --listen ADDR [--region NAME] [--workers NAME,NAME] [--lag-ms N]
           the table, the object store and the host list
  hosts    --listen ADDR [--workers NAME,NAME] [--lag-ms N]
           the host list alone
  engine   --listen ADDR --name NAME --model NAME[,NAME] [--prefill TOKENS_PER_SECOND]
           [--gap-ms N] [--batch-slowdown SHARE] [--max-batch N] [--cache-blocks N]
           a model engine
  plain    --listen ADDR --name NAME
           a plain service
  load     --entry ADDR[,ADDR] --key KEY[,KEY] --model NAME --trace quill|sargam --seconds N
           --rate REQUESTS_PER_SECOND [--seed N] [--max-open N] [--json]
           a load tool, which sends the requests of an example deployment and reports their
           answers; the header x-kind names the kind of each request

Options:
  -h, --help   print this text; given before a command

ADDR is an IP address and port; with port 0 the system assigns a free port. All commands except
load print `listening on ADDR` once they accept connections.
";

/// An error in the command line.
#[derive(Debug, Error)]
pub enum ArgumentError {
    /// An argument is unknown or malformed, or its value is missing.
    #[error(transparent)]
    Syntax(#[from] lexopt::Error),
    /// The command is missing or unknown.
    #[error("expected a command, not {0:?}; see --help")]
    UnknownStandin(String),
    /// A required argument is missing.
    #[error("the argument {0} is missing; see --help")]
    Missing(&'static str),
}

/// The command that the command line selects.
#[derive(Clone, Debug, PartialEq)]
pub enum StandinCommand {
    /// Print the usage.
    Help,
    /// Serve the platform's table, object store and host list.
    Platform(HostsArguments),
    /// Serve the host list alone.
    Hosts(HostsArguments),
    /// Serve a simulated engine.
    Engine(EngineArguments),
    /// Serve a plain service.
    Plain(PlainArguments),
    /// Run the load tool.
    Load(LoadArguments),
}

/// The arguments of the stand-ins that serve a host list.
#[derive(Clone, Debug, PartialEq)]
pub struct HostsArguments {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The region given with `--region`; `None` if absent.
    pub region: Option<RegionName>,
    /// The workers that the list shows as live.
    pub workers: Vec<WorkerName>,
    /// The time after which the list shows that a worker is leaving.
    pub lag: Duration,
}

/// The arguments of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineArguments {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The configuration of the engine.
    pub spec: EngineSpec,
}

/// The arguments of a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct PlainArguments {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The worker name of the instance.
    pub name: WorkerName,
}

/// The arguments of the load tool.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadArguments {
    /// The load to send.
    pub spec: LoadSpec,
    /// Whether the report is printed as JSON.
    pub json: bool,
}

impl StandinCommand {
    /// Parses the arguments of this process.
    ///
    /// # Errors
    ///
    /// Returns an error for the first invalid or missing argument.
    pub fn from_env() -> Result<Self, ArgumentError> {
        Self::parse(Parser::from_env())
    }

    /// Parses arguments.
    ///
    /// # Errors
    ///
    /// Returns an error for the first invalid or missing argument.
    ///
    /// # Examples
    ///
    /// ```
    /// use borageladder_standin::arguments::StandinCommand;
    ///
    /// let parser = lexopt::Parser::from_args(["--help"]);
    /// assert_eq!(StandinCommand::parse(parser)?, StandinCommand::Help);
    /// # Ok::<(), borageladder_standin::arguments::ArgumentError>(())
    /// ```
    pub fn parse(mut parser: Parser) -> Result<Self, ArgumentError> {
        let name = match parser.next()? {
            Some(Arg::Value(name)) => name.string()?,
            Some(Arg::Long("help") | Arg::Short('h')) => return Ok(Self::Help),
            Some(other) => return Err(other.unexpected().into()),
            None => String::new(),
        };
        match name.as_str() {
            "platform" => Ok(Self::Platform(parse_hosts(&mut parser)?)),
            "hosts" => Ok(Self::Hosts(parse_hosts(&mut parser)?)),
            "engine" => Ok(Self::Engine(parse_engine(&mut parser)?)),
            "plain" => Ok(Self::Plain(parse_plain(&mut parser)?)),
            "load" => Ok(Self::Load(parse_load(&mut parser)?)),
            _ => Err(ArgumentError::UnknownStandin(name)),
        }
    }
}

fn parse_hosts(parser: &mut Parser) -> Result<HostsArguments, ArgumentError> {
    let mut listen = None;
    let mut region = None;
    let mut workers = Vec::new();
    let mut lag = Duration::ZERO;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("listen") => listen = Some(parser.value()?.parse()?),
            Arg::Long("region") => region = Some(parser.value()?.parse()?),
            Arg::Long("workers") => workers = parse_list(parser)?,
            Arg::Long("lag-ms") => lag = Duration::from_millis(parser.value()?.parse()?),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(HostsArguments {
        listen: required(listen, "--listen")?,
        region,
        workers,
        lag,
    })
}

fn parse_engine(parser: &mut Parser) -> Result<EngineArguments, ArgumentError> {
    let mut listen = None;
    let mut name = None;
    let mut models = Vec::<ModelName>::new();
    let mut profile = EngineProfile {
        prefill_tokens_per_second: 8_000.0,
        decode_gap: Duration::from_millis(20),
        batch_slowdown: 0.02,
        max_batch: 16,
        cache_blocks: 4_096,
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("listen") => listen = Some(parser.value()?.parse()?),
            Arg::Long("name") => name = Some(parser.value()?.parse()?),
            Arg::Long("model") => models = parse_list(parser)?,
            Arg::Long("prefill") => profile.prefill_tokens_per_second = parser.value()?.parse()?,
            Arg::Long("gap-ms") => {
                let millis: f64 = parser.value()?.parse()?;
                profile.decode_gap = Duration::from_secs_f64(millis / 1_000.0);
            }
            Arg::Long("batch-slowdown") => profile.batch_slowdown = parser.value()?.parse()?,
            Arg::Long("max-batch") => profile.max_batch = parser.value()?.parse()?,
            Arg::Long("cache-blocks") => profile.cache_blocks = parser.value()?.parse()?,
            other => return Err(other.unexpected().into()),
        }
    }
    if models.is_empty() {
        return Err(ArgumentError::Missing("--model"));
    }
    Ok(EngineArguments {
        listen: required(listen, "--listen")?,
        spec: EngineSpec {
            name: required(name, "--name")?,
            models,
            profile,
        },
    })
}

fn parse_plain(parser: &mut Parser) -> Result<PlainArguments, ArgumentError> {
    let mut listen = None;
    let mut name = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("listen") => listen = Some(parser.value()?.parse()?),
            Arg::Long("name") => name = Some(parser.value()?.parse()?),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(PlainArguments {
        listen: required(listen, "--listen")?,
        name: required(name, "--name")?,
    })
}

fn parse_load(parser: &mut Parser) -> Result<LoadArguments, ArgumentError> {
    let mut entries = Vec::new();
    let mut keys = Vec::new();
    let mut model = None;
    let mut deployment = None;
    let mut length = None;
    let mut rate = None;
    let mut seed = 1;
    let mut max_open = DEFAULT_MAX_OPEN;
    let mut json = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("entry") => entries = parse_list(parser)?,
            Arg::Long("key") => keys = parse_list(parser)?,
            Arg::Long("model") => model = Some(parser.value()?.parse()?),
            Arg::Long("trace") => deployment = Some(parser.value()?.parse_with(parse_deployment)?),
            Arg::Long("seconds") => length = Some(parser.value()?.parse_with(parse_seconds)?),
            Arg::Long("rate") => rate = Some(parser.value()?.parse_with(parse_rate)?),
            Arg::Long("seed") => seed = parser.value()?.parse()?,
            Arg::Long("max-open") => max_open = parser.value()?.parse()?,
            Arg::Long("json") => json = true,
            other => return Err(other.unexpected().into()),
        }
    }
    if entries.is_empty() {
        return Err(ArgumentError::Missing("--entry"));
    }
    if keys.is_empty() {
        return Err(ArgumentError::Missing("--key"));
    }
    let spec = LoadSpec {
        entries,
        keys,
        model: required(model, "--model")?,
        deployment: required(deployment, "--trace")?,
        length: required(length, "--seconds")?,
        rate: required(rate, "--rate")?,
        seed,
        max_open,
    };
    Ok(LoadArguments { spec, json })
}

fn parse_deployment(text: &str) -> Result<DeploymentKind, String> {
    let mut kinds = DeploymentKind::ALL.into_iter();
    let kind = kinds.find(|kind| kind.name() == text);
    kind.ok_or_else(|| format!("{text:?} is not quill or sargam"))
}

fn parse_seconds(text: &str) -> Result<Duration, String> {
    let seconds = text.parse().map_err(|error| format!("{error}"))?;
    let length = Duration::from_secs(seconds);
    if length.is_zero() || length > MAX_LOAD_LENGTH {
        return Err(format!("must be from 1 to {}", MAX_LOAD_LENGTH.as_secs()));
    }
    Ok(length)
}

fn parse_rate(text: &str) -> Result<f64, String> {
    let rate: f64 = text.parse().map_err(|error| format!("{error}"))?;
    if rate > 0.0 && rate <= MAX_LOAD_RATE {
        return Ok(rate);
    }
    Err(format!("must be above 0 and at most {MAX_LOAD_RATE}"))
}

fn parse_list<T>(parser: &mut Parser) -> Result<Vec<T>, lexopt::Error>
where
    T: FromStr,
    T::Err: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    parser.value()?.parse_with(|text| {
        let items = text.split(',');
        items.map(str::parse).collect::<Result<Vec<T>, T::Err>>()
    })
}

fn required<T>(value: Option<T>, name: &'static str) -> Result<T, ArgumentError> {
    value.ok_or(ArgumentError::Missing(name))
}
