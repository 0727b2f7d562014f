//! State machines that acquire and update a claim, independent of I/O.

use super::record::{ClaimRecord, ClaimState, StoredResponse};

/// Maximum number of calls per acquisition or transition.
pub const MAX_CALLS: u32 = 6;

/// A call to the object API for the claim object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Creates the object if absent.
    Create(ClaimRecord),
    /// Reads the object.
    Read,
    /// Replaces the object if it has this version.
    Update(String, ClaimRecord),
}

/// The reply to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreReply {
    /// The object was written and has this version.
    Written(String),
    /// The object was read.
    Found {
        /// Version of the object.
        version: String,
        /// The stored claim.
        record: ClaimRecord,
        /// Whether the holder is known to have stopped, or the claim is older than its limit.
        abandoned: bool,
    },
    /// The object does not exist.
    NotFound,
    /// The object already exists or has another version; nothing was written.
    Conflict,
    /// The call was refused; nothing was written.
    Refused,
    /// No reply was received; the object may have been written, or may be written later.
    Unknown,
}

/// The next action of a state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next<T> {
    /// Make a call.
    Call(StoreCall),
    /// The state machine has ended with this result.
    End(T),
}

/// The result of acquiring a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AcquireOutcome {
    /// The claim is held at this version.
    Held(String),
    /// An earlier request completed with this response.
    Replay(StoredResponse),
    /// Another request holds the claim and is being served.
    InProgress,
    /// The key was used for a request with different content.
    Mismatch,
    /// An earlier request was sent, with unknown outcome.
    Unresolved,
    /// The object API refused a call, or too many calls were needed.
    Unavailable,
}

/// State machine that acquires a claim.
#[derive(Debug, Clone)]
pub struct Acquire {
    own: ClaimRecord,
    calls: u32,
}

impl Acquire {
    /// Creates the state machine for a record in the state [`ClaimState::Claimed`].
    pub fn new(own: ClaimRecord) -> Self {
        Self { own, calls: 0 }
    }

    /// Returns the first call.
    pub fn start(&mut self) -> Next<AcquireOutcome> {
        self.call(StoreCall::Create(self.own.clone()))
    }

    /// Processes the reply to the latest call and returns the next action.
    pub fn handle_reply(&mut self, reply: StoreReply) -> Next<AcquireOutcome> {
        match reply {
            StoreReply::Written(version) => Next::End(AcquireOutcome::Held(version)),
            StoreReply::Found { version, record, abandoned } => {
                self.evaluate(version, record, abandoned)
            }
            StoreReply::NotFound => self.call(StoreCall::Create(self.own.clone())),
            StoreReply::Conflict | StoreReply::Unknown => self.call(StoreCall::Read),
            StoreReply::Refused => Next::End(AcquireOutcome::Unavailable),
        }
    }

    fn evaluate(
        &mut self,
        version: String,
        found: ClaimRecord,
        abandoned: bool,
    ) -> Next<AcquireOutcome> {
        if found == self.own {
            return Next::End(AcquireOutcome::Held(version));
        }
        if found.content_hash != self.own.content_hash {
            return Next::End(AcquireOutcome::Mismatch);
        }
        match found.state {
            ClaimState::Done(response) => Next::End(AcquireOutcome::Replay(response)),
            ClaimState::Claimed if abandoned => {
                self.call(StoreCall::Update(version, self.own.clone()))
            }
            ClaimState::Claimed => Next::End(AcquireOutcome::InProgress),
            ClaimState::Sent if !abandoned => Next::End(AcquireOutcome::InProgress),
            ClaimState::Sent | ClaimState::Unresolved => Next::End(AcquireOutcome::Unresolved),
        }
    }

    fn call(&mut self, call: StoreCall) -> Next<AcquireOutcome> {
        self.calls += 1;
        if self.calls > MAX_CALLS {
            Next::End(AcquireOutcome::Unavailable)
        } else {
            Next::Call(call)
        }
    }
}

/// The result of a state transition of a held claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransitionOutcome {
    /// The new state is written, and the claim has this version.
    Written(String),
    /// Another request took the claim over, or the claim was deleted.
    TakenOver,
    /// The new state may have been written, may be written later, or never.
    Uncertain,
}

/// State machine that changes the state of a held claim.
#[derive(Debug, Clone)]
pub struct Transition {
    version: String,
    target: ClaimRecord,
    calls: u32,
}

impl Transition {
    /// Creates the state machine that replaces the claim at `version` with `target`.
    pub fn new(version: String, target: ClaimRecord) -> Self {
        Self { version, target, calls: 0 }
    }

    /// Returns the first call.
    pub fn start(&mut self) -> Next<TransitionOutcome> {
        self.call(StoreCall::Update(self.version.clone(), self.target.clone()))
    }

    /// Processes the reply to the latest call and returns the next action.
    pub fn handle_reply(&mut self, reply: StoreReply) -> Next<TransitionOutcome> {
        match reply {
            StoreReply::Written(version) => Next::End(TransitionOutcome::Written(version)),
            StoreReply::Found { version, record, .. } if record == self.target => {
                Next::End(TransitionOutcome::Written(version))
            }
            StoreReply::Found { version, .. } if version == self.version => self.start(),
            StoreReply::Found { .. } | StoreReply::NotFound => {
                Next::End(TransitionOutcome::TakenOver)
            }
            StoreReply::Conflict | StoreReply::Unknown => self.call(StoreCall::Read),
            StoreReply::Refused => Next::End(TransitionOutcome::Uncertain),
        }
    }

    fn call(&mut self, call: StoreCall) -> Next<TransitionOutcome> {
        self.calls += 1;
        if self.calls > MAX_CALLS {
            Next::End(TransitionOutcome::Uncertain)
        } else {
            Next::Call(call)
        }
    }
}
