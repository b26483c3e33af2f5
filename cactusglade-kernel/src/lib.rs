//! The micro-kernel: services find each other by name, start in order and stop in reverse order.
//!
//! A service is a kameo actor. The kernel is generic over services and depends on none of them.
//! Names are resolved to typed handles once, when a service starts, never per request. See
//! `docs/DESIGN.md`.

pub mod kernel;
pub mod name;
