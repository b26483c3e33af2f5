//! Stand-in for the platform: table, object store, weight store, reclaim notices, prices and host
//! list.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use cactusglade_wire::platform as wire;
use hyper::Response;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::server;
use crate::server::Body;
use crate::server::Call;
use crate::server::Cut;
use crate::server::Result;
use crate::server::Standin;

/// `Options` is the set of rate limits of the platform stand-in; bursts of one second are allowed.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Limit on writes of rows and objects per second, 500 by default.
    pub writes_per_second: f64,
    /// Limit on reads per second, 2,000 by default.
    pub reads_per_second: f64,
    /// Limit on downloads of model weights per second, 2 by default.
    pub weights_per_second: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            writes_per_second: 500.0,
            reads_per_second: 2_000.0,
            weights_per_second: 2.0,
        }
    }
}

/// `Faults` is the set of faults that the platform injects until the next `/control/faults` call.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the faults are independent of each other"
)]
pub struct Faults {
    /// Refuses every call with 503.
    pub down: bool,
    /// Delay of each answer in milliseconds.
    pub delay_ms: u64,
    /// Number of commits to apply whose answer is then lost: the connection is cut.
    pub lose_commits: u64,
    /// Number of commits to drop: nothing is applied, and the connection is cut.
    pub drop_commits: u64,
    /// Answers reads of the head row with the value before its last write.
    pub older_head: bool,
    /// Refuses reads of objects with 503; writes succeed.
    pub hide_objects: bool,
    /// Omits all reclaim notices, as a cloud does that publishes them late.
    pub hide_notices: bool,
}

/// `Totals` counts calls since the start, for checks of call budgets.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Totals {
    /// Commits that were processed, conflicting ones included.
    pub commits: u64,
    /// Rows and objects written.
    pub writes: u64,
    /// Reads of rows, objects and lists, rate-limited ones included.
    pub reads: u64,
    /// Calls that a rate limit refused.
    pub limited: u64,
}

/// `Bucket` is a token bucket that holds the tokens of one second.
#[derive(Debug)]
struct Bucket {
    per_second: f64,
    level: f64,
    refilled_at: Instant,
}

impl Bucket {
    fn new(per_second: f64) -> Self {
        Self {
            per_second,
            level: per_second,
            refilled_at: Instant::now(),
        }
    }

    #[allow(clippy::cast_precision_loss)]
    fn try_consume(&mut self, count: usize) -> bool {
        let refill = self.refilled_at.elapsed().as_secs_f64() * self.per_second;
        self.refilled_at = Instant::now();
        self.level = (self.level + refill).min(self.per_second);
        let allowed = self.level >= count as f64;
        if allowed {
            self.level -= count as f64;
        }
        allowed
    }
}

struct Platform {
    rows: BTreeMap<String, Value>,
    /// Value of the head row before its last write.
    older_head: Option<Value>,
    objects: BTreeMap<String, bytes::Bytes>,
    notices: Vec<wire::Notice>,
    hosts: Vec<wire::Host>,
    prices: BTreeMap<String, f64>,
    faults: Faults,
    totals: Totals,
    writes: Bucket,
    reads: Bucket,
    weights: Bucket,
}

struct Message {
    call: Call,
    reply: oneshot::Sender<Reply>,
}

struct Reply {
    response: Result<Response<Body>>,
    delay_ms: u64,
}

/// Starts a platform stand-in that listens on an address.
///
/// # Errors
///
/// Returns the I/O error if the address can't be bound.
pub async fn start(address: SocketAddr, options: Options) -> std::io::Result<Standin> {
    const MAILBOX_CAPACITY: usize = 256;
    let (owner, mailbox) = mpsc::channel(MAILBOX_CAPACITY);
    tokio::spawn(serve(Platform::new(options), mailbox));
    server::start(address, move |call| ask(owner.clone(), call)).await
}

async fn ask(owner: mpsc::Sender<Message>, call: Call) -> Result<Response<Body>> {
    let (reply, answer) = oneshot::channel();
    owner.send(Message { call, reply }).await.map_err(|_| Cut)?;
    let reply = answer.await.map_err(|_| Cut)?;
    server::delay(reply.delay_ms).await;
    reply.response
}

async fn serve(mut platform: Platform, mut mailbox: mpsc::Receiver<Message>) {
    while let Some(message) = mailbox.recv().await {
        let response = platform.answer(&message.call);
        let control = message.call.path.starts_with("/control/");
        let delay_ms = if control { 0 } else { platform.faults.delay_ms };
        // Fails if the client has disconnected.
        let _ = message.reply.send(Reply { response, delay_ms });
    }
}

impl Platform {
    fn new(options: Options) -> Self {
        Self {
            rows: BTreeMap::new(),
            older_head: None,
            objects: BTreeMap::new(),
            notices: Vec::new(),
            hosts: Vec::new(),
            prices: BTreeMap::new(),
            faults: Faults::default(),
            totals: Totals::default(),
            writes: Bucket::new(options.writes_per_second),
            reads: Bucket::new(options.reads_per_second),
            weights: Bucket::new(options.weights_per_second),
        }
    }

    fn answer(&mut self, call: &Call) -> Result<Response<Body>> {
        let path = call.path.clone();
        if let Some(control) = path.strip_prefix("/control/") {
            return Ok(self.control(control, call));
        }
        if self.faults.down {
            return Ok(server::full(503, "text/plain", "the platform is down"));
        }
        match (call.method.as_str(), path.as_str()) {
            ("POST", wire::COMMIT_PATH) => self.commit(call),
            ("POST", wire::READ_PATH) => Ok(self.limited_read(|platform| platform.read(call))),
            ("GET", wire::NOTICES_PATH) => Ok(self.limited_read(Self::visible_notices)),
            ("GET", wire::PRICES_PATH) => {
                Ok(self.limited_read(|platform| server::json(200, &platform.prices)))
            }
            ("GET", wire::HOSTS_PATH) => {
                Ok(self.limited_read(|platform| server::json(200, &platform.hosts)))
            }
            (method, _) => Ok(self.object_call(method, &path, call)),
        }
    }

    fn limited_read(&mut self, read: impl FnOnce(&mut Self) -> Response<Body>) -> Response<Body> {
        self.totals.reads += 1;
        if self.reads.try_consume(1) {
            read(self)
        } else {
            self.rate_limited()
        }
    }

    fn rate_limited(&mut self) -> Response<Body> {
        self.totals.limited += 1;
        server::full(429, "text/plain", "the rate limit is reached")
    }

    fn object_call(&mut self, method: &str, path: &str, call: &Call) -> Response<Body> {
        if path.starts_with("/v1/weights/") {
            let allowed = self.weights.try_consume(1);
            return if allowed {
                server::json(200, &path)
            } else {
                self.rate_limited()
            };
        }
        let Some(digest) = path.strip_prefix(wire::OBJECTS_PATH) else {
            return server::full(404, "text/plain", "there is no such path");
        };
        if method == "PUT" {
            if !self.writes.try_consume(1) {
                return self.rate_limited();
            }
            self.totals.writes += 1;
            self.objects.insert(digest.to_owned(), call.body.clone());
            return server::full(201, "text/plain", "stored");
        }
        let digest = digest.to_owned();
        if self.faults.hide_objects {
            return server::full(503, "text/plain", "the object store is out");
        }
        self.limited_read(|platform| match platform.objects.get(&digest) {
            Some(object) => server::full(200, "application/json", object.clone()),
            None => server::full(404, "text/plain", "there is no such object"),
        })
    }

    fn visible_notices(&mut self) -> Response<Body> {
        let notices = if self.faults.hide_notices {
            &[][..]
        } else {
            &self.notices[..]
        };
        server::json(200, &notices)
    }

    fn commit(&mut self, call: &Call) -> Result<Response<Body>> {
        let Ok(commit) = serde_json::from_slice::<wire::Commit>(&call.body) else {
            return Ok(server::full(400, "text/plain", "this is no commit"));
        };
        if !self.writes.try_consume(commit.writes.len()) {
            return Ok(self.rate_limited());
        }
        if self.faults.drop_commits > 0 {
            self.faults.drop_commits -= 1;
            return Err(Cut);
        }
        self.totals.commits += 1;
        let conflict = self.conflict(&commit);
        if conflict.rows.is_empty() {
            self.totals.writes += u64::try_from(commit.writes.len()).unwrap_or(u64::MAX);
            self.apply(commit);
        }
        if self.faults.lose_commits > 0 {
            self.faults.lose_commits -= 1;
            return Err(Cut);
        }
        if conflict.rows.is_empty() {
            Ok(server::json(200, &serde_json::json!({ "committed": true })))
        } else {
            Ok(server::json(409, &conflict))
        }
    }

    fn conflict(&self, commit: &wire::Commit) -> wire::Conflict {
        let writes = commit
            .writes
            .iter()
            .map(|write| (&write.key, &write.expect));
        let checks = commit
            .checks
            .iter()
            .map(|check| (&check.key, &check.expect));
        let mut conflict = wire::Conflict::default();
        for (key, expect) in writes.chain(checks) {
            let found = self.rows.get(key);
            if found != expect.as_ref() {
                conflict.rows.insert(key.clone(), found.cloned());
            }
        }
        conflict
    }

    fn apply(&mut self, commit: wire::Commit) {
        for write in commit.writes {
            if write.key == wire::HEAD_KEY {
                self.older_head = self.rows.get(&write.key).cloned();
            }
            match write.value {
                Some(value) => self.rows.insert(write.key, value),
                None => self.rows.remove(&write.key),
            };
        }
    }

    fn read(&mut self, call: &Call) -> Response<Body> {
        let Ok(read) = serde_json::from_slice::<wire::Read>(&call.body) else {
            return server::full(400, "text/plain", "this is no read");
        };
        let is_selected = |key: &String| {
            read.keys.contains(key) || read.prefixes.iter().any(|prefix| key.starts_with(prefix))
        };
        let found = self.rows.iter().filter(|(key, _)| is_selected(key));
        let mut rows = wire::Rows {
            rows: found
                .map(|(key, value)| (key.clone(), value.clone()))
                .collect(),
        };
        if self.faults.older_head
            && let Some(head) = rows.rows.get_mut(wire::HEAD_KEY)
            && let Some(older) = &self.older_head
        {
            *head = older.clone();
        }
        server::json(200, &rows)
    }

    fn control(&mut self, path: &str, call: &Call) -> Response<Body> {
        match path {
            "faults" => apply_control(&call.body, |faults| self.faults = faults),
            "notice" => apply_control(&call.body, |notice| self.notices.push(notice)),
            "hosts" => apply_control(&call.body, |hosts| self.hosts = hosts),
            "prices" => apply_control(&call.body, |prices| self.prices = prices),
            "totals" => server::json(200, &self.totals),
            "rows" => server::json(200, &self.rows),
            _ => server::full(404, "text/plain", "there is no such control"),
        }
    }
}

/// Parses the JSON body of a control call and assigns the value; answers 400 if it can't be parsed.
pub(crate) fn apply_control<T: for<'a> Deserialize<'a>>(
    body: &[u8],
    assign: impl FnOnce(T),
) -> Response<Body> {
    match serde_json::from_slice(body) {
        Ok(value) => {
            assign(value);
            server::full(200, "text/plain", "set")
        }
        Err(error) => server::full(400, "text/plain", error.to_string()),
    }
}
