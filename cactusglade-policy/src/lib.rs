//! The decisions of cactusglade.
//!
//! Each is a plain value that takes the time, an event and gives back actions; it never waits,
//! reads no clock, draws no random number and knows no encoding. So the same code runs in a
//! daemon, in an experiment and under a test that tries any order of events. See
//! `docs/DESIGN.md`.

pub mod affinity;
pub mod attempt;
pub mod broker;
pub mod budget;
pub mod capacity;
pub mod choice;
pub mod dispatch;
pub mod fair;
pub mod lease;
pub mod ledger;
pub mod limit;
pub mod member;
pub mod pool;
pub mod prefix;
pub mod quota;
pub mod retry;
pub mod rollout;
pub mod roster;
pub mod stream;
pub mod usage;
