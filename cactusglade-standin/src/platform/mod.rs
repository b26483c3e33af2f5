//! Stand-in for the platform: table, object store, weight store, notices, prices, host list.

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

/// `Options` of the platform stand-in.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Rows written in a second before writes are refused, 500 by default.
    pub writes_per_second: f64,
    /// Reads in a second before they are refused, 2,000 by default.
    pub reads_per_second: f64,
    /// Weights handed out in a second before they are refused, 2 by default.
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

/// `Faults` that the platform shows until it is told otherwise.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each fault is there or not, whatever the others are"
)]
pub struct Faults {
    /// Refuses everything with 503.
    pub down: bool,
    /// Milliseconds that every answer waits.
    pub delay_ms: u64,
    /// Commits that take effect and whose answer is then lost.
    pub lose_commits: u64,
    /// Commits whose answer and effect are both lost.
    pub drop_commits: u64,
    /// Reads the head row as it was one generation ago.
    pub older_head: bool,
    /// Gives out no objects, though it takes them.
    pub hide_objects: bool,
    /// Keeps notices back, as a cloud does that is late.
    pub hide_notices: bool,
}

/// `Totals` since the start, for budgets.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Totals {
    /// Commits taken in.
    pub commits: u64,
    /// Rows written.
    pub writes: u64,
    /// Reads of rows, objects and lists.
    pub reads: u64,
    /// Calls refused by a rate limit.
    pub limited: u64,
}

#[derive(Debug)]
struct Rate {
    per_second: f64,
    level: f64,
    filled: Instant,
}

impl Rate {
    fn new(per_second: f64) -> Self {
        Self {
            per_second,
            level: per_second,
            filled: Instant::now(),
        }
    }

    #[allow(clippy::cast_precision_loss)]
    fn take(&mut self, count: usize) -> bool {
        let gained = self.filled.elapsed().as_secs_f64() * self.per_second;
        self.filled = Instant::now();
        self.level = (self.level + gained).min(self.per_second);
        let allowed = self.level >= count as f64;
        if allowed {
            self.level -= count as f64;
        }
        allowed
    }
}

struct Platform {
    rows: BTreeMap<String, Value>,
    older_head: Option<Value>,
    objects: BTreeMap<String, bytes::Bytes>,
    notices: Vec<wire::Notice>,
    hosts: Vec<wire::Host>,
    prices: BTreeMap<String, f64>,
    faults: Faults,
    totals: Totals,
    writes: Rate,
    reads: Rate,
    weights: Rate,
}

struct Question {
    call: Call,
    reply: oneshot::Sender<Reply>,
}

struct Reply {
    response: Result<Response<Body>>,
    delay_ms: u64,
}

/// Starts the platform stand-in.
///
/// # Errors
///
/// Returns the error of the socket when it can't be bound.
pub async fn start(address: SocketAddr, options: Options) -> std::io::Result<Standin> {
    const MAILBOX: usize = 256;
    let (questions, mailbox) = mpsc::channel(MAILBOX);
    tokio::spawn(own(Platform::new(options), mailbox));
    server::start(address, move |call| ask(questions.clone(), call)).await
}

async fn ask(questions: mpsc::Sender<Question>, call: Call) -> Result<Response<Body>> {
    let (reply, answer) = oneshot::channel();
    questions
        .send(Question { call, reply })
        .await
        .map_err(|_| Cut)?;
    let reply = answer.await.map_err(|_| Cut)?;
    server::delay(reply.delay_ms).await;
    reply.response
}

async fn own(mut platform: Platform, mut mailbox: mpsc::Receiver<Question>) {
    while let Some(question) = mailbox.recv().await {
        let response = platform.answer(&question.call);
        let control = question.call.path.starts_with("/control/");
        let delay_ms = if control { 0 } else { platform.faults.delay_ms };
        // The asker may have hung up.
        let _ = question.reply.send(Reply { response, delay_ms });
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
            writes: Rate::new(options.writes_per_second),
            reads: Rate::new(options.reads_per_second),
            weights: Rate::new(options.weights_per_second),
        }
    }

    fn answer(&mut self, call: &Call) -> Result<Response<Body>> {
        let path = call.path.clone();
        if let Some(control) = path.strip_prefix("/control/") {
            return Ok(self.control(control, call));
        }
        if self.faults.down {
            return Ok(server::whole(503, "text/plain", "the platform is down"));
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
            (method, _) => Ok(self.stores(method, &path, call)),
        }
    }

    fn limited_read(&mut self, read: impl FnOnce(&mut Self) -> Response<Body>) -> Response<Body> {
        self.totals.reads += 1;
        if self.reads.take(1) {
            read(self)
        } else {
            self.too_many()
        }
    }

    fn too_many(&mut self) -> Response<Body> {
        self.totals.limited += 1;
        server::whole(429, "text/plain", "the rate limit is reached")
    }

    fn stores(&mut self, method: &str, path: &str, call: &Call) -> Response<Body> {
        if path.starts_with("/v1/weights/") {
            let allowed = self.weights.take(1);
            return if allowed {
                server::json(200, &path)
            } else {
                self.too_many()
            };
        }
        let Some(digest) = path.strip_prefix(wire::OBJECTS_PATH) else {
            return server::whole(404, "text/plain", "there is no such path");
        };
        if method == "PUT" {
            if !self.writes.take(1) {
                return self.too_many();
            }
            self.totals.writes += 1;
            self.objects.insert(digest.to_owned(), call.body.clone());
            return server::whole(201, "text/plain", "stored");
        }
        let digest = digest.to_owned();
        if self.faults.hide_objects {
            return server::whole(503, "text/plain", "the object store is out");
        }
        self.limited_read(|platform| match platform.objects.get(&digest) {
            Some(object) => server::whole(200, "application/json", object.clone()),
            None => server::whole(404, "text/plain", "there is no such object"),
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
            return Ok(server::whole(400, "text/plain", "this is no commit"));
        };
        if !self.writes.take(commit.writes.len()) {
            return Ok(self.too_many());
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
            return server::whole(400, "text/plain", "this is no read");
        };
        let wanted = |key: &String| {
            read.keys.contains(key) || read.prefixes.iter().any(|prefix| key.starts_with(prefix))
        };
        let found = self.rows.iter().filter(|(key, _)| wanted(key));
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
            "faults" => set(&call.body, |faults| self.faults = faults),
            "notice" => set(&call.body, |notice| self.notices.push(notice)),
            "hosts" => set(&call.body, |hosts| self.hosts = hosts),
            "prices" => set(&call.body, |prices| self.prices = prices),
            "totals" => server::json(200, &self.totals),
            "rows" => server::json(200, &self.rows),
            _ => server::whole(404, "text/plain", "there is no such control"),
        }
    }
}

/// Reads a control message and puts it in place.
pub(crate) fn set<T: for<'a> Deserialize<'a>>(body: &[u8], put: impl FnOnce(T)) -> Response<Body> {
    match serde_json::from_slice(body) {
        Ok(value) => {
            put(value);
            server::whole(200, "text/plain", "set")
        }
        Err(error) => server::whole(400, "text/plain", error.to_string()),
    }
}
