//! The daemon on its users' platform: services over the traits of [`cactusglade_wire::port`].
//!
//! [`boot::Daemon`] starts them in the order that `docs/PLATFORM.md` gives.

pub mod boot;
pub mod broker;
pub mod duty;
pub mod front;
pub mod measure;
pub mod mesh;
pub mod probe;
pub mod watch;
