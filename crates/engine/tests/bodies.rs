//! Limits on the bodies of requests.

use std::time;

use actix_http::Payload;
use actix_http::error::PayloadError;
use bytes::Bytes;
use futures_util::stream::{self, StreamExt};
use redwing_engine::caller::BodySettings;
use redwing_engine::caller::body::{BodyError, BodyReader};
use tokio::time as timer;

/// Returns a payload of chunks of `chunk_bytes`; it does not end if it is `open`.
fn payload(chunks: usize, chunk_bytes: usize, open: bool) -> Payload {
    let chunk = Bytes::from(vec![b' '; chunk_bytes]);
    let sent = stream::iter((0..chunks).map(move |_| Ok::<_, PayloadError>(chunk.clone())));
    if open {
        return Payload::Stream {
            payload: Box::pin(sent.chain(stream::pending())),
        };
    }
    Payload::Stream {
        payload: Box::pin(sent),
    }
}

/// Guards against bodies that are kept for ever because they do not end.
#[tokio::test(start_paused = true)]
async fn a_body_that_does_not_end_is_given_up() {
    let reader = BodyReader::new(BodySettings::default());
    let begun = timer::Instant::now();
    let read = reader.read(&mut payload(1, 1_000, true), None).await;
    assert!(matches!(read, Err(BodyError::Late)), "{read:?}");
    assert_eq!(begun.elapsed(), time::Duration::from_secs(30));
}

/// Guards against small bodies that are refused because of large ones, and memory that is not
/// given back.
#[tokio::test]
async fn small_bodies_are_read_while_no_memory_is_left_for_large_ones() {
    let settings = BodySettings {
        shared_bytes: 1_000_000,
        ..BodySettings::default()
    };
    let reader = BodyReader::new(settings);
    let large = || payload(8, 62_500, false);
    let held = reader.read(&mut large(), None).await;
    let held = held.expect("memory is left");
    let refused = reader.read(&mut large(), None).await;
    assert!(matches!(refused, Err(BodyError::Full)), "{refused:?}");
    let small = reader.read(&mut payload(1, 8_000, false), None).await;
    assert_eq!(small.expect("it is small").bytes().len(), 8_000);
    drop(held);
    let read = reader.read(&mut large(), None).await;
    assert_eq!(read.expect("it was given back").bytes().len(), 500_000);
}

/// Guards against the memory of tiny chunks, which take more than their bytes.
#[tokio::test]
async fn tiny_chunks_count_for_the_memory_that_they_take() {
    let settings = BodySettings {
        shared_bytes: 100_000,
        ..BodySettings::default()
    };
    let reader = BodyReader::new(settings);
    let refused = reader.read(&mut payload(4_000, 2, false), None).await;
    assert!(matches!(refused, Err(BodyError::Full)), "{refused:?}");
    let read = reader.read(&mut payload(8, 1_000, false), None).await;
    assert_eq!(read.expect("its chunks are few").bytes().len(), 8_000);
}

/// Guards against bodies beyond the limit that are read before they are refused.
#[tokio::test]
async fn a_body_beyond_the_limit_is_refused_by_its_declared_length() {
    let reader = BodyReader::new(BodySettings::default());
    let max_bytes = BodySettings::default().max_bytes;
    let declared = Some(max_bytes as u64 + 1);
    let read = reader.read(&mut payload(0, 0, true), declared).await;
    assert!(matches!(read, Err(BodyError::TooLarge(_))), "{read:?}");
    let sent = reader.read(&mut payload(100, 62_500, true), None).await;
    assert!(matches!(sent, Err(BodyError::TooLarge(_))), "{sent:?}");
    let fits = reader.read(&mut payload(1, max_bytes, false), None).await;
    assert_eq!(fits.expect("it fits").bytes().len(), max_bytes);
}
