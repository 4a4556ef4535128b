//! Crashes of workers by the requests that they ran, shared over the links with all hosts.

mod parts;
mod requests;

pub use parts::SharedPartRegister;
pub use requests::SharedCrashRegister;
