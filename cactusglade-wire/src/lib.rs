//! The encodings of cactusglade's messages.
//!
//! Nothing is decided here: each module turns typed messages into bytes and back. All of them are
//! given to the letter in `docs/INTERFACES.md`.

pub mod caller;
pub mod engine;
pub mod event;
pub mod gossip;
pub mod header;
pub mod peer;
pub mod platform;
pub mod port;
