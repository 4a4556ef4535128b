//! Slot allocation on one host: the asks of its entry and the brokers that run here.
//!
//! A cell is one service in one data centre, or in several that share the cell. [`AskTable`] holds
//! the open asks and the held slots of this host's entry; [`BrokerTable`] holds the brokers that
//! run here; [`CellService`] connects both with the other hosts.

mod answer;
mod asks;
mod brokers;
mod network;
mod rates;
mod roles;
mod service;
mod slot;
mod ticker;
mod workspaces;

pub use self::answer::SlotAnswer;
pub use self::asks::AskTable;
pub use self::asks::CellBrokers;
pub use self::asks::CellId;
pub use self::asks::OutgoingWithdrawal;
pub use self::brokers::BrokerTable;
pub use self::network::CellNetwork;
pub use self::service::CellService;
pub use self::slot::SlotLease;
pub use self::slot::SlotWait;
