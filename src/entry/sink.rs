//! The way of an answer from the task that serves a request to the caller's connection.
//!
//! The head tells how the answer begins, events follow over a bounded channel, and the tail ends
//! a stream. A stream whose tail never comes is aborted, so that it can't look whole.

use std::time::Duration;

use bytes::Bytes;
use futures::{Stream, StreamExt, stream};
use salvo::http::{HeaderMap, StatusCode};
use serde_json::Value;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};
use tokio_stream::wrappers::ReceiverStream;

use super::sse;
use crate::outcome::Refusal;

/// Events that wait for a slow caller before the engine's stream is read no further.
const BUFFERED_EVENTS: usize = 32;
/// Time without an event after which a stream's caller gets a comment.
const KEEP_ALIVE_PERIOD: Duration = Duration::from_secs(5);

/// How an answer begins.
#[derive(Debug)]
pub enum Head {
    /// It is a refusal.
    Refused(Refusal),
    /// It is a stream.
    Streaming,
    /// It is one JSON value.
    Json(Value),
    /// It is an answer of a plain service, whose body follows.
    Plain(StatusCode, HeaderMap),
}

/// The caller is gone, or reads nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerDisconnected;

/// Sending side.
pub struct ResponseSink {
    streamed: bool,
    head: Option<oneshot::Sender<Head>>,
    events: mpsc::Sender<Bytes>,
    tail: oneshot::Sender<Bytes>,
    send_timeout: Duration,
    /// Whether the request goes on without its caller.
    continues_without_caller: bool,
    /// Whether an event was not passed on, so that the stream may not end as if it were whole.
    has_gap: bool,
}

/// Receiving side.
pub struct ResponseSource {
    head: oneshot::Receiver<Head>,
    events: mpsc::Receiver<Bytes>,
    tail: oneshot::Receiver<Bytes>,
}

/// Makes both sides; a caller that takes no event for `send_timeout` counts as gone.
pub fn channel(streamed: bool, send_timeout: Duration) -> (ResponseSink, ResponseSource) {
    let (head_tx, head) = oneshot::channel();
    let (events_tx, events) = mpsc::channel(BUFFERED_EVENTS);
    let (tail_tx, tail) = oneshot::channel();
    let sink = ResponseSink {
        streamed,
        head: Some(head_tx),
        events: events_tx,
        tail: tail_tx,
        send_timeout,
        continues_without_caller: false,
        has_gap: false,
    };
    (sink, ResponseSource { head, events, tail })
}

impl ResponseSink {
    /// Returns whether the caller wants a stream.
    pub fn is_streamed(&self) -> bool {
        self.streamed
    }

    /// Makes the request go on when its caller is gone.
    pub fn continue_without_caller(&mut self) {
        self.continues_without_caller = true;
    }

    /// Passes an event to the caller of a stream.
    ///
    /// # Errors
    /// If the caller is gone or reads nothing.
    pub async fn send_event(&mut self, event: Bytes) -> Result<(), CallerDisconnected> {
        self.send_stream_head();
        if !self.has_gap {
            let passed = timeout(self.send_timeout, self.events.send(event)).await;
            self.has_gap = !matches!(passed, Ok(Ok(())));
        }
        if self.has_gap && !self.continues_without_caller {
            Err(CallerDisconnected)
        } else {
            Ok(())
        }
    }

    /// Keeps the connection to the caller alive; returns when the caller is gone.
    pub async fn keep_alive_until_disconnect(&mut self) {
        if self.continues_without_caller && self.events.is_closed() {
            std::future::pending::<()>().await;
        }
        loop {
            tokio::select! {
                () = self.events.closed(), if !self.continues_without_caller => return,
                () = sleep(KEEP_ALIVE_PERIOD) => {
                    if self.streamed && self.send_event(sse::KEEP_ALIVE).await.is_err() {
                        return;
                    }
                }
            }
        }
    }

    /// Ends a stream as whole.
    pub fn complete_stream(mut self) {
        self.send_stream_head();
        if !self.has_gap {
            let _ = self.tail.send(sse::event(sse::DONE.as_bytes()));
        }
    }

    /// Answers with one value.
    pub fn complete_json(mut self, value: Value) {
        if let Some(head) = self.head.take() {
            let _ = head.send(Head::Json(value));
        }
    }

    /// Ends with a refusal: as the whole answer, or as the last event of a stream that began.
    pub fn refuse(mut self, refusal: Refusal, body: &Value) {
        match self.head.take() {
            Some(head) => {
                let _ = head.send(Head::Refused(refusal));
            }
            None => {
                let _ = self.tail.send(sse::json_event(body));
            }
        }
    }

    /// Ends with a refusal, or aborts the answer of a plain service that began.
    pub fn refuse_plain(mut self, refusal: Refusal) {
        if let Some(head) = self.head.take() {
            let _ = head.send(Head::Refused(refusal));
        }
    }

    /// Begins the answer of a plain service.
    pub fn start_plain(&mut self, status: StatusCode, headers: HeaderMap) {
        if let Some(head) = self.head.take() {
            let _ = head.send(Head::Plain(status, headers));
        }
    }

    /// Ends the answer of a plain service with its last bytes.
    pub fn complete_plain(self, last: Bytes) {
        if !self.has_gap {
            let _ = self.tail.send(last);
        }
    }

    fn send_stream_head(&mut self) {
        if let Some(head) = self.head.take() {
            let _ = head.send(Head::Streaming);
        }
    }
}

impl ResponseSource {
    /// Waits for the head; none if the serving task failed.
    pub async fn head(&mut self) -> Option<Head> {
        (&mut self.head).await.ok()
    }

    /// Returns the bytes of the stream; it ends with an error if the tail never comes.
    pub fn into_stream(self) -> impl Stream<Item = Result<Bytes, std::io::Error>> + Send {
        let Self { events, tail, .. } = self;
        let tail = async move { tail.await.map_err(|_| std::io::Error::other("answer cut short")) };
        ReceiverStream::new(events).map(Ok).chain(stream::once(tail))
    }
}
