//! The claim of a request that must run at most once, over the request's life.

use std::time::Duration;

use serde_json::{Value, json};

use super::auth::Denial;
use super::dispatch::Dispatch;
use crate::claim::{Claim, Claimed, Claims, NotMarked, SentClaim, StoredAnswer, StoredBody};
use crate::names::{OrganisationName, RequestId};
use crate::outcome::{Refusal, RefusalCode, Unsent};

/// Time after which the answer to a request that is being served may be there.
const IN_PROGRESS_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time after which the object API may be there again.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// The claim of a request, if it has one.
pub enum Once {
    /// The request has no claim.
    Free,
    /// The claim is held and nothing was sent.
    Claimed(Claimed),
    /// The claim is marked as sent.
    Sent(SentClaim),
}

/// What claiming led to.
pub enum Start {
    /// The request may go on.
    Go(Once),
    /// The request ran before; this was its answer.
    Replay(StoredAnswer),
    /// The request is refused.
    Refused(Refusal),
}

/// Claims an idempotency key, if the request has one.
pub async fn claim(
    claims: &Claims,
    request: &RequestId,
    organisation: &OrganisationName,
    key: Option<&str>,
    content_hash: impl FnOnce() -> String,
) -> Start {
    let Some(key) = key else { return Start::Go(Once::Free) };
    match claims.claim(request.clone(), organisation, key, content_hash()).await {
        Claim::Held(claimed) => Start::Go(Once::Claimed(claimed)),
        Claim::Replay(answer) if answer.body == StoredBody::TooLarge => {
            let message = "the request ran before, and its answer was too large to keep";
            Start::Refused(Unsent::new().send().refuse_ran(RefusalCode::ClaimUnresolved, message))
        }
        Claim::Replay(answer) => Start::Replay(answer),
        Claim::Mismatch => {
            let message = "the idempotency key was used for another request";
            Start::Refused(Unsent::new().refuse(RefusalCode::ClaimMismatch, message))
        }
        Claim::Unavailable => Start::Refused(unavailable()),
        // The outcome of the work that the key names is told, not that of this repeat.
        Claim::InProgress => {
            let message = "a request with this idempotency key is being served";
            let sent = Unsent::new().send();
            let refusal = sent.refuse_unknown(RefusalCode::ClaimInProgress, message);
            Start::Refused(refusal.with_retry_after(IN_PROGRESS_RETRY_AFTER))
        }
        Claim::Unresolved => {
            let message = "a request with this idempotency key was sent, with unknown outcome";
            let sent = Unsent::new().send();
            Start::Refused(sent.refuse_unknown(RefusalCode::ClaimUnresolved, message))
        }
    }
}

fn unavailable() -> Refusal {
    let message = "the idempotency key can't be claimed now";
    Unsent::new()
        .refuse(RefusalCode::ClaimUnavailable, message)
        .with_retry_after(UNAVAILABLE_RETRY_AFTER)
}

impl Once {
    /// Returns whether the request has a claim.
    pub fn is_claimed(&self) -> bool {
        !matches!(self, Self::Free)
    }

    /// Marks the claim as sent, before the first byte is written.
    ///
    /// # Errors
    /// If it is not certain that the mark is written; then nothing may be sent.
    pub async fn before_send(&mut self) -> Result<(), Denial> {
        match std::mem::replace(self, Self::Free) {
            Self::Claimed(claimed) => {
                *self = Self::Sent(claimed.mark_sent().await.map_err(not_marked)?);
            }
            other => *self = other,
        }
        Ok(())
    }

    /// Ends the claim of a request that got no whole answer.
    pub async fn end_without_answer(self, dispatch: &Dispatch) {
        match (self, dispatch) {
            (Self::Free, _) => {}
            (Self::Claimed(claimed), _) => claimed.release().await,
            (Self::Sent(sent), Dispatch::Unsent(unsent)) => sent.release(unsent).await,
            (Self::Sent(sent), Dispatch::Sent(_)) => sent.leave_unresolved().await,
        }
    }

    /// Stores the whole answer.
    pub async fn finish(self, answer: impl FnOnce() -> StoredAnswer) {
        if let Self::Sent(sent) = self {
            sent.finish(answer()).await;
        }
    }
}

fn not_marked(reason: NotMarked) -> Denial {
    match reason {
        NotMarked::TakenOver => {
            let message = "another request with this idempotency key took over";
            Denial::new(RefusalCode::ClaimInProgress, message)
        }
        NotMarked::Unsure => {
            let message = "the idempotency key could not be marked as sent";
            Denial::new(RefusalCode::ClaimUnavailable, message)
        }
    }
}

/// Returns the form in which a JSON answer is stored.
pub fn stored_json(value: &Value) -> StoredAnswer {
    StoredAnswer {
        status: 200,
        headers: vec![("content-type".to_owned(), "application/json".to_owned())],
        body: StoredBody::keep(value.to_string().as_bytes()),
    }
}

/// Writes a stored chat answer as the events of a stream.
pub fn stored_as_events(body: &[u8], include_usage: bool) -> Vec<u8> {
    let answer: Value = serde_json::from_slice(body).unwrap_or_default();
    let choice = &answer["choices"][0];
    let mut streamed = json!({ "index": 0, "finish_reason": choice["finish_reason"] });
    for (from, to) in [("message", "delta"), ("text", "text")] {
        if !choice[from].is_null() {
            streamed[to] = choice[from].clone();
        }
    }
    let mut chunk = answer.clone();
    chunk["object"] = "chat.completion.chunk".into();
    chunk["choices"] = json!([streamed]);
    chunk["usage"] = Value::Null;
    let mut events = super::sse::json_event(&chunk).to_vec();
    if include_usage {
        chunk["choices"] = json!([]);
        chunk["usage"] = answer["usage"].clone();
        events.extend_from_slice(&super::sse::json_event(&chunk));
    }
    events.extend_from_slice(&super::sse::event(super::sse::DONE.as_bytes()));
    events
}
