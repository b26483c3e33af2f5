//! The splitter returns complete events however the bytes are split.

use cactusglade_check::check;
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
            while let Some(event) = splitter.pop() {
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
    assert_eq!(splitter.pop(), None);
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
