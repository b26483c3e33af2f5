//! Types that all packages share: keys, arenas, objects, error kinds, units and settings.
//!
//! Every other package depends on this one, and this one on none of them, so that a decision or a
//! codec can be reused behind another front end. See `docs/DESIGN.md`.

pub mod arena;
pub mod call;
pub mod catalog;
pub mod edge;
pub mod errors;
pub mod fields;
pub mod fleet;
pub mod io;
pub mod meta;
pub mod refusal;
pub mod revision;
pub mod row;
pub mod set;
pub mod settings;
pub mod units;
