//! Test stand-ins for the systems that cactusglade talks to, with fault injection, and helpers that
//! run the programs as processes and inject network faults between them.
//!
//! The stand-ins implement the interfaces of `docs/INTERFACES.md` and nothing more. Each has one
//! task that owns its state; connection tasks send it messages.

pub mod engine;
pub mod link;
pub mod platform;
pub mod process;
pub mod server;
pub mod service;
