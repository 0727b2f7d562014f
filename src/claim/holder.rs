//! Acquisition, update and release of claims through the object API.

use std::time::Duration;

use tokio::time::sleep;

use super::machine::{
    Acquire, AcquireOutcome, Next, StoreCall, StoreReply, Transition, TransitionOutcome,
};
use super::record::{ClaimRecord, ClaimState, StoredResponse, object_name};
use crate::clock::wall_millis;
use crate::context::Context;
use crate::names::{OrganisationName, RequestId};
use crate::outcome::Unsent;
use crate::platform::{ObjectKind, PlatformError};

/// Age after which a claim counts as abandoned; if it was not marked as sent, another request may
/// then take it over.
const TAKE_OVER_AFTER: Duration = Duration::from_secs(30);
/// Age after which a claim counts as abandoned if its holder is not in the list of instances, which
/// may be out of date.
const UNLISTED_TAKE_OVER_AFTER: Duration = Duration::from_secs(5);
/// Delays before each retry of storing a response.
const STORE_RETRY_DELAYS: [Duration; 4] = [
    Duration::from_millis(500),
    Duration::from_secs(2),
    Duration::from_secs(8),
    Duration::from_secs(30),
];

/// Claims idempotency keys in the object API; clones share the connections.
#[derive(Clone)]
pub struct ClaimStore {
    cx: Context,
}

/// The result of claiming an idempotency key.
pub enum ClaimResult {
    /// The claim is held.
    Held(HeldClaim),
    /// An earlier request completed with this response.
    Replay(StoredResponse),
    /// Another request holds the claim and is being served.
    InProgress,
    /// The key was used for a request with different content.
    Mismatch,
    /// An earlier request was sent, with unknown outcome.
    Unresolved,
    /// The object API failed or refused the calls.
    Unavailable,
}

/// A claim held by this instance; nothing was sent to a backend server yet.
pub struct HeldClaim {
    object: Box<ClaimObject>,
}

/// A claim marked as sent; only the request that holds it may be sent.
pub struct SentClaim {
    object: Box<ClaimObject>,
}

/// Why a claim could not be marked as sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MarkSentError {
    /// Another request took the claim over.
    TakenOver,
    /// The update may or may not have been written.
    Uncertain,
}

/// A claim object with the version and record last known to its holder.
struct ClaimObject {
    store: ClaimStore,
    name: String,
    version: String,
    record: ClaimRecord,
}

impl ClaimStore {
    /// Creates the store for this instance.
    pub fn new(cx: Context) -> Self {
        Self { cx }
    }

    /// Claims an idempotency key for a request.
    pub async fn claim(
        &self,
        request: RequestId,
        organisation: &OrganisationName,
        key: &str,
        content_hash: String,
    ) -> ClaimResult {
        let name = object_name(organisation, key);
        let record = ClaimRecord {
            request,
            instance: self.cx.options.instance.clone(),
            incarnation: self.cx.incarnation,
            content_hash,
            created_ms: wall_millis(),
            state: ClaimState::Claimed,
        };
        match self.acquire(&name, record.clone()).await {
            AcquireOutcome::Held(version) => ClaimResult::Held(HeldClaim {
                object: Box::new(ClaimObject { store: self.clone(), name, version, record }),
            }),
            AcquireOutcome::Replay(response) => ClaimResult::Replay(response),
            AcquireOutcome::InProgress => ClaimResult::InProgress,
            AcquireOutcome::Mismatch => ClaimResult::Mismatch,
            AcquireOutcome::Unresolved => ClaimResult::Unresolved,
            AcquireOutcome::Unavailable => ClaimResult::Unavailable,
        }
    }

    async fn acquire(&self, name: &str, record: ClaimRecord) -> AcquireOutcome {
        let mut machine = Acquire::new(record);
        let mut next = machine.start();
        loop {
            match next {
                Next::Call(call) => next = machine.handle_reply(self.call(name, call).await),
                Next::End(end) => return end,
            }
        }
    }

    async fn transition(
        &self,
        name: &str,
        version: &str,
        target: ClaimRecord,
    ) -> TransitionOutcome {
        let mut machine = Transition::new(version.to_owned(), target);
        let mut next = machine.start();
        loop {
            match next {
                Next::Call(call) => next = machine.handle_reply(self.call(name, call).await),
                Next::End(end) => return end,
            }
        }
    }

    async fn call(&self, name: &str, call: StoreCall) -> StoreReply {
        let objects = &self.cx.objects;
        let kind = ObjectKind::Claims;
        let reply = match call {
            StoreCall::Create(record) => {
                objects.create(kind, name, &record).await.map(StoreReply::Written)
            }
            StoreCall::Update(version, record) => {
                objects.update(kind, name, &version, &record).await.map(StoreReply::Written)
            }
            StoreCall::Read => objects.get::<ClaimRecord>(kind, name).await.map(|found| {
                let abandoned = self.is_abandoned(&found.spec);
                StoreReply::Found { version: found.version, record: found.spec, abandoned }
            }),
        };
        reply.unwrap_or_else(|error| match error {
            PlatformError::NotFound => StoreReply::NotFound,
            PlatformError::Conflict => StoreReply::Conflict,
            PlatformError::Refused(_) => StoreReply::Refused,
            PlatformError::Unknown(_) | PlatformError::Malformed(_) => StoreReply::Unknown,
        })
    }

    /// Returns whether the holder of a claim has restarted, or the claim is older than its limit.
    fn is_abandoned(&self, record: &ClaimRecord) -> bool {
        let age = Duration::from_millis(wall_millis().saturating_sub(record.created_ms));
        let is_own = record.instance == self.cx.options.instance;
        let restarted = is_own && record.incarnation != self.cx.incarnation;
        let listed = is_own || self.cx.members.borrow().listed.contains_key(&record.instance);
        restarted || age > TAKE_OVER_AFTER || !listed && age > UNLISTED_TAKE_OVER_AFTER
    }
}

impl HeldClaim {
    /// Marks the claim as sent; must be called before the first byte is written.
    ///
    /// # Errors
    /// If the mark may not have been written; the request must not be sent.
    pub async fn mark_sent(self) -> Result<SentClaim, MarkSentError> {
        let ClaimObject { store, name, version, record } = *self.object;
        let target = ClaimRecord { state: ClaimState::Sent, ..record };
        match store.transition(&name, &version, target.clone()).await {
            TransitionOutcome::Written(version) => {
                let object = ClaimObject { store, name, version, record: target };
                Ok(SentClaim { object: Box::new(object) })
            }
            TransitionOutcome::TakenOver => Err(MarkSentError::TakenOver),
            TransitionOutcome::Uncertain => Err(MarkSentError::Uncertain),
        }
    }

    /// Releases the claim, so that a later request can run.
    pub async fn release(self) {
        self.object.delete().await;
    }
}

impl SentClaim {
    /// Releases the claim of a request of which no byte was written.
    pub async fn release(self, _proof: &Unsent) {
        self.object.delete().await;
    }

    /// Stores the response; if the object API fails, retries in the background.
    pub async fn mark_done(mut self, response: StoredResponse) {
        let state = ClaimState::Done(response);
        if self.object.write_state(state.clone()).await {
            return;
        }
        tokio::spawn(async move {
            for delay in STORE_RETRY_DELAYS {
                sleep(delay).await;
                if self.object.write_state(state.clone()).await {
                    return;
                }
            }
            tracing::warn!(request = %self.object.record.request,
                "response not stored with its idempotency claim after all retries");
        });
    }

    /// Marks the outcome as unresolved: no complete response was received.
    pub async fn mark_unresolved(mut self) {
        self.object.write_state(ClaimState::Unresolved).await;
    }
}

impl ClaimObject {
    /// Writes a state; returns false if the write should be retried, and true if it succeeded or
    /// another request took the claim over, so that a retry would fail as well.
    async fn write_state(&mut self, state: ClaimState) -> bool {
        let target = ClaimRecord { state, ..self.record.clone() };
        !matches!(
            self.store.transition(&self.name, &self.version, target).await,
            TransitionOutcome::Uncertain
        )
    }

    async fn delete(self) {
        let objects = &self.store.cx.objects;
        if let Err(error) = objects.delete(ObjectKind::Claims, &self.name, &self.version).await {
            // A remaining claim is taken over later or reported as unresolved.
            tracing::info!(request = %self.record.request, %error,
                "idempotency claim not released");
        }
    }
}
