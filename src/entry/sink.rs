//! Channel for a response, from the task that serves a request to the caller's connection.
//!
//! The head determines the kind of response, events follow over a bounded channel, and the tail
//! ends a stream. A stream without a tail is aborted, so that the caller can't take a truncated
//! response for a complete one.

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

/// Events buffered for a slow caller; when the buffer is full, reading from the engine stops.
const BUFFERED_EVENTS: usize = 32;
/// Idle time after which a keep-alive comment is sent on a stream.
const KEEP_ALIVE_PERIOD: Duration = Duration::from_secs(5);

/// The start of a response.
#[derive(Debug)]
pub enum Head {
    /// A refusal.
    Refused(Refusal),
    /// A stream of server-sent events.
    Streaming,
    /// A complete JSON body.
    Json(Value),
    /// The status and headers of a plain HTTP service; the body follows.
    Plain(StatusCode, HeaderMap),
}

/// The caller has disconnected or does not read the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerDisconnected;

/// Sender of a response.
pub struct ResponseSink {
    streamed: bool,
    head: Option<oneshot::Sender<Head>>,
    events: mpsc::Sender<Bytes>,
    tail: oneshot::Sender<Bytes>,
    send_timeout: Duration,
    /// Whether the request continues after the caller has disconnected.
    continues_without_caller: bool,
    /// Whether an event could not be sent, so that the stream must not end as complete.
    has_gap: bool,
}

/// Receiver of a response.
pub struct ResponseSource {
    head: oneshot::Receiver<Head>,
    events: mpsc::Receiver<Bytes>,
    tail: oneshot::Receiver<Bytes>,
}

/// Creates the channel; a caller that takes no event for `send_timeout` counts as disconnected.
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
    /// Returns whether the caller requested a stream.
    pub fn is_streamed(&self) -> bool {
        self.streamed
    }

    /// Lets the request continue after the caller has disconnected.
    pub fn continue_without_caller(&mut self) {
        self.continues_without_caller = true;
    }

    /// Sends an event to the caller.
    ///
    /// # Errors
    /// If the caller has disconnected or does not read, unless the request continues without it.
    pub async fn send_event(&mut self, event: Bytes) -> Result<(), CallerDisconnected> {
        self.send_stream_head();
        if !self.has_gap {
            let sent = timeout(self.send_timeout, self.events.send(event)).await;
            self.has_gap = !matches!(sent, Ok(Ok(())));
        }
        if self.has_gap && !self.continues_without_caller {
            Err(CallerDisconnected)
        } else {
            Ok(())
        }
    }

    /// Sends keep-alive comments on a stream; returns when the caller has disconnected, or never if
    /// the request continues without it.
    ///
    /// The first comment also sends the head with status 200, so that a later refusal can only be
    /// sent as an event of the stream.
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

    /// Ends a stream as complete, unless an event was lost.
    pub fn complete_stream(mut self) {
        self.send_stream_head();
        if !self.has_gap {
            let _ = self.tail.send(sse::event(sse::DONE.as_bytes()));
        }
    }

    /// Sends a complete JSON response.
    pub fn complete_json(mut self, value: Value) {
        if let Some(head) = self.head.take() {
            let _ = head.send(Head::Json(value));
        }
    }

    /// Sends a refusal: as the response, or as the last event of a stream that has started.
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

    /// Sends a refusal, or aborts the response of a plain service if it has started.
    pub fn refuse_plain(mut self, refusal: Refusal) {
        if let Some(head) = self.head.take() {
            let _ = head.send(Head::Refused(refusal));
        }
    }

    /// Sends the status and headers of a plain service.
    pub fn start_plain(&mut self, status: StatusCode, headers: HeaderMap) {
        if let Some(head) = self.head.take() {
            let _ = head.send(Head::Plain(status, headers));
        }
    }

    /// Ends the response of a plain service with its last bytes, unless earlier ones were lost.
    pub fn complete_plain(self, last_bytes: Bytes) {
        if !self.has_gap {
            let _ = self.tail.send(last_bytes);
        }
    }

    fn send_stream_head(&mut self) {
        if let Some(head) = self.head.take() {
            let _ = head.send(Head::Streaming);
        }
    }
}

impl ResponseSource {
    /// Waits for the head; returns `None` if the serving task ended without sending one.
    pub async fn head(&mut self) -> Option<Head> {
        (&mut self.head).await.ok()
    }

    /// Returns the body stream, which ends with an error if the tail is missing.
    pub fn into_stream(self) -> impl Stream<Item = Result<Bytes, std::io::Error>> + Send {
        let Self { events, tail, .. } = self;
        let tail = async move {
            let Ok(tail) = tail.await else {
                // An error closes the connection at once, so what is still in its buffer, such as the head
                // and the first event, must be written before.
                tokio::task::yield_now().await;
                let why = "response truncated: serving task ended without completing it";
                return Err(std::io::Error::other(why));
            };
            Ok(tail)
        };
        ReceiverStream::new(events).map(Ok).chain(stream::once(tail))
    }
}
