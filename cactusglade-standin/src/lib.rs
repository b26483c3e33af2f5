//! Small stand-ins for the systems around cactusglade, with faults on demand.
//!
//! They speak the interfaces of `docs/INTERFACES.md` and nothing more. Each has one task that
//! owns its state; connection tasks ask it by message.

pub mod engine;
pub mod platform;
pub mod server;
pub mod service;
