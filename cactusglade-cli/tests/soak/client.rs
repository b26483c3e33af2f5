//! Callers of the soak test, which check every answer and resume interrupted streams elsewhere.

use std::collections::BTreeMap;
use std::time::Duration;

use cactusglade_cli::caller::Answer;
use cactusglade_cli::caller::Caller;
use cactusglade_cli::caller::Stream;
use cactusglade_cli::demo::objects;
use cactusglade_standin::engine;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;
use tokio::task::JoinSet;

const CHAT_CALLERS: u64 = 6;
const BOOKING_CALLERS: u64 = 4;

/// Sums up the answers that callers received.
#[derive(Debug, Default)]
pub struct Tally {
    pub complete: u64,
    pub refused: BTreeMap<String, u64>,
    pub interrupted: u64,
    pub bookings: BTreeMap<String, Vec<Option<Answer>>>,
    pub reviews: Vec<(String, String)>,
}

/// One caller, which sends each request to a random daemon.
pub struct Session {
    callers: Vec<Caller>,
    stopped: watch::Receiver<()>,
    random: StdRng,
    number: u64,
    tally: Tally,
}

impl Session {
    /// Waits a random time and returns whether to continue.
    async fn pause(&mut self) -> bool {
        let pause = Duration::from_millis(self.random.random_range(10..60));
        tokio::time::timeout(pause, self.stopped.changed())
            .await
            .is_err()
    }

    fn caller(&mut self) -> Caller {
        self.callers
            .choose(&mut self.random)
            .expect("the list of daemons is not empty")
            .clone()
    }

    async fn run_chats(mut self) -> Tally {
        let mut turn = 0;
        while self.pause().await {
            turn += 1;
            let tokens = self.random.random_range(5..400);
            let content = format!("{} {turn}", self.number);
            let Ok(mut stream) = self.caller().chat(objects::CHAT, &content, tokens).await else {
                self.tally.interrupted += 1;
                continue;
            };
            assert_prefix_correct(&stream, &content);
            // Resumes an interrupted stream through another daemon, as a client library would.
            for _ in 0..5 {
                if stream.done || !(stream.moved || stream.disconnected) || stream.resume.is_none()
                {
                    break;
                }
                let Ok(next) = self.caller().resume(stream.clone()).await else {
                    continue;
                };
                assert_prefix_correct(&next, &content);
                stream = next;
            }
            self.record_chat(&stream, &content, tokens);
        }
        self.tally
    }

    fn record_chat(&mut self, stream: &Stream, content: &str, tokens: u64) {
        if stream.done {
            assert!(
                stream.is_complete(content, tokens),
                "the stream is done but incomplete: {stream:?}"
            );
            self.tally.complete += 1;
        } else if let Some(failure) = &stream.failure {
            *self.tally.refused.entry(failure.code.clone()).or_default() += 1;
        } else {
            self.tally.interrupted += 1;
        }
    }

    async fn run_bookings(mut self) -> Tally {
        let mut turn = 0;
        while self.pause().await {
            turn += 1;
            let key = format!("slot {} {turn}", self.number);
            let body = booking_body(&key);
            let (one, two) = (self.caller(), self.caller());
            let (one, two) = tokio::join!(
                one.call_service("POST", objects::BOOKINGS, &body, Some(&key)),
                two.call_service("POST", objects::BOOKINGS, &body, Some(&key)),
            );
            let later = self
                .caller()
                .call_service("POST", objects::BOOKINGS, &body, Some(&key))
                .await;
            let answers = [one, two, later].map(Result::ok);
            self.tally.bookings.insert(key, answers.into());
            if turn % 8 == 0 {
                self.review(turn).await;
            }
        }
        self.tally
    }

    async fn review(&mut self, turn: u64) {
        let content = format!("dossier {} {turn}", self.number);
        let body = json!({
            "messages": [{ "role": "user", "content": content }],
            "max_tokens": 20,
        });
        let caller = self.caller();
        let answer = caller
            .call_service("POST", objects::REVIEWS, &body.to_string(), None)
            .await;
        if let Ok(answer) = answer
            && answer.status == 202
        {
            let body: Value = serde_json::from_str(&answer.body).expect("the body is JSON");
            let status_path = body["status"]
                .as_str()
                .expect("the answer has a status path")
                .to_owned();
            self.tally.reviews.push((status_path, content));
        }
    }
}

/// Returns the body of a booking.
pub fn booking_body(key: &str) -> String {
    format!("{{\"slot\":\"{key}\"}}")
}

/// Checks that the tokens received so far are those of this answer, in order, each exactly once.
/// This must hold even for a stream that is interrupted later.
fn assert_prefix_correct(stream: &Stream, content: &str) {
    let prompt = cactusglade_cli::caller::prompt(content);
    for (position, (index, text)) in stream.indices.iter().zip(&stream.tokens).enumerate() {
        assert_eq!(
            usize::try_from(*index).ok(),
            Some(position),
            "{:?}",
            stream.indices
        );
        assert_eq!(
            *text,
            engine::token(&prompt, *index),
            "the token belongs to another answer"
        );
    }
}

/// Starts the callers; dropping the sender stops each of them after its current request.
pub fn start_load(callers: &[Vec<Caller>; 2], seed: u64) -> (JoinSet<Tally>, watch::Sender<()>) {
    let (stop, stopped) = watch::channel(());
    let mut load = JoinSet::new();
    for number in 0..CHAT_CALLERS + BOOKING_CALLERS {
        let is_booking = number >= CHAT_CALLERS;
        let session = Session {
            callers: callers[usize::from(is_booking)].clone(),
            stopped: stopped.clone(),
            random: StdRng::seed_from_u64(seed ^ (number << 32)),
            number,
            tally: Tally::default(),
        };
        if is_booking {
            load.spawn(session.run_bookings());
        } else {
            load.spawn(session.run_chats());
        }
    }
    (load, stop)
}
