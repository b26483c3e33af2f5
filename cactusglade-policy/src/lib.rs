//! The decision logic of cactusglade.
//!
//! Each module is a state machine that takes the time and an event and returns actions. It does no
//! I/O, reads no clock, draws no random numbers and knows no encoding, so that the same code runs
//! in a daemon, in an experiment, and in a test under any order of events. See `docs/DESIGN.md`.
//!
//! [`broker`] and [`dispatch`] each admit requests and select upstreams. The broker does so for the
//! daemon's platform adapter, together with [`admission`], [`affinity`], [`allowance`], [`attempt`], [`budget`],
//! [`capacity`], [`estimate`], [`evacuation`], [`lag`], [`pace`], [`prefill`], [`quarantine`],
//! [`quota`], [`relay`], [`roster`], [`silence`], [`throttle`], [`usage`] and [`warmup`]; the
//! dispatch for the daemon's own gate, together with [`choice`], [`fair`], [`gossip`], [`ledger`],
//! [`limit`], [`pool`], [`prefix`], [`rollout`] and [`stream`]. Both sides use [`lease`] and
//! [`retry`].

pub mod admission;
pub mod affinity;
pub mod allowance;
pub mod attempt;
pub mod broker;
pub mod budget;
pub mod capacity;
pub mod choice;
pub mod dispatch;
pub mod estimate;
pub mod evacuation;
pub mod fair;
pub mod gossip;
pub mod lag;
pub mod lease;
pub mod ledger;
pub mod limit;
pub mod pace;
pub mod pool;
pub mod prefill;
pub mod prefix;
pub mod quarantine;
pub mod quota;
pub mod relay;
pub mod retry;
pub mod rollout;
pub mod roster;
pub mod silence;
pub mod stream;
pub mod throttle;
pub mod usage;
pub mod warmup;
