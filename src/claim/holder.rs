//! The life of a claim as its holder sees it, and the calls on the object API.

use std::time::Duration;

use tokio::time::sleep;

use super::machine::{Acquire, Acquired, Answer, Call, Change, Changed, Next};
use super::record::{ClaimRecord, ClaimState, StoredAnswer, object_name};
use crate::clock::wall_millis;
use crate::context::Context;
use crate::names::{OrganisationName, RequestId};
use crate::outcome::Unsent;
use crate::platform::{PlatformError, StoreKind};

/// Age after which a claim that was not marked as sent may be taken over.
const TAKE_OVER_AFTER: Duration = Duration::from_secs(30);
/// The same if the list of instances, which lags, does not hold the holder.
const UNLISTED_TAKE_OVER_AFTER: Duration = Duration::from_secs(5);
/// Delays before the answer of a request is stored again after a failure.
const STORE_DELAYS: [Duration; 4] = [
    Duration::from_millis(500),
    Duration::from_secs(2),
    Duration::from_secs(8),
    Duration::from_secs(30),
];

/// Makes claims; clones share the connections.
#[derive(Clone)]
pub struct Claims {
    cx: Context,
}

/// What became of the wish to claim a key.
pub enum Claim {
    /// The claim is held.
    Held(Claimed),
    /// The request ran before; this was its answer.
    Replay(StoredAnswer),
    /// Another request holds the claim.
    InProgress,
    /// The key names another request.
    Mismatch,
    /// The request was sent before, with unknown outcome.
    Unresolved,
    /// The object API can't tell.
    Unavailable,
}

/// A claim that is held; nothing was sent to a backend server.
pub struct Claimed {
    place: Box<Place>,
}

/// A claim marked as sent: its holder, and no other request ever, may send.
pub struct SentClaim {
    place: Box<Place>,
}

/// Why a claim could not be marked as sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotMarked {
    /// Another request took the claim over.
    TakenOver,
    /// The object API can't tell.
    Unsure,
}

/// A claim's object as its holder knows it.
struct Place {
    claims: Claims,
    name: String,
    version: String,
    record: ClaimRecord,
}

impl Claims {
    /// Prepares claims for this instance.
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
    ) -> Claim {
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
            Acquired::Held(version) => Claim::Held(Claimed {
                place: Box::new(Place { claims: self.clone(), name, version, record }),
            }),
            Acquired::Replay(answer) => Claim::Replay(answer),
            Acquired::InProgress => Claim::InProgress,
            Acquired::Mismatch => Claim::Mismatch,
            Acquired::Unresolved => Claim::Unresolved,
            Acquired::Unavailable => Claim::Unavailable,
        }
    }

    async fn acquire(&self, name: &str, record: ClaimRecord) -> Acquired {
        let mut machine = Acquire::new(record);
        let mut next = machine.start();
        loop {
            match next {
                Next::Call(call) => next = machine.take(self.call(name, call).await),
                Next::End(end) => return end,
            }
        }
    }

    async fn change(&self, name: &str, version: &str, target: ClaimRecord) -> Changed {
        let mut machine = Change::new(version.to_owned(), target);
        let mut next = machine.start();
        loop {
            match next {
                Next::Call(call) => next = machine.take(self.call(name, call).await),
                Next::End(end) => return end,
            }
        }
    }

    async fn call(&self, name: &str, call: Call) -> Answer {
        let objects = &self.cx.objects;
        let kind = StoreKind::Claims;
        let answer = match call {
            Call::Create(record) => objects.create(kind, name, &record).await.map(Answer::Written),
            Call::Update(version, record) => {
                objects.update(kind, name, &version, &record).await.map(Answer::Written)
            }
            Call::Read => objects.get::<ClaimRecord>(kind, name).await.map(|found| {
                let abandoned = self.is_abandoned(&found.spec);
                Answer::Found { version: found.version, record: found.spec, abandoned }
            }),
        };
        answer.unwrap_or_else(|error| match error {
            PlatformError::NotFound => Answer::NotFound,
            PlatformError::Conflict => Answer::Conflict,
            PlatformError::Refused(_) => Answer::Refused,
            PlatformError::Unknown(_) | PlatformError::Malformed(_) => Answer::Unknown,
        })
    }

    /// Returns whether the holder of a claim is gone, or made it long ago.
    fn is_abandoned(&self, record: &ClaimRecord) -> bool {
        let age = Duration::from_millis(wall_millis().saturating_sub(record.created_ms));
        let own_name = record.instance == self.cx.options.instance;
        let restarted = own_name && record.incarnation != self.cx.incarnation;
        let listed = own_name || self.cx.members.borrow().listed.contains_key(&record.instance);
        restarted || age > TAKE_OVER_AFTER || !listed && age > UNLISTED_TAKE_OVER_AFTER
    }
}

impl Claimed {
    /// Marks the claim as sent; call it before the first byte is written.
    ///
    /// # Errors
    /// If it is not certain that the mark is written; then nothing may be sent.
    pub async fn mark_sent(self) -> Result<SentClaim, NotMarked> {
        let Place { claims, name, version, record } = *self.place;
        let target = ClaimRecord { state: ClaimState::Sent, ..record };
        match claims.change(&name, &version, target.clone()).await {
            Changed::Written(version) => {
                let place = Place { claims, name, version, record: target };
                Ok(SentClaim { place: Box::new(place) })
            }
            Changed::Lost => Err(NotMarked::TakenOver),
            Changed::Unsure => Err(NotMarked::Unsure),
        }
    }

    /// Gives the claim up, so that a later request may run.
    pub async fn release(self) {
        self.place.delete().await;
    }
}

impl SentClaim {
    /// Gives the claim up after it turned out that no byte was written.
    pub async fn release(self, _proof: &Unsent) {
        self.place.delete().await;
    }

    /// Stores the answer; goes on trying in the background if the object API fails.
    pub async fn finish(mut self, answer: StoredAnswer) {
        let state = ClaimState::Done(answer);
        if self.place.store(state.clone()).await {
            return;
        }
        tokio::spawn(async move {
            for delay in STORE_DELAYS {
                sleep(delay).await;
                if self.place.store(state.clone()).await {
                    return;
                }
            }
            tracing::warn!(request = %self.place.record.request, "the answer could not be stored");
        });
    }

    /// Notes that no whole answer came.
    pub async fn leave_unresolved(mut self) {
        self.place.store(ClaimState::Unresolved).await;
    }
}

impl Place {
    /// Writes a state; returns whether there is nothing left to do.
    async fn store(&mut self, state: ClaimState) -> bool {
        let target = ClaimRecord { state, ..self.record.clone() };
        !matches!(self.claims.change(&self.name, &self.version, target).await, Changed::Unsure)
    }

    async fn delete(self) {
        let objects = &self.claims.cx.objects;
        if let Err(error) = objects.delete(StoreKind::Claims, &self.name, &self.version).await {
            // A claim that stays behind is taken over or reported as unresolved.
            tracing::info!(request = %self.record.request, %error, "claim not released");
        }
    }
}
