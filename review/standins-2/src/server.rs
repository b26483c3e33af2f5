//! A server of a service: registers itself in the store, and answers, crashes and returns.

use std::io::BufReader;
use std::io::Write;
use std::net::IpAddr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Request;
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

/// Interval at which a server writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What a server does with a request.
#[derive(Clone, Debug)]
pub enum Act {
    /// Answers with this status and body after a time.
    Plain { status: u16, after: Duration },
    /// Answers with a stream of events; without framing the answer ends with its connection.
    Stream {
        events: u64,
        gap: Duration,
        is_framed: bool,
    },
    /// Begins to answer with a stream, and crashes after its first event.
    Crash { is_framed: bool },
}

/// Decides what a server does with a request.
pub type Behaviour = Arc<dyn Fn(&Request) -> Act + Send + Sync>;

/// Description of a server.
#[derive(Clone)]
pub struct Options {
    pub id: String,
    pub service: String,
    pub version: String,
    pub zone: String,
    pub slots: u64,
    pub ip: IpAddr,
    /// Time from a crash to the return.
    pub down: Duration,
    pub behaviour: Behaviour,
}

/// A request that reached a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub attempt: String,
    pub has_run: bool,
}

/// What all servers saw.
#[derive(Clone, Default)]
pub struct Log {
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    /// Times of crashes.
    pub crashes: Arc<Mutex<Vec<u64>>>,
    /// Requests whose stream was cut by a crash.
    pub cut: Arc<AtomicU64>,
}

/// A running server; clones are the same one.
#[derive(Clone)]
pub struct Server {
    options: Options,
    address: SocketAddr,
    store: Store,
    record: Record,
    log: Log,
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    is_up: AtomicBool,
    running: AtomicU64,
    born: AtomicU64,
    sequence: AtomicU64,
    incarnation: AtomicU64,
    connections: Mutex<Vec<TcpStream>>,
}

fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

impl Server {
    pub fn start(
        options: Options,
        store: &Store,
        record: &Record,
        log: &Log,
    ) -> std::io::Result<()> {
        let listener = TcpListener::bind((options.ip, 0))?;
        let server = Self {
            address: listener.local_addr()?,
            options,
            store: store.clone(),
            record: record.clone(),
            log: log.clone(),
            state: Arc::default(),
        };
        server.come_up(listener);
        let own = server.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(HEARTBEAT);
                own.register();
            }
        });
        Ok(())
    }

    fn register(&self) {
        if !self.state.is_up.load(Ordering::SeqCst) {
            return;
        }
        let entry = Json::object(&[
            ("Service", Json::text(&self.options.service)),
            ("Address", Json::text(&self.address.to_string())),
            ("Zone", Json::text(&self.options.zone)),
            ("Version", Json::text(&self.options.version)),
            ("Slots", Json::number(self.options.slots)),
            ("State", Json::text("ready")),
            ("ColdLeftMs", Json::number(0)),
            (
                "Sequence",
                Json::number(self.state.sequence.fetch_add(1, Ordering::SeqCst) + 1),
            ),
            ("born", Json::number(self.state.born.load(Ordering::SeqCst))),
        ]);
        self.store.put("servers", &self.options.id, &entry);
    }

    /// Serves until the next crash.
    fn come_up(&self, listener: TcpListener) {
        self.state.born.store(unix_ms(), Ordering::SeqCst);
        self.state.sequence.store(0, Ordering::SeqCst);
        self.state.running.store(0, Ordering::SeqCst);
        let incarnation = self.state.incarnation.fetch_add(1, Ordering::SeqCst) + 1;
        self.state.is_up.store(true, Ordering::SeqCst);
        self.register();
        let own = self.clone();
        std::thread::spawn(move || {
            let _ = listener.set_nonblocking(true);
            while own.is_alive(incarnation) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            own.state.connections.lock().expect("no panic").push(copy);
                        }
                        let own = own.clone();
                        std::thread::spawn(move || own.serve(stream, incarnation));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    fn is_alive(&self, incarnation: u64) -> bool {
        self.state.is_up.load(Ordering::SeqCst)
            && self.state.incarnation.load(Ordering::SeqCst) == incarnation
    }

    /// Ends all connections as the end of a process does, and returns after a while.
    fn crash(&self, incarnation: u64) {
        if !self.is_alive(incarnation) || !self.state.is_up.swap(false, Ordering::SeqCst) {
            return;
        }
        let at = self
            .record
            .line(&format!("server {} crashes", self.options.id));
        self.log.crashes.lock().expect("no panic").push(at);
        for stream in self.state.connections.lock().expect("no panic").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let own = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(own.options.down);
            loop {
                if let Ok(listener) = TcpListener::bind(own.address) {
                    own.record
                        .line(&format!("server {} is back", own.options.id));
                    return own.come_up(listener);
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        });
    }

    fn serve(&self, stream: TcpStream, incarnation: u64) {
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read_request(&mut reader) {
            if !self.is_alive(incarnation) {
                return;
            }
            let stays = self.answer(&request, reader.get_mut(), incarnation);
            if stays != Some(true) {
                let _ = reader.get_ref().shutdown(Shutdown::Both);
                return;
            }
        }
    }

    fn note(&self, request: &Request, has_run: bool) {
        let attempt = request.header("Attempt-Id").unwrap_or("-").to_owned();
        let verb = if has_run { "runs" } else { "turns away" };
        self.record
            .line(&format!("server {} {verb} {attempt}", self.options.id));
        self.log
            .arrivals
            .lock()
            .expect("no panic")
            .push(Arrival { attempt, has_run });
    }

    /// Answers one request; returns whether the connection stays open.
    fn answer(&self, request: &Request, stream: &mut TcpStream, incarnation: u64) -> Option<bool> {
        let attempt = request.header("Attempt-Id").unwrap_or_default().to_owned();
        let running = self.state.running.load(Ordering::SeqCst);
        let load = format!("{running},0,{}", self.options.slots);
        let mut headers = vec![
            ("Attempt-Id", attempt.as_str()),
            ("Server-Load", load.as_str()),
        ];
        if request.header("Expect-Instance") != Some(self.options.id.as_str()) {
            self.note(request, false);
            headers.push(("Not-Executed", "1"));
            return http::write_answer(stream, 421, &headers, b"")
                .ok()
                .map(|()| true);
        }
        if running >= self.options.slots {
            self.note(request, false);
            headers.push(("Not-Executed", "1"));
            return http::write_answer(stream, 503, &headers, b"")
                .ok()
                .map(|()| true);
        }
        self.note(request, true);
        let seal = format!("seal-{}-{attempt}", self.options.id);
        headers.push(("Response-Seal", &seal));
        self.state.running.fetch_add(1, Ordering::SeqCst);
        let done = match (self.options.behaviour)(request) {
            Act::Plain { status, after } => {
                std::thread::sleep(after);
                http::write_answer(stream, status, &headers, attempt.as_bytes())
                    .ok()
                    .map(|()| true)
            }
            Act::Stream {
                events,
                gap,
                is_framed,
            } => {
                let done = self.stream(stream, &headers, events, gap, is_framed, incarnation);
                if done.is_none() && !self.is_alive(incarnation) {
                    self.log.cut.fetch_add(1, Ordering::SeqCst);
                }
                done
            }
            Act::Crash { is_framed } => {
                let gap = Duration::from_millis(20);
                let _ = self.stream(stream, &headers, 0, gap, is_framed, incarnation);
                self.crash(incarnation);
                None
            }
        };
        if self.is_alive(incarnation) {
            self.state.running.fetch_sub(1, Ordering::SeqCst);
        }
        done
    }

    /// Writes a stream; one of no events has only its first one and is not ended.
    fn stream(
        &self,
        stream: &mut TcpStream,
        headers: &[(&str, &str)],
        events: u64,
        gap: Duration,
        is_framed: bool,
        incarnation: u64,
    ) -> Option<bool> {
        let framing = if is_framed {
            "Transfer-Encoding: chunked"
        } else {
            "Connection: close"
        };
        let mut head =
            format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{framing}\r\n");
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        stream.write_all((head + "\r\n").as_bytes()).ok()?;
        for number in 1..=events.max(1) {
            std::thread::sleep(gap);
            if !self.is_alive(incarnation) {
                return None;
            }
            let event = format!("id: {number}\ndata: piece {number}\n\n");
            let text = if is_framed {
                format!("{:x}\r\n{event}\r\n", event.len())
            } else {
                event
            };
            stream.write_all(text.as_bytes()).ok()?;
        }
        if events > 0 && is_framed {
            stream.write_all(b"0\r\n\r\n").ok()?;
        }
        Some(is_framed)
    }
}
