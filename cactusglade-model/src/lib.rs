//! Discrete-event model of a fleet: the daemons' real decisions, modelled engines and callers.
//!
//! It has no network and no clock, so that a fleet of hundreds of daemons plays faster than real
//! time and a run repeats from its seed. See `docs/DESIGN.md`.

pub mod engine;
pub mod fanout;
pub mod fleet;
pub mod load;
pub mod warmup;
