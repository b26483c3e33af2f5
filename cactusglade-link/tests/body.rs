//! Bodies are read within bounds on their length and on the number of their chunks.

use std::convert::Infallible;

use bytes::Bytes;
use cactusglade_link::body;
use cactusglade_link::body::Budget;
use cactusglade_link::body::Error;
use futures::stream;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body::Frame;

const MAX_BYTES: usize = 1 << 20;

async fn collect_chunks(count: usize, length: usize) -> body::Result<Bytes> {
    let chunks = (0..count).map(move |_| {
        let chunk = Bytes::from(vec![b'x'; length]);
        Ok::<_, Infallible>(Frame::data(chunk))
    });
    body::collect(
        StreamBody::new(stream::iter(chunks)),
        MAX_BYTES,
        &Budget::default(),
    )
    .await
}

#[tokio::test]
async fn bodies_within_the_bounds_are_read_whole() {
    for (count, length) in [(0, 0), (1, MAX_BYTES), (2, 5), (4_000, 1), (8_192, 128)] {
        let body = collect_chunks(count, length).await;
        assert_eq!(
            body.map(|body| body.len()),
            Ok(count * length),
            "{count} chunks of {length} bytes"
        );
    }
}

/// Guards against a bound on the data alone, with which small chunks cost tens of times their length.
#[tokio::test]
async fn a_body_with_far_more_chunks_than_it_needs_is_refused() {
    assert_eq!(collect_chunks(20_000, 1).await, Err(Error::TooFragmented));
}

#[tokio::test]
async fn a_body_beyond_its_limit_is_refused() {
    assert_eq!(collect_chunks(3, MAX_BYTES / 2).await, Err(Error::TooLong));
    let stated = Full::new(Bytes::from(vec![0; MAX_BYTES + 1]));
    assert_eq!(
        body::collect(stated, MAX_BYTES, &Budget::default()).await,
        Err(Error::TooLong)
    );
}

/// Guards against bodies that each keep to their limit and together take all memory.
#[tokio::test]
async fn bodies_hold_their_share_of_a_budget_until_they_are_dropped() {
    let budget = Budget::new(MAX_BYTES);
    let collect = async |length| {
        let body = Full::new(Bytes::from(vec![b'x'; length]));
        body::collect(body, MAX_BYTES, &budget).await
    };
    let held = collect(MAX_BYTES / 2).await.expect("there is room");
    let further = collect(MAX_BYTES).await;
    assert_eq!(further, Err(Error::OverBudget));
    let short = collect(1_000).await.map(|short| short.len());
    assert_eq!(short, Ok(1_000), "a short body needs no share");
    drop(held);
    let whole = collect(MAX_BYTES).await.map(|whole| whole.len());
    assert_eq!(whole, Ok(MAX_BYTES));
}

#[test]
fn the_greatest_limit_has_a_number_of_sent_bytes() {
    assert_eq!(body::max_sent_bytes(usize::MAX), usize::MAX as u64);
}
