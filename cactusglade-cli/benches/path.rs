//! Latency and CPU cost of the request path through a daemon, compared with direct calls.
//!
//! Run with `cargo build --release && cargo bench -p cactusglade-cli --bench path`.

#[path = "../tests/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cactusglade_cli::demo::objects;
use cactusglade_link::link::Connection;
use cactusglade_wire::caller;
use cactusglade_wire::engine;
use cactusglade_wire::header;
use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use tokio::task::JoinSet;

use support::Fleet;
use support::Plan;
use support::Process;

const CONNECTIONS: usize = 4;
const UNARY_CALLS: usize = 20_000;
const STREAMS: usize = 400;
const STREAM_TOKENS: u64 = 200;
const IDLE_DURATION: Duration = Duration::from_secs(5);
const MICROS_PER_SECOND: f64 = 1e6;

/// Measurements of a number of equal calls: latencies in microseconds, CPU seconds of the daemon,
/// and wall-clock seconds.
struct Measure {
    latency: Histogram<u64>,
    calls: usize,
    cpu: f64,
    wall_seconds: f64,
}

/// Destination and content of a call.
#[derive(Clone)]
struct Call {
    address: SocketAddr,
    method: &'static str,
    path: String,
    body: Bytes,
}

async fn send(connection: &mut Connection, call: &Call) {
    let request = Request::builder()
        .method(call.method)
        .uri(&call.path)
        .header(hyper::header::HOST, "bench")
        .header(header::ATTEMPT, "bench")
        .header(
            hyper::header::AUTHORIZATION,
            format!("Bearer {}", objects::api_key("north")),
        )
        .body(Full::new(call.body.clone()))
        .expect("the request is valid");
    let response = connection.send(request).await.expect("the daemon answers");
    assert!(response.status().is_success(), "{}", response.status());
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        frame.expect("the body is complete");
    }
}

async fn measure(call: &Call, calls: usize, process: Option<&Process>) -> Measure {
    let cpu = || process.map_or(0.0, Process::cpu_seconds);
    let (before, started) = (cpu(), Instant::now());
    let mut tasks = JoinSet::new();
    for _ in 0..CONNECTIONS {
        let call = call.clone();
        tasks.spawn(async move {
            let mut latency =
                Histogram::<u64>::new(3).expect("three significant digits are a valid precision");
            let connection = Connection::try_new(call.address, Duration::from_secs(1)).await;
            let mut connection = connection.expect("the daemon accepts the connection");
            for _ in 0..calls / CONNECTIONS {
                let began = Instant::now();
                send(&mut connection, &call).await;
                let micros = u64::try_from(began.elapsed().as_micros())
                    .expect("the latency in microseconds fits");
                latency.record(micros).expect("the histogram resizes");
            }
            latency
        });
    }
    let mut latency =
        Histogram::<u64>::new(3).expect("three significant digits are a valid precision");
    while let Some(part) = tasks.join_next().await {
        latency
            .add(part.expect("the task does not panic"))
            .expect("both histograms have the same precision");
    }
    Measure {
        latency,
        calls,
        cpu: cpu() - before,
        wall_seconds: started.elapsed().as_secs_f64(),
    }
}

#[allow(clippy::cast_precision_loss)]
fn print(name: &str, direct: &Measure, daemon: &Measure) {
    let quantile = |measure: &Measure, q| measure.latency.value_at_quantile(q);
    let added = |q| quantile(daemon, q).saturating_sub(quantile(direct, q));
    let cpu = daemon.cpu * MICROS_PER_SECOND / daemon.calls as f64;
    println!(
        "{name}: direct p50 {} us, p99 {} us; through the daemon p50 {} us, p99 {} us; \
         added p50 {} us, p99 {} us; {:.0} calls/s; daemon CPU {cpu:.1} us a call",
        quantile(direct, 0.50),
        quantile(direct, 0.99),
        quantile(daemon, 0.50),
        quantile(daemon, 0.99),
        added(0.50),
        added(0.99),
        daemon.calls as f64 / daemon.wall_seconds,
    );
}

fn chat(tokens: u64) -> Bytes {
    let chat = caller::Chat {
        messages: vec![caller::Message {
            role: "user".to_owned(),
            content: "bench".to_owned(),
        }],
        stream: true,
        max_tokens: tokens,
    };
    Bytes::from(serde_json::to_vec(&chat).expect("the chat can be encoded"))
}

fn generate(tokens: u64) -> Bytes {
    let request = engine::Request {
        attempt: "bench".to_owned(),
        version: "chat-v1".to_owned(),
        prompt: "user: bench\n".to_owned(),
        emitted: Vec::new(),
        max_tokens: tokens,
        priority: 0,
    };
    Bytes::from(engine::encode(&request).expect("the request can be encoded"))
}

#[tokio::main]
async fn main() {
    let fleet = Fleet::start(&Plan {
        daemons: &["a"],
        engines: &["a"],
        services: &["a"],
        settings: "",
        engine_arguments: &["--token-us", "200", "--slots", "64"],
    });
    fleet.publish(None).await;
    let daemon = &fleet.daemons[0];
    let call = |address, method, path: &str, body| Call {
        address,
        method,
        path: path.to_owned(),
        body,
    };

    let status = format!("{}/1", objects::STATUS);
    let direct = call(fleet.services[0].address, "GET", &status, Bytes::new());
    let through = call(daemon.callers, "GET", &status, Bytes::new());
    measure(&through, UNARY_CALLS / 10, None).await;
    let one = measure(&direct, UNARY_CALLS, None).await;
    let two = measure(&through, UNARY_CALLS, Some(&daemon.process)).await;
    print("unary", &one, &two);

    let engine = fleet.engines[0].address;
    let mut cpus = Vec::new();
    for tokens in [1, STREAM_TOKENS] {
        let direct = call(engine, "POST", engine::GENERATE_PATH, generate(tokens));
        let through = call(daemon.callers, "POST", objects::CHAT, chat(tokens));
        let one = measure(&direct, STREAMS, None).await;
        let two = measure(&through, STREAMS, Some(&daemon.process)).await;
        print(&format!("stream of {tokens} tokens"), &one, &two);
        cpus.push(two.cpu);
    }
    #[allow(clippy::cast_precision_loss)]
    let events = STREAMS as f64 * (STREAM_TOKENS - 1) as f64;
    let per_event = (cpus[1] - cpus[0]) * MICROS_PER_SECOND / events;
    println!("daemon CPU {per_event:.1} us a token event");

    let before = daemon.process.cpu_seconds();
    tokio::time::sleep(IDLE_DURATION).await;
    let idle = (daemon.process.cpu_seconds() - before) / IDLE_DURATION.as_secs_f64() * 100.0;
    println!("idle daemon: {idle:.2}% of a core");
}
