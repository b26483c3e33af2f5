//! The entry host daemon: services and tasks that own sockets, and nothing that decides.
//!
//! [`boot::Daemon`] starts the services of one daemon in the order that `docs/DESIGN.md` gives.

pub mod accept;
pub mod boot;
pub mod config;
pub mod dispatch;
pub mod driver;
pub mod edge;
pub mod gate;
pub mod ledger;
pub mod log;
pub mod metrics;
pub mod ops;
pub mod peer;
pub mod platform;
pub mod poll;
pub mod relay;
pub mod store;
pub mod work;
