//! The micro-kernel: services find each other by name, start in order and stop in reverse.
//!
//! A service is a kameo actor. The kernel knows no service by type; what each does is its own
//! matter. Names are resolved to typed handles once, when a service starts, never per request.
//! See `docs/DESIGN.md`.

pub mod kernel;
pub mod name;
