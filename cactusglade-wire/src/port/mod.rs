//! The interface between the daemon and a platform, as small traits that an adapter implements.
//!
//! An adapter maps these to the names, formats and calls of its platform and decides nothing. It is
//! bound once at the start, as a type parameter; see `docs/PLATFORM.md`.

mod codec;

use std::collections::BTreeMap;
use std::future::Future;
use std::time::Duration;

use cactusglade_core::catalog::Draft;
use cactusglade_core::fleet::Change;
use cactusglade_core::fleet::Evacuation;
use cactusglade_core::units::Millis;

pub use cactusglade_core::revision::Revision;
pub use codec::Codec;
pub use codec::Decode;
pub use codec::Forwarding;
pub use codec::Limit;
pub use codec::Load;
pub use codec::Refusal;
pub use codec::Rejection;
pub use codec::Reply;

/// Error of a call, by what it says about the effect of the call.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The call was refused and had no effect.
    #[error("refused: {0}")]
    Refused(String),
    /// No connection could be made, so that the call had no effect.
    #[error("could not connect")]
    Unreached,
    /// The call may have taken effect, or may still do so.
    #[error("no answer")]
    Unknown,
    /// The history does not reach back to the requested changes, or is another one.
    #[error("the requested changes are not in the history")]
    Compacted,
    /// The answer could not be decoded.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

/// Result of a call.
pub type Result<T> = std::result::Result<T, Error>;

/// `Update` is the answer of a source.
#[derive(Clone, Debug)]
pub struct Update<T> {
    /// Items; changes are in order.
    pub items: Vec<T>,
    /// Descriptions of entries that could not be decoded, for the log.
    pub unreadable: Vec<String>,
    /// Revision of the state after the items are applied.
    pub revision: Revision,
}

/// `Source` reads a set of items and its changes.
pub trait Source: Send + 'static {
    /// Type of the items.
    type Item: Send + 'static;

    /// Reads all items.
    fn read(&mut self) -> impl Future<Output = Result<Update<Self::Item>>> + Send;

    /// Reads the changes after a revision; waits up to `wait` for the first one.
    fn watch(
        &mut self,
        after: Revision,
        wait: Millis,
    ) -> impl Future<Output = Result<Update<Self::Item>>> + Send;
}

/// `Order` is an instruction of the operators.
#[derive(Clone, Debug)]
pub enum Order {
    /// Apply this configuration.
    Configure(Box<Draft>),
    /// Move the traffic of a service to another version.
    Rollout(Rollout),
    /// Withdraw the rollout of the service with this name.
    Withdrawn(String),
    /// Evacuate an availability zone, or end its evacuation.
    Evacuate(Evacuation),
}

/// `Rollout` is an instruction to move the traffic of a service to a version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rollout {
    /// Name of the service.
    pub service: String,
    /// Version that serves after the rollout.
    pub to: String,
    /// Time within which the rollout must end.
    pub time_limit: Millis,
    /// Revision of the instruction, by which two rollouts of one service are distinguished.
    pub revision: Revision,
}

/// `Report` reports the outcome of rollouts to the operators.
pub trait Report: Clone + Send + Sync + 'static {
    /// Reports that the rollout of a service was rolled back.
    fn rolled_back(&self, rollout: &Rollout) -> impl Future<Output = Result<()>> + Send;
}

/// `Row` is one of the daemons' own rows in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// Key of the row in its table.
    pub key: String,
    /// Content.
    pub value: Vec<u8>,
    /// Revision of the last change of the row.
    pub revision: Revision,
}

/// `Table` is the content of one of the daemons' own tables.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Table {
    /// All rows.
    pub rows: Vec<Row>,
    /// Revision of the store at which they were read.
    pub revision: Revision,
}

impl Table {
    /// Returns the revision of a row, or that of its absence.
    #[must_use]
    pub fn revision_of(&self, key: &str) -> Revision {
        let row = self.rows.iter().find(|row| row.key == key);
        row.map_or(self.revision.of_absent_row(), |row| row.revision)
    }
}

/// `Write` replaces one of the daemons' own rows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Write {
    /// Name of the table.
    pub table: &'static str,
    /// Key of the row.
    pub key: String,
    /// Revision that the row must have, number zero for an absent row; `None` for an unconditional
    /// write.
    pub expect: Option<Revision>,
    /// Content.
    pub value: Vec<u8>,
}

/// `Store` reads and writes the daemons' own rows.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads all rows of a table.
    fn rows(&self, table: &'static str) -> impl Future<Output = Result<Table>> + Send;

    /// Writes all rows or none; returns `None` if a row does not have the expected revision.
    ///
    /// Returns [`Error::Unknown`] also where the store answers in another era than that of an expected
    /// revision: the number may have been given out again.
    fn commit(&self, writes: Vec<Write>) -> impl Future<Output = Result<Option<Revision>>> + Send;
}

/// `Holder` is the daemon that performs a duty, with the token that fences off earlier holders.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holder {
    /// Name of the daemon.
    pub name: String,
    /// Fencing token, greater with each change of the holder.
    pub fencing_token: u64,
    /// Time since the start of the host, suspensions included, from which no call may be sent.
    pub until: Duration,
}

/// `Provider` accepts the orders and reports that one daemon at a time has to send.
pub trait Provider: Clone + Send + Sync + 'static {
    /// Reports the number of requests that started in a window, by organisation.
    fn report_usage(
        &self,
        holder: &Holder,
        window: u64,
        counts: &BTreeMap<String, u64>,
    ) -> impl Future<Output = Result<()>> + Send;

    /// Orders a number of upstreams of a service in a zone.
    fn order_capacity(
        &self,
        holder: &Holder,
        order: &Capacity,
    ) -> impl Future<Output = Result<()>> + Send;
}

/// `Capacity` is the number of upstreams of a service that a zone should have.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Capacity {
    /// Name of the service.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Whether the order is for reclaimable upstreams, which are counted separately.
    pub reclaimable: bool,
    /// Number of upstreams that there should be.
    pub count: u64,
}

/// `Platform` is the set of parts that an adapter offers.
pub trait Platform: Clone + Send + Sync + 'static {
    /// Encoding of requests and answers.
    type Codec: Codec;
    /// Source of the operators' instructions.
    type Operator: Source<Item = Order>;
    /// Source of the registered upstreams.
    type Directory: Source<Item = Change>;
    /// Reports to the operators.
    type Report: Report;
    /// Store of the daemons' own rows.
    type Store: Store;
    /// Receiver of orders and usage reports.
    type Provider: Provider;

    /// Returns the codec.
    fn codec(&self) -> Self::Codec;
    /// Returns the source of the operators' instructions.
    fn operator(&self) -> Self::Operator;
    /// Returns the source of the registered upstreams.
    fn directory(&self) -> Self::Directory;
    /// Returns the channel for reports to the operators.
    fn report(&self) -> Self::Report;
    /// Returns the store.
    fn store(&self) -> Self::Store;
    /// Returns the provider.
    fn provider(&self) -> Self::Provider;
}
