//! What others send is read without a panic, and what we write is read back the same.

use cactusglade_core::errors::Kind;
use cactusglade_wire::caller;
use cactusglade_wire::engine;
use cactusglade_wire::platform;

#[test]
fn bytes_of_any_kind_are_read_without_a_panic() {
    bolero::check!()
        .with_type::<Vec<u8>>()
        .with_iterations(5_000)
        .for_each(|bytes| {
            // Whether they can be read does not matter here.
            let _ = caller::Chat::try_new(bytes).map(|chat| chat.prompt());
            let _ = caller::Failure::try_new(bytes);
            let _ = engine::decode(&String::from_utf8_lossy(bytes));
            let _ = serde_json::from_slice::<platform::Commit>(bytes);
            let _ = serde_json::from_slice::<platform::Rows>(bytes);
        });
}

#[test]
fn damaged_messages_are_read_without_a_panic() {
    let chat = br#"{"messages":[{"role":"user","content":"x"}],"stream":true,"max_tokens":3}"#;
    let event = br#"{"token":{"attempt":"a.1","index":0,"text":"x "}}"#;
    bolero::check!()
        .with_type::<Vec<(u8, u8)>>()
        .with_iterations(5_000)
        .for_each(|damage| {
            for message in [&chat[..], &event[..]] {
                let mut bytes = message.to_vec();
                for (place, byte) in damage {
                    let place = usize::from(*place) % bytes.len();
                    bytes[place] = *byte;
                }
                let _ = caller::Chat::try_new(&bytes);
                let _ = engine::decode(&String::from_utf8_lossy(&bytes));
            }
        });
}

#[test]
fn events_and_failures_are_read_back_as_written() {
    bolero::check!()
        .with_type::<(String, u64, String)>()
        .with_iterations(2_000)
        .for_each(|(attempt, index, text)| {
            let event = engine::Event::Token {
                attempt: attempt.clone(),
                index: *index,
                text: text.clone(),
            };
            let line = serde_json::to_string(&event).expect("it can be written");
            assert!(!line.contains('\n'), "an event is one line");
            assert_eq!(engine::decode(&line).expect("it is an event"), event);
            let failure = caller::Failure::new(Kind::Overloaded, text, attempt);
            let body = failure.clone().body();
            let read = caller::Failure::try_new(body.as_bytes()).expect("it is a failure");
            assert_eq!(read, failure);
        });
}

#[test]
fn every_kind_has_a_body_that_says_whether_it_ran() {
    for kind in Kind::ALL {
        let body = caller::Failure::new(kind, "message", "id").body();
        let failure = caller::Failure::try_new(body.as_bytes()).expect("it is a failure");
        assert_eq!(failure.code, kind.answer().code);
        assert_eq!(failure.ran, kind.answer().ran.as_str());
    }
}
