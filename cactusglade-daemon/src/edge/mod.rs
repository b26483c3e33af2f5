//! The daemon for the users' platform: services built on the traits of [`cactusglade_wire::port`].
//!
//! [`boot::Daemon`] starts them in the order given in `docs/PLATFORM.md`.

pub mod boot;
pub mod broker;
pub mod configuration;
pub mod duty;
pub mod front;
pub mod measure;
pub mod mesh;
pub mod probe;
pub mod pulse;
pub mod watch;
