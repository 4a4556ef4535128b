//! The operators' command line, `borageladder`.

use std::process::ExitCode;

use borageladder::cli::run;

fn main() -> ExitCode {
    run(std::env::args_os().skip(1)).into()
}
