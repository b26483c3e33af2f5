//! Clients of the soak: they check what they are answered, and go on elsewhere when cut off.

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

const CHATTERS: u64 = 6;
const BOOKERS: u64 = 4;

/// What callers were told.
#[derive(Debug, Default)]
pub struct Tally {
    pub whole: u64,
    pub refused: BTreeMap<String, u64>,
    pub interrupted: u64,
    pub bookings: BTreeMap<String, Vec<Option<Answer>>>,
    pub reviews: Vec<(String, String)>,
}

/// One client; it calls whichever daemon the balancer names.
pub struct One {
    callers: Vec<Caller>,
    stopped: watch::Receiver<()>,
    random: StdRng,
    number: u64,
    tally: Tally,
}

impl One {
    async fn goes_on(&mut self) -> bool {
        let pause = Duration::from_millis(self.random.random_range(10..60));
        tokio::time::timeout(pause, self.stopped.changed())
            .await
            .is_err()
    }

    fn caller(&mut self) -> Caller {
        self.callers
            .choose(&mut self.random)
            .expect("there are daemons")
            .clone()
    }

    async fn chat(mut self) -> Tally {
        let mut turn = 0;
        while self.goes_on().await {
            turn += 1;
            let tokens = self.random.random_range(5..400);
            let content = format!("{} {turn}", self.number);
            let Ok(mut stream) = self.caller().chat(objects::CHAT, &content, tokens).await else {
                self.tally.interrupted += 1;
                continue;
            };
            is_right_so_far(&stream, &content);
            // As a client does whose stream broke: it goes on through another daemon.
            for _ in 0..5 {
                if stream.done || !(stream.moved || stream.disconnected) || stream.resume.is_none()
                {
                    break;
                }
                let Ok(next) = self.caller().resume(stream.clone()).await else {
                    continue;
                };
                is_right_so_far(&next, &content);
                stream = next;
            }
            self.judge(&stream, &content, tokens);
        }
        self.tally
    }

    fn judge(&mut self, stream: &Stream, content: &str, tokens: u64) {
        if stream.done {
            assert!(
                stream.is_complete(content, tokens),
                "done but not whole: {stream:?}"
            );
            self.tally.whole += 1;
        } else if let Some(failure) = &stream.failure {
            *self.tally.refused.entry(failure.code.clone()).or_default() += 1;
        } else {
            self.tally.interrupted += 1;
        }
    }

    async fn book(mut self) -> Tally {
        let mut turn = 0;
        while self.goes_on().await {
            turn += 1;
            let key = format!("slot {} {turn}", self.number);
            let body = slot(&key);
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
            let body: Value = serde_json::from_str(&answer.body).expect("it is JSON");
            let address = body["status"]
                .as_str()
                .expect("it has an address")
                .to_owned();
            self.tally.reviews.push((address, content));
        }
    }
}

/// The body of a booking.
pub fn slot(key: &str) -> String {
    format!("{{\"slot\":\"{key}\"}}")
}

/// Whatever becomes of a stream, what came of it is its own, in order, each token once.
fn is_right_so_far(stream: &Stream, content: &str) {
    let prompt = cactusglade_cli::caller::prompt(content);
    for (place, (index, text)) in stream.indices.iter().zip(&stream.tokens).enumerate() {
        assert_eq!(
            usize::try_from(*index).ok(),
            Some(place),
            "{:?}",
            stream.indices
        );
        assert_eq!(
            *text,
            engine::token(&prompt, *index),
            "a token of another answer"
        );
    }
}

/// Starts the clients; closing the channel lets each finish what it began.
pub fn load(callers: &[Vec<Caller>; 2], seed: u64) -> (JoinSet<Tally>, watch::Sender<()>) {
    let (stop, stopped) = watch::channel(());
    let mut load = JoinSet::new();
    for number in 0..CHATTERS + BOOKERS {
        let books = number >= CHATTERS;
        let one = One {
            callers: callers[usize::from(books)].clone(),
            stopped: stopped.clone(),
            random: StdRng::seed_from_u64(seed ^ (number << 32)),
            number,
            tally: Tally::default(),
        };
        if books {
            load.spawn(one.book());
        } else {
            load.spawn(one.chat());
        }
    }
    (load, stop)
}
