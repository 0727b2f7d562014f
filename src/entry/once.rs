//! The idempotency claim of a request, from before it is sent until its response is stored.

use std::time::Duration;

use serde_json::{Value, json};

use super::auth::RequestError;
use super::dispatch::Dispatch;
use crate::claim::{
    ClaimResult, ClaimStore, HeldClaim, MarkSentError, SentClaim, StoredBody, StoredResponse,
};
use crate::names::{OrganisationName, RequestId};
use crate::outcome::{Refusal, RefusalCode, Unsent};

/// `Retry-After` while another request with the same idempotency key is being served.
const IN_PROGRESS_RETRY_AFTER: Duration = Duration::from_secs(1);

/// `Retry-After` while the object API is unavailable.
const STORE_UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// The idempotency claim of a request, if any.
pub enum RequestClaim {
    /// The request has no claim.
    Unclaimed,
    /// The claim is held; nothing was sent to a backend server yet.
    Held(HeldClaim),
    /// The claim is marked as sent; a backend server may have received the request.
    Sent(SentClaim),
}

/// The result of claiming the idempotency key of a request.
pub enum ClaimDecision {
    /// The request may proceed.
    Proceed(RequestClaim),
    /// An earlier request completed with this response.
    Replay(StoredResponse),
    /// The request is refused.
    Refused(Refusal),
}

/// Claims an idempotency key, if the request has one.
pub async fn claim(
    claims: &ClaimStore,
    request: &RequestId,
    organisation: &OrganisationName,
    key: Option<&str>,
    content_hash: impl FnOnce() -> String,
) -> ClaimDecision {
    let Some(key) = key else { return ClaimDecision::Proceed(RequestClaim::Unclaimed) };
    match claims.claim(request.clone(), organisation, key, content_hash()).await {
        ClaimResult::Held(held) => ClaimDecision::Proceed(RequestClaim::Held(held)),
        ClaimResult::Replay(response) if response.body == StoredBody::TooLarge => {
            let message = "the request ran before, and its answer was too large to keep";
            ClaimDecision::Refused(
                Unsent::new().mark_sent().refuse_ran(RefusalCode::ClaimUnresolved, message),
            )
        }
        ClaimResult::Replay(response) => ClaimDecision::Replay(response),
        ClaimResult::Mismatch => {
            let message = "the idempotency key was used for another request";
            ClaimDecision::Refused(Unsent::new().refuse(RefusalCode::ClaimMismatch, message))
        }
        ClaimResult::Unavailable => ClaimDecision::Refused(unavailable()),
        // The refusal describes the outcome of the earlier request, not of this retry.
        ClaimResult::InProgress => {
            let message = "a request with this idempotency key is being served";
            let sent = Unsent::new().mark_sent();
            let refusal = sent.refuse_unknown(RefusalCode::ClaimInProgress, message);
            ClaimDecision::Refused(refusal.with_retry_after(IN_PROGRESS_RETRY_AFTER))
        }
        ClaimResult::Unresolved => {
            let message = "a request with this idempotency key was sent, with unknown outcome";
            let sent = Unsent::new().mark_sent();
            ClaimDecision::Refused(sent.refuse_unknown(RefusalCode::ClaimUnresolved, message))
        }
    }
}

fn unavailable() -> Refusal {
    let message = "the idempotency key can't be claimed now";
    Unsent::new()
        .refuse(RefusalCode::ClaimUnavailable, message)
        .with_retry_after(STORE_UNAVAILABLE_RETRY_AFTER)
}

impl RequestClaim {
    /// Returns whether the request holds a claim.
    pub fn is_claimed(&self) -> bool {
        !matches!(self, Self::Unclaimed)
    }

    /// Marks the claim as sent, before the first byte is written.
    ///
    /// # Errors
    /// If the mark may not have been written; the request must not be sent.
    pub async fn mark_sent(&mut self) -> Result<(), RequestError> {
        // After an error the claim object is left as it is: the mark may still be written, and a
        // claim without it can be taken over once it counts as abandoned.
        match std::mem::replace(self, Self::Unclaimed) {
            Self::Held(held) => {
                *self = Self::Sent(held.mark_sent().await.map_err(mark_sent_error)?);
            }
            other => *self = other,
        }
        Ok(())
    }

    /// Ends the claim of a request without a complete response: releases it if nothing was sent,
    /// else marks its outcome as unresolved.
    pub async fn end_without_response(self, dispatch: &Dispatch) {
        match (self, dispatch) {
            (Self::Unclaimed, _) => {}
            (Self::Held(held), _) => held.release().await,
            (Self::Sent(sent), Dispatch::Unsent(unsent)) => sent.release(unsent).await,
            (Self::Sent(sent), Dispatch::Sent(_)) => sent.mark_unresolved().await,
        }
    }

    /// Stores the complete response with the claim.
    pub async fn store_response(self, response: impl FnOnce() -> StoredResponse) {
        if let Self::Sent(sent) = self {
            sent.mark_done(response()).await;
        }
    }
}

fn mark_sent_error(reason: MarkSentError) -> RequestError {
    match reason {
        MarkSentError::TakenOver => {
            let message = "another request with this idempotency key took over";
            RequestError::new(RefusalCode::ClaimInProgress, message)
        }
        MarkSentError::Uncertain => {
            let message = "the idempotency key could not be marked as sent";
            RequestError::new(RefusalCode::ClaimUnavailable, message)
        }
    }
}

/// Converts a JSON response to its stored form.
pub fn stored_json(value: &Value) -> StoredResponse {
    StoredResponse {
        status: 200,
        headers: vec![("content-type".to_owned(), "application/json".to_owned())],
        body: StoredBody::from_bytes(value.to_string().as_bytes()),
    }
}

/// Encodes a stored chat response as stream events.
pub fn replay_as_events(body: &[u8], include_usage: bool) -> Vec<u8> {
    let response: Value = serde_json::from_slice(body).unwrap_or_default();
    let choice = &response["choices"][0];
    let mut streamed = json!({ "index": 0, "finish_reason": choice["finish_reason"] });
    for (from, to) in [("message", "delta"), ("text", "text")] {
        if !choice[from].is_null() {
            streamed[to] = choice[from].clone();
        }
    }
    let mut chunk = response.clone();
    chunk["object"] = "chat.completion.chunk".into();
    chunk["choices"] = json!([streamed]);
    chunk["usage"] = Value::Null;
    let mut events = super::sse::json_event(&chunk).to_vec();
    if include_usage {
        chunk["choices"] = json!([]);
        chunk["usage"] = response["usage"].clone();
        events.extend_from_slice(&super::sse::json_event(&chunk));
    }
    events.extend_from_slice(&super::sse::event(super::sse::DONE.as_bytes()));
    events
}
