//! HTTP gateway that dispatches requests to workers along routes defined by the operators.
//!
//! A gateway host plans each request by the configuration in force, asks the broker of a cell for a
//! slot on a worker, and relays the worker's answer to the caller. The platform supplies
//! implementations of [`FleetStore`], which registers the host and reads the configuration and the
//! registered workers, and of [`GatewayDialect`], which reads and writes the headers of callers and
//! workers. Scheduling decisions are made by the kernel crate.

mod bodies;
mod call_error;
mod call_facts;
mod caller;
mod confirm;
mod connections;
mod connector;
mod crash;
mod crash_record;
mod delivery;
mod dialect;
mod document;
mod exchange;
mod expectation;
mod frontend;
mod hedge;
mod host;
mod messages;
mod metering;
mod pending;
mod plan;
mod pool;
mod read_ahead;
mod read_error;
mod readiness;
mod relay;
mod release;
mod roster;
mod run;
mod settings;
mod slot;
mod snapshot;
mod state;
mod stop;
mod store;
mod store_reader;
mod stream_log;
mod streams;
mod sync;
mod trace;
mod tunnel;
mod unread;
mod usage;
mod watched;
mod worker;

pub use self::dialect::AnswerMetadata;
pub use self::dialect::CallMetadata;
pub use self::dialect::DispatchMetadata;
pub use self::dialect::GatewayDialect;
pub use self::dialect::TokenUsage;
pub use self::document::CallerLimits;
pub use self::document::ConfigurationReading;
pub use self::document::HostRecord;
pub use self::document::LabelError;
pub use self::document::OrderChanges;
pub use self::document::QuotaUnit;
pub use self::document::RegistrationOutcome;
pub use self::document::ServingConfiguration;
pub use self::document::ServingService;
pub use self::document::ServingWorkspace;
pub use self::document::WorkspaceLabel;
pub use self::document::WorkspaceTable;
pub use self::host::GatewayHost;
pub use self::run::GatewayPlatform;
pub use self::run::run;
pub use self::settings::GatewayBounds;
pub use self::settings::GatewaySettings;
pub use self::settings::SettingsError;
pub use self::stop::StopSchedule;
pub use self::store::FleetStore;
pub use self::store::LogEntry;
pub use self::store::ReleaseChange;
pub use self::store::StoreError;
pub use self::store::StoredValue;
pub use self::watched::HeaderScanner;
