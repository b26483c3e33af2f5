//! Small stand-ins for the systems around cactusglade, with faults on demand, and what tests need
//! to run the programs as processes with faults between them.
//!
//! The stand-ins speak the interfaces of `docs/INTERFACES.md` and nothing more. Each has one task
//! that owns its state; connection tasks ask it by message.

pub mod engine;
pub mod link;
pub mod platform;
pub mod process;
pub mod server;
pub mod service;
