//! The encodings of cactusglade's messages.
//!
//! Each module converts typed messages to bytes and back and decides nothing. `docs/INTERFACES.md`
//! specifies all of them.

pub mod caller;
pub mod configuration;
pub mod engine;
pub mod event;
pub mod gossip;
pub mod header;
pub mod peer;
pub mod platform;
pub mod port;
