//! Tests of the channel for a response of `laburnumvalve serve`.

use std::pin::pin;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use laburnumvalve::entry::sink::channel;

/// Guards against a connection that closes without a response, as the error that aborts a stream comes
/// before its head and events are written to the caller.
#[tokio::test]
async fn events_are_written_before_a_stream_is_aborted() {
    let (mut sink, source) = channel(true, Duration::from_secs(1));
    let event = Bytes::from_static(b"data: a\n\n");
    sink.send_event(event.clone()).await.expect("the caller reads");
    drop(sink);
    let mut body = pin!(source.into_stream());

    let first = futures::poll!(body.next());
    let second = futures::poll!(body.next());
    let last = body.next().await;

    assert!(matches!(first, Poll::Ready(Some(Ok(bytes))) if bytes == event));
    assert!(second.is_pending(), "the connection has no time to write the event");
    assert!(matches!(last, Some(Err(_))));
}
