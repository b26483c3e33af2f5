//! What the daemon needs of a platform, as small traits that an adapter implements.
//!
//! An adapter turns these into its platform's names, formats and calls and decides nothing. It is
//! bound once at start, as a type parameter; see `docs/PLATFORM.md`.

mod codec;

use std::collections::BTreeMap;
use std::future::Future;

use cactusglade_core::catalog::Draft;
use cactusglade_core::fleet::Change;
use cactusglade_core::units::Millis;

pub use codec::Codec;
pub use codec::Decode;
pub use codec::Forwarding;
pub use codec::Load;
pub use codec::Refusal;
pub use codec::Reply;

/// Error of a call, by what it proves.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// Nothing was done.
    #[error("refused: {0}")]
    Refused(String),
    /// Nothing was done, since nobody was reached.
    #[error("not reached")]
    Unreached,
    /// It may have been done, or may still be.
    #[error("no answer")]
    Unknown,
    /// The changes asked for are no longer kept.
    #[error("the history is no longer kept")]
    Compacted,
    /// The answer could not be read.
    #[error("unreadable answer: {0}")]
    Malformed(String),
}

/// Result of a call.
pub type Result<T> = std::result::Result<T, Error>;

/// `Revision` numbers the states of a store; it only grows.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Revision(pub u64);

/// `Update` is the answer of a source.
#[derive(Clone, Debug)]
pub struct Update<T> {
    /// The items, in order where they are changes.
    pub items: Vec<T>,
    /// Entries that could not be read, for the log.
    pub unreadable: Vec<String>,
    /// State that the items lead to.
    pub revision: Revision,
}

/// `Source` tells of things that change.
pub trait Source: Send + 'static {
    /// What it tells of.
    type Item: Send + 'static;

    /// All that there is.
    fn read(&mut self) -> impl Future<Output = Result<Update<Self::Item>>> + Send;

    /// What has changed since a revision; waits up to `wait` for the first change.
    fn watch(
        &mut self,
        after: Revision,
        wait: Millis,
    ) -> impl Future<Output = Result<Update<Self::Item>>> + Send;
}

/// `Order` is something that an operator asks for.
#[derive(Clone, Debug)]
pub enum Order {
    /// Put this configuration in force.
    Configure(Box<Draft>),
    /// Move a service to another version.
    Rollout(Rollout),
    /// The order to move this service was withdrawn.
    Withdrawn(String),
}

/// `Rollout` is an order to move a service's traffic to a version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rollout {
    /// Name of the service.
    pub service: String,
    /// Version that is to serve.
    pub to: String,
    /// Time within which the rollout must end.
    pub time_limit: Millis,
    /// Revision of the order, by which two orders of one service are told apart.
    pub revision: Revision,
}

/// `Report` tells operators how what they asked for ended.
pub trait Report: Clone + Send + Sync + 'static {
    /// Reports that the rollout of a service was rolled back.
    fn rolled_back(&self, rollout: &Rollout) -> impl Future<Output = Result<()>> + Send;
}

/// `Row` is a row of the product's own in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// Key in its table.
    pub key: String,
    /// Content.
    pub value: Vec<u8>,
    /// Revision of its last change.
    pub revision: Revision,
}

/// `Write` replaces one row of the product's own.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Write {
    /// Table.
    pub table: &'static str,
    /// Key.
    pub key: String,
    /// Revision that the row must have, zero for none, where that matters.
    pub expect: Option<Revision>,
    /// Content.
    pub value: Vec<u8>,
}

/// `Store` keeps rows of the product's own.
pub trait Store: Clone + Send + Sync + 'static {
    /// All rows of a table.
    fn rows(&self, table: &'static str) -> impl Future<Output = Result<Vec<Row>>> + Send;

    /// Writes rows, all or none; nothing where a row had another revision than expected.
    fn commit(&self, writes: Vec<Write>) -> impl Future<Output = Result<Option<Revision>>> + Send;
}

/// `Holder` names who carries out a duty and the number that fences off those before it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holder {
    /// Name of the daemon.
    pub name: String,
    /// Fencing token, greater with each change of the holder.
    pub fencing_token: u64,
}

/// `Provider` takes the orders and reports that are the duty of one daemon at a time.
pub trait Provider: Clone + Send + Sync + 'static {
    /// Reports how many requests of each organisation began in a window.
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

/// `Capacity` is how many upstreams of a service a zone is to have.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Capacity {
    /// Name of the service.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Whether the upstreams are reclaimable ones, which are counted apart.
    pub reclaimable: bool,
    /// How many there should be.
    pub count: u64,
}

/// `Platform` is the set of parts that an adapter offers.
pub trait Platform: Clone + Send + Sync + 'static {
    /// Encoding of callers' requests and of what upstreams are sent.
    type Codec: Codec;
    /// What operators ask for.
    type Operator: Source<Item = Order>;
    /// Which upstreams there are.
    type Directory: Source<Item = Change>;
    /// What operators are told.
    type Report: Report;
    /// Rows of the product's own.
    type Store: Store;
    /// Duties.
    type Provider: Provider;

    /// The encoding of requests and answers.
    fn codec(&self) -> Self::Codec;
    /// The operators' orders.
    fn operator(&self) -> Self::Operator;
    /// The registry of upstreams.
    fn directory(&self) -> Self::Directory;
    /// The reports to operators.
    fn report(&self) -> Self::Report;
    /// The store.
    fn store(&self) -> Self::Store;
    /// The provider.
    fn provider(&self) -> Self::Provider;
}
