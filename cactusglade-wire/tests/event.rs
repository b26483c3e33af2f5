//! The splitter returns complete events however the bytes are split.

use cactusglade_check::check;
use cactusglade_wire::event::Error;
use cactusglade_wire::event::Splitter;

const STREAM: &str = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";

#[test]
fn the_events_do_not_depend_on_how_the_bytes_are_split() {
    check::run::<Vec<u8>>(2_000, |cuts| {
        let mut splitter = Splitter::default();
        let mut rest = STREAM.as_bytes();
        let mut ids = Vec::new();
        let mut bytes = Vec::new();
        let mut cuts = cuts.iter().map(|cut| usize::from(*cut % 9) + 1);
        while !rest.is_empty() {
            let cut = cuts.next().unwrap_or(rest.len()).min(rest.len());
            splitter
                .push(&rest[..cut])
                .expect("the bytes are below the limit");
            rest = &rest[cut..];
            while let Some(event) = splitter.pop().expect("the text is events") {
                ids.push(event.id);
                bytes.extend_from_slice(&event.bytes);
            }
        }
        assert_eq!(ids, [Some(1), Some(2), Some(3)]);
        assert_eq!(bytes, STREAM.as_bytes());
        assert!(!splitter.has_partial());
    });
}

#[test]
fn an_incomplete_event_is_not_returned() {
    let mut splitter = Splitter::default();
    splitter
        .push(b"id: 1\ndata: a\n")
        .expect("the bytes are below the limit");
    assert_eq!(splitter.pop(), Ok(None));
    assert!(splitter.has_partial());
}

#[test]
fn an_event_that_exceeds_the_limit_is_an_error() {
    let mut splitter = Splitter::default();
    let bytes = vec![b'x'; 600 << 10];
    splitter
        .push(&bytes)
        .expect("the bytes are below the limit");
    assert!(splitter.push(&bytes).is_err());
}

/// An upstream wrote the head and the text of an error between the events of a stream, or inside
/// one that had broken off.
#[test]
fn the_text_of_an_error_is_not_an_event() {
    for text in [
        "HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1\r\n\r\n",
        "id: 2\ndata: bHTTP/1.1 503 Service Unavailable\r\nnot-executed: 1\r\n\r\n",
        "upstream connect error\n\n",
        "{\"error\": \"overloaded\"}\n\n",
    ] {
        let mut splitter = Splitter::default();
        let text = format!("id: 1\ndata: a\n\n{text}");
        splitter
            .push(text.as_bytes())
            .expect("the bytes are below the limit");
        let event = splitter.pop().expect("the first is an event");
        assert_eq!(event.and_then(|event| event.id), Some(1));
        assert_eq!(splitter.pop(), Err(Error::NotAnEvent), "{text}");
    }
}

#[test]
fn comments_and_all_fields_of_events_are_accepted() {
    let mut splitter = Splitter::new(&["weights"]);
    let text = ": alive\n\nweights: 2\nevent: token\nid: 7\nretry: 10\ndata\ndata: a: b\n\n";
    splitter
        .push(text.as_bytes())
        .expect("the bytes are below the limit");
    let comment = splitter.pop().expect("a comment is accepted");
    assert_eq!(comment.map(|event| event.has_data), Some(false));
    let event = splitter.pop().expect("all fields are accepted");
    assert_eq!(
        event.map(|one| (one.id, one.has_data)),
        Some((Some(7), true))
    );
    assert_eq!(splitter.pop(), Ok(None));
}
