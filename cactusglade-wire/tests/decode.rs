//! Arbitrary input is decoded without a panic, and encoded messages are decoded to the same value.

use cactusglade_check::check;
use cactusglade_core::errors::Kind;
use cactusglade_wire::caller;
use cactusglade_wire::engine;
use cactusglade_wire::platform;

#[test]
fn arbitrary_bytes_are_decoded_without_a_panic() {
    check::run::<Vec<u8>>(5_000, |bytes| {
        // The bytes may be a message or not; only a panic fails the test.
        let _ = caller::Chat::try_new(bytes).map(|chat| chat.prompt());
        let _ = caller::Failure::try_new(bytes);
        let _ = engine::decode(&String::from_utf8_lossy(bytes));
        let _ = serde_json::from_slice::<platform::Commit>(bytes);
        let _ = serde_json::from_slice::<platform::Rows>(bytes);
    });
}

#[test]
fn damaged_messages_are_decoded_without_a_panic() {
    let chat = br#"{"messages":[{"role":"user","content":"x"}],"stream":true,"max_tokens":3}"#;
    let event = br#"{"token":{"attempt":"a.1","index":0,"text":"x "}}"#;
    check::run::<Vec<(u8, u8)>>(5_000, |damage| {
        for message in [&chat[..], &event[..]] {
            let mut bytes = message.to_vec();
            for (position, byte) in damage {
                let position = usize::from(*position) % bytes.len();
                bytes[position] = *byte;
            }
            let _ = caller::Chat::try_new(&bytes);
            let _ = engine::decode(&String::from_utf8_lossy(&bytes));
        }
    });
}

#[test]
fn events_and_failures_are_decoded_as_they_were_encoded() {
    check::run::<(String, u64, String)>(2_000, |(attempt, index, text)| {
        let event = engine::Event::Token {
            attempt: attempt.clone(),
            index: *index,
            text: text.clone(),
        };
        let line = serde_json::to_string(&event).expect("the event is serialised");
        assert!(!line.contains('\n'), "an event is one line");
        assert_eq!(engine::decode(&line).expect("the line is an event"), event);
        let failure = caller::Failure::new(Kind::Overloaded, text, attempt);
        let body = failure.clone().body();
        let decoded = caller::Failure::try_new(body.as_bytes()).expect("the body is a failure");
        assert_eq!(decoded, failure);
    });
}

#[test]
fn the_body_of_every_error_kind_says_whether_the_request_ran() {
    for kind in Kind::ALL {
        let body = caller::Failure::new(kind, "message", "id").body();
        let failure = caller::Failure::try_new(body.as_bytes()).expect("the body is a failure");
        assert_eq!(failure.code, kind.answer().code);
        assert_eq!(failure.ran, kind.answer().ran.as_str());
    }
}
