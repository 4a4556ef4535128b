//! Runs the real processes on loopback and sends them requests of callers and operators.
#![allow(
    dead_code,
    unused_imports,
    reason = "each test file uses its own part of the harness"
)]

mod client;
mod deployment;
mod ledger;
mod ports;
mod process;
mod relay;

pub use self::client::Answer;
pub use self::client::Call;
pub use self::client::PendingCall;
pub use self::client::answers;
pub use self::deployment::Deployment;
pub use self::deployment::DeploymentPlan;
pub use self::deployment::KEY;
pub use self::deployment::TestStandin;
pub use self::deployment::wait_until;
pub use self::ledger::DispatchLedger;
pub use self::process::TestProcess;
pub use self::relay::TestRelay;
