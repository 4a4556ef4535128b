//! The gateway: callers of any HTTP service, placed by routes that the platform's operators write.
//!
//! A gateway host reads configuration and workers from the platform's store through [`FleetStore`]
//! and the headers of callers and workers through [`GatewayDialect`]; both are given to it. It plans
//! each request by the configuration in force, asks the broker of a cell for a slot, and passes the
//! worker's answer on. The decisions stand in the kernel.

mod caller;
mod delivery;
mod dialect;
mod document;
mod exchange;
mod front;
mod host;
mod metering;
mod plan;
mod pool;
mod readiness;
mod relay;
mod run;
mod settings;
mod snapshot;
mod state;
mod store;
mod sync;
mod trace;
mod worker;

pub use self::dialect::AnswerTerms;
pub use self::dialect::CallTerms;
pub use self::dialect::DispatchStamp;
pub use self::dialect::GatewayDialect;
pub use self::dialect::TokenUsage;
pub use self::document::CallerLimits;
pub use self::document::ConfigurationReading;
pub use self::document::HostRecord;
pub use self::document::JoinReading;
pub use self::document::QuotaUnit;
pub use self::document::ServingConfiguration;
pub use self::document::ServingService;
pub use self::document::ServingWorkspace;
pub use self::document::WorkspaceTable;
pub use self::host::GatewayHost;
pub use self::run::GatewayPlatform;
pub use self::run::run;
pub use self::settings::GatewayBounds;
pub use self::settings::GatewaySettings;
pub use self::settings::SettingsError;
pub use self::store::FleetStore;
pub use self::store::StoreError;
