//! The platform's store, and its API for duties at the same address.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Request;
use crate::json;
use crate::json::Json;
use crate::record::Record;

/// A row with its version.
#[derive(Clone)]
struct Row {
    value: Vec<u8>,
    version: u64,
}

#[derive(Default)]
struct Tables {
    version: u64,
    rows: BTreeMap<(String, String), Row>,
}

/// The store; clones share its rows.
#[derive(Clone)]
pub struct Store {
    tables: Arc<(Mutex<Tables>, Condvar)>,
    began: Instant,
    record: Record,
}

impl Store {
    pub fn new(record: &Record) -> Self {
        Self {
            tables: Arc::default(),
            began: Instant::now(),
            record: record.clone(),
        }
    }

    /// Writes a row without a condition, as operators and servers do.
    pub fn put(&self, table: &str, key: &str, value: &Json) {
        let (tables, changed) = &*self.tables;
        let mut tables = tables.lock().expect("no thread panics with the lock");
        tables.version += 1;
        let version = tables.version;
        let key = (table.to_owned(), key.to_owned());
        tables.rows.insert(
            key,
            Row {
                value: value.to_string().into_bytes(),
                version,
            },
        );
        changed.notify_all();
    }

    /// Listens for the calls of the daemons; returns the address.
    pub fn listen(&self, ip: IpAddr) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(address)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            let headers = [("Content-Type", "application/json")];
            let body = body.to_string();
            if http::write_answer(reader.get_mut(), status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns the answer to a call.
    fn answer(&self, request: &Request) -> (u16, Json) {
        // The usual latency of the store.
        std::thread::sleep(Duration::from_millis(3));
        let path = request.target.split('?').next().unwrap_or_default();
        match (request.method.as_str(), path) {
            ("POST", "/rows-tx") => self.transact(&request.body),
            ("GET", "/rows-get") => self.range(request),
            ("GET", "/rows-feed") => self.feed(request),
            ("POST", "/usage" | "/scale") => {
                let holder = request.header("Duty-Holder").unwrap_or("-");
                let token = request.header("Fencing-Token").unwrap_or("-");
                let body = String::from_utf8_lossy(&request.body);
                self.record
                    .line(&format!("duty {path} of {holder}, token {token}: {body}"));
                (200, Json::object(&[]))
            }
            _ => (404, Json::object(&[])),
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, Json) {
        let Some(call) = Json::parse(body) else {
            return (400, Json::object(&[]));
        };
        let (tables, changed) = &*self.tables;
        let mut tables = tables.lock().expect("no thread panics with the lock");
        let list = |name: &str| {
            call.get(name)
                .map(|list| list.as_list().to_vec())
                .unwrap_or_default()
        };
        let expected = list("ExpectedRev");
        let is_met = expected.iter().all(|row| {
            let known = tables.rows.get(&key(row)).map_or(0, |row| row.version);
            row.get("RowVersion").and_then(Json::as_u64) == Some(known)
        });
        if !is_met {
            let rows = expected.iter().filter_map(|row| {
                let key = key(row);
                tables.rows.get(&key).map(|row| encode(&key, row))
            });
            let rows = Json::List(rows.collect());
            let answer = [("Rows", rows), ("RowVersion", Json::number(tables.version))];
            return (412, Json::object(&answer));
        }
        tables.version += 1;
        let version = tables.version;
        for row in list("Write") {
            let value = row
                .get("Value")
                .and_then(Json::as_text)
                .and_then(json::from_base64);
            let (key, value) = (key(&row), value.unwrap_or_default());
            if key.0 == "status" {
                let text = String::from_utf8_lossy(&value);
                self.record.line(&format!("status {} is {text}", key.1));
            }
            tables.rows.insert(key, Row { value, version });
        }
        changed.notify_all();
        (
            200,
            Json::object(&[("RowVersion", Json::number(version)), self.time()]),
        )
    }

    fn time(&self) -> (&'static str, Json) {
        let time = u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX);
        ("ServerTimeMs", Json::number(time))
    }

    fn range(&self, request: &Request) -> (u16, Json) {
        let table = request.query("Table").unwrap_or_default();
        let from = request.query("From").unwrap_or_default();
        let tables = self
            .tables
            .0
            .lock()
            .expect("no thread panics with the lock");
        let rows = tables
            .rows
            .iter()
            .filter(|((one, key), _)| *one == table && *key >= from);
        let rows = rows.map(|(key, row)| encode(key, row)).collect();
        let answer = [
            ("Rows", Json::List(rows)),
            ("HasMore", Json::Bool(false)),
            ("RowVersion", Json::number(tables.version)),
            self.time(),
        ];
        (200, Json::object(&answer))
    }

    fn feed(&self, request: &Request) -> (u16, Json) {
        let table = request.query("Table").unwrap_or_default();
        let after = request
            .query("After")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0_u64);
        let wait = request
            .query("WaitTimeoutMs")
            .and_then(|text| text.parse().ok());
        let until = Instant::now() + Duration::from_millis(wait.unwrap_or(0));
        let (tables, changed) = &*self.tables;
        let mut tables = tables.lock().expect("no thread panics with the lock");
        loop {
            let written = tables
                .rows
                .iter()
                .map(|(key, row)| (row.version, encode(key, row), key));
            let written = written.filter(|(version, _, key)| key.0 == table && *version > after);
            let mut rows = written
                .map(|(version, row, _)| (version, row))
                .collect::<Vec<_>>();
            if !rows.is_empty() || Instant::now() >= until {
                rows.sort_by_key(|(version, _)| *version);
                let rows = rows.into_iter().map(|(_, row)| row).collect();
                let answer = [
                    ("Rows", Json::List(rows)),
                    ("RowVersion", Json::number(tables.version)),
                    self.time(),
                ];
                return (200, Json::object(&answer));
            }
            let waited = changed.wait_timeout(tables, Duration::from_millis(20));
            tables = waited.expect("no thread panics with the lock").0;
        }
    }
}

fn key(row: &Json) -> (String, String) {
    let text = |name: &str| {
        row.get(name)
            .and_then(Json::as_text)
            .unwrap_or_default()
            .to_owned()
    };
    (text("Table"), text("Key"))
}

fn encode(key: &(String, String), row: &Row) -> Json {
    Json::object(&[
        ("Table", Json::text(&key.0)),
        ("part", Json::text("")),
        ("Key", Json::text(&key.1)),
        ("Value", Json::text(&json::to_base64(&row.value))),
        ("RowVersion", Json::number(row.version)),
    ])
}
