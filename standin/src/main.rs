//! The `borageladder-standin` program, which runs one stand-in or the load tool.

use std::future::pending;
use std::io::Write;
use std::net::SocketAddr;

use actix_rt::System;
use borageladder_standin::arguments::HostsArguments;
use borageladder_standin::arguments::LoadArguments;
use borageladder_standin::arguments::StandinCommand;
use borageladder_standin::arguments::USAGE;
use borageladder_standin::engine::EngineService;
use borageladder_standin::hosts::HostListing;
use borageladder_standin::hosts::HostsService;
use borageladder_standin::load;
use borageladder_standin::plain::PlainService;
use borageladder_standin::platform::PlatformService;

fn main() -> anyhow::Result<()> {
    let command = StandinCommand::from_env()?;
    System::new().block_on(run(command))
}

async fn run(command: StandinCommand) -> anyhow::Result<()> {
    let address = match command {
        StandinCommand::Help => {
            print!("{USAGE}");
            return Ok(());
        }
        StandinCommand::Platform(arguments) => {
            PlatformService::start(arguments.listen, listing(arguments))?
        }
        StandinCommand::Hosts(arguments) => {
            HostsService::start(arguments.listen, listing(arguments))?
        }
        StandinCommand::Engine(arguments) => {
            EngineService::start(arguments.listen, arguments.spec)?
        }
        StandinCommand::Plain(arguments) => PlainService::start(arguments.listen, arguments.name)?,
        StandinCommand::Load(arguments) => return send_load(&arguments).await,
    };
    announce(address)?;
    pending().await
}

async fn send_load(arguments: &LoadArguments) -> anyhow::Result<()> {
    let summary = load::run(&arguments.spec).await;
    if arguments.json {
        println!("{}", summary.to_json()?);
    } else {
        print!("{summary}");
    }
    Ok(())
}

fn listing(arguments: HostsArguments) -> HostListing {
    HostListing::new(arguments.workers, arguments.lag)
}

fn announce(address: SocketAddr) -> std::io::Result<()> {
    let mut output = std::io::stdout();
    writeln!(output, "listening on {address}")?;
    output.flush()
}
