//! The entry host daemon: the services and tasks that own sockets and do I/O.
//!
//! Decisions are made by `cactusglade_policy`. [`boot::Daemon`] starts the services of one daemon
//! in the order given in `docs/DESIGN.md`.

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
