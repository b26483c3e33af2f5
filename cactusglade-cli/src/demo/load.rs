//! The callers of the demonstration, which send chats, repeated bookings and status checks, and
//! check every answer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::caller::Caller;
use crate::demo::objects;

const CHAT_CALLERS: u64 = 12;
const BOOKING_CALLERS: u64 = 4;
const SHORT_TOKENS: std::ops::Range<u64> = 20..80;
/// Long enough that some answers are still streaming when their zone is reclaimed.
const LONG_TOKENS: std::ops::Range<u64> = 400..800;
/// On average, one in this many chats has a long answer.
const LONG_CHAT_ONE_IN: u64 = 4;
const PAUSE_MS: std::ops::Range<u64> = 20..80;

/// `Tally` sums up the answers that the callers received.
#[derive(Debug)]
pub struct Tally {
    /// Number of chats that were answered completely.
    pub complete: u64,
    /// Descriptions of accepted requests without a complete answer; must stay empty.
    pub broken: Vec<String>,
    /// Number of refusals by error code.
    pub refused: BTreeMap<String, u64>,
    /// Number of complete chats by version.
    pub versions: BTreeMap<String, u64>,
    /// Time to the first token in microseconds.
    pub first_token: Histogram<u64>,
    /// Mean time between tokens in microseconds.
    pub between_tokens: Histogram<u64>,
    /// Answers by caller and idempotency key, one for each repeat.
    pub bookings: BTreeMap<String, Vec<Booking>>,
    /// Number of successful status checks.
    pub checks: u64,
}

/// `Booking` is the answer to one call with an idempotency key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Booking {
    /// HTTP status code.
    pub status: u16,
    /// For an error, whether the request ran: `no`, `maybe` or `yes`.
    pub ran: Option<String>,
    /// Body of the answer.
    pub body: String,
}

impl Default for Tally {
    fn default() -> Self {
        const SIGNIFICANT_DIGITS: u8 = 2;
        let histogram = || {
            Histogram::new(SIGNIFICANT_DIGITS)
                .expect("two significant digits are a valid precision")
        };
        Self {
            complete: 0,
            broken: Vec::new(),
            refused: BTreeMap::new(),
            versions: BTreeMap::new(),
            first_token: histogram(),
            between_tokens: histogram(),
            bookings: BTreeMap::new(),
            checks: 0,
        }
    }
}

impl Tally {
    fn merge(&mut self, other: Self) {
        self.complete += other.complete;
        self.broken.extend(other.broken);
        for (code, count) in other.refused {
            *self.refused.entry(code).or_default() += count;
        }
        for (version, count) in other.versions {
            *self.versions.entry(version).or_default() += count;
        }
        // Histograms of the same precision that resize can always be added.
        let _ = self.first_token.add(other.first_token);
        let _ = self.between_tokens.add(other.between_tokens);
        for (key, answers) in other.bookings {
            self.bookings.entry(key).or_default().extend(answers);
        }
        self.checks += other.checks;
    }
}

/// `Load` runs the callers until it is stopped.
pub struct Load {
    callers: JoinSet<Tally>,
    stop: watch::Sender<()>,
}

impl Load {
    /// Starts the callers of all organisations; each call goes to a random daemon of the channel's
    /// current list.
    #[must_use]
    pub fn start(daemons: &watch::Receiver<Vec<SocketAddr>>, seed: u64) -> Self {
        let (stop, stopped) = watch::channel(());
        let mut callers = JoinSet::new();
        for number in 0..CHAT_CALLERS {
            let session = Session::new(daemons.clone(), stopped.clone(), seed, number);
            callers.spawn(session.run_chats());
        }
        for number in CHAT_CALLERS..CHAT_CALLERS + BOOKING_CALLERS {
            let session = Session::new(daemons.clone(), stopped.clone(), seed, number);
            callers.spawn(session.run_bookings());
        }
        Self { callers, stop }
    }

    /// Stops the callers after their current requests and returns the sum of their tallies.
    pub async fn stop(mut self) -> Tally {
        drop(self.stop);
        let mut tally = Tally::default();
        while let Some(finished) = self.callers.join_next().await {
            match finished {
                Ok(finished) => tally.merge(finished),
                Err(error) => tally.broken.push(format!("a caller failed: {error}")),
            }
        }
        tally
    }
}

/// One caller with its random choices and its tally.
struct Session {
    daemons: watch::Receiver<Vec<SocketAddr>>,
    stopped: watch::Receiver<()>,
    random: StdRng,
    number: u64,
    tally: Tally,
}

impl Session {
    fn new(
        daemons: watch::Receiver<Vec<SocketAddr>>,
        stopped: watch::Receiver<()>,
        seed: u64,
        number: u64,
    ) -> Self {
        Self {
            daemons,
            stopped,
            random: StdRng::seed_from_u64(seed ^ (number << 32)),
            number,
            tally: Tally::default(),
        }
    }

    fn caller(&mut self) -> Caller {
        let daemons = self.daemons.borrow().clone();
        let daemon = daemons[self.random.random_range(0..daemons.len())];
        let organisations = objects::ORGANISATIONS;
        let index = usize::try_from(self.number).unwrap_or(0) % organisations.len();
        let key = objects::api_key(organisations[index].0);
        Caller { daemon, key }
    }

    /// Waits a random time and returns whether to continue.
    async fn pause(&mut self) -> bool {
        let pause = Duration::from_millis(self.random.random_range(PAUSE_MS));
        tokio::time::timeout(pause, self.stopped.changed())
            .await
            .is_err()
    }

    async fn run_chats(mut self) -> Tally {
        let mut turn = 0_u64;
        while self.pause().await {
            turn += 1;
            let caller = self.caller();
            let padding = "lorem ipsum ".repeat(self.random.random_range(1..60));
            let content = format!("{} {turn} {padding}", self.number);
            let long = self.random.random_range(0..LONG_CHAT_ONE_IN) == 0;
            let range = if long { LONG_TOKENS } else { SHORT_TOKENS };
            let max_tokens = self.random.random_range(range);
            match caller.chat(objects::CHAT, &content, max_tokens).await {
                Ok(stream) => self.record_chat(&stream, &content, max_tokens),
                Err(error) => self.tally.broken.push(format!("chat: {error}")),
            }
        }
        self.tally
    }

    fn record_chat(&mut self, stream: &crate::caller::Stream, content: &str, max_tokens: u64) {
        if stream.is_complete(content, max_tokens) {
            self.tally.complete += 1;
            *self
                .tally
                .versions
                .entry(stream.version.clone())
                .or_default() += 1;
            let first = stream.first_token.unwrap_or_default();
            let micros = |span: Duration| u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
            // A histogram that resizes accepts every value.
            let _ = self.tally.first_token.record(micros(first));
            let gaps = max_tokens.saturating_sub(1).max(1);
            let _ = self
                .tally
                .between_tokens
                .record(micros(stream.took.saturating_sub(first)) / gaps);
            return;
        }
        match &stream.failure {
            Some(failure) if stream.status != 200 => {
                *self.tally.refused.entry(failure.code.clone()).or_default() += 1;
            }
            _ => self.tally.broken.push(format!(
                "chat of {max_tokens} tokens: status {}, {} tokens, done {}, {:?}",
                stream.status,
                stream.tokens.len(),
                stream.done,
                stream.failure
            )),
        }
    }

    async fn run_bookings(mut self) -> Tally {
        let mut turn = 0_u64;
        while self.pause().await {
            turn += 1;
            let key = format!("slot-{}-{turn}", self.number);
            let body = format!("{{\"slot\":\"{key}\"}}");
            let (one, two) = (self.caller(), self.caller());
            // Sends the booking twice at once, as a client that retries too early does.
            let (first, second) = tokio::join!(
                one.call_service("POST", objects::BOOKINGS, &body, Some(&key)),
                two.call_service("POST", objects::BOOKINGS, &body, Some(&key)),
            );
            for answer in [first, second] {
                match answer {
                    Ok(answer) => self.record_booking(&key, answer),
                    Err(error) => self.tally.broken.push(format!("booking: {error}")),
                }
            }
            let path = format!("{}/{turn}", objects::STATUS);
            let check = self.caller().call_service("GET", &path, "", None).await;
            match check {
                Ok(answer) if answer.status == 200 => self.tally.checks += 1,
                Ok(answer) => self.record_refusal(&answer.body),
                Err(error) => self.tally.broken.push(format!("status check: {error}")),
            }
        }
        self.tally
    }

    fn record_booking(&mut self, key: &str, answer: crate::caller::Answer) {
        if answer.status != 201 {
            self.record_refusal(&answer.body);
        }
        let booking = Booking {
            status: answer.status,
            ran: answer.ran,
            body: answer.body,
        };
        let name = format!("{}/{key}", self.number);
        self.tally.bookings.entry(name).or_default().push(booking);
    }

    fn record_refusal(&mut self, body: &str) {
        let failure = cactusglade_wire::caller::Failure::try_new(body.as_bytes());
        let code = failure.map_or_else(|_| "unnamed".to_owned(), |failure| failure.code);
        *self.tally.refused.entry(code).or_default() += 1;
    }
}
