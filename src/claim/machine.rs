//! The decisions of a claim's holder: which call to make next, and what an answer means.

use super::record::{ClaimRecord, ClaimState, StoredResponse};

/// Calls that one step may make before it gives up.
pub const MAX_CALLS: u32 = 6;

/// A call on the object of the claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Creates it if absent.
    Create(ClaimRecord),
    /// Reads it.
    Read,
    /// Replaces it if it has this version.
    Update(String, ClaimRecord),
}

/// The answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreReply {
    /// It was written and has this version now.
    Written(String),
    /// It was read.
    Found {
        /// Its version.
        version: String,
        /// Its value.
        record: ClaimRecord,
        /// Whether its holder is known to be gone, or made it long ago.
        abandoned: bool,
    },
    /// It does not exist.
    NotFound,
    /// It exists already or has another version; nothing was written.
    Conflict,
    /// The call was refused; nothing was written.
    Refused,
    /// No answer came; it may have been written, or be written later.
    Unknown,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next<T> {
    /// Make a call.
    Call(StoreCall),
    /// The step has ended.
    End(T),
}

/// How acquiring ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AcquireOutcome {
    /// The claim is held at this version.
    Held(String),
    /// The request ran before; this was its answer.
    Replay(StoredResponse),
    /// Another request holds the claim.
    InProgress,
    /// The key names another request.
    Mismatch,
    /// The request was sent before, with unknown outcome.
    Unresolved,
    /// The object API can't tell.
    Unavailable,
}

/// Acquires a claim.
#[derive(Debug, Clone)]
pub struct Acquire {
    own: ClaimRecord,
    calls: u32,
}

impl Acquire {
    /// Starts to acquire a claim with a record in the state [`ClaimState::Claimed`].
    pub fn new(own: ClaimRecord) -> Self {
        Self { own, calls: 0 }
    }

    /// Returns the first call.
    pub fn start(&mut self) -> Next<AcquireOutcome> {
        self.call(StoreCall::Create(self.own.clone()))
    }

    /// Takes the answer to the latest call.
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

/// How a change of the own claim ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransitionOutcome {
    /// It is written, and the claim has this version.
    Written(String),
    /// Another request took the claim over.
    Lost,
    /// It may be written now or later, or not at all.
    Uncertain,
}

/// Changes the state of a claim that is held.
#[derive(Debug, Clone)]
pub struct Transition {
    version: String,
    target: ClaimRecord,
    calls: u32,
}

impl Transition {
    /// Starts to change the claim at a version into a record.
    pub fn new(version: String, target: ClaimRecord) -> Self {
        Self { version, target, calls: 0 }
    }

    /// Returns the first call.
    pub fn start(&mut self) -> Next<TransitionOutcome> {
        self.call(StoreCall::Update(self.version.clone(), self.target.clone()))
    }

    /// Takes the answer to the latest call.
    pub fn handle_reply(&mut self, reply: StoreReply) -> Next<TransitionOutcome> {
        match reply {
            StoreReply::Written(version) => Next::End(TransitionOutcome::Written(version)),
            StoreReply::Found { version, record, .. } if record == self.target => {
                Next::End(TransitionOutcome::Written(version))
            }
            StoreReply::Found { version, .. } if version == self.version => self.start(),
            StoreReply::Found { .. } | StoreReply::NotFound => Next::End(TransitionOutcome::Lost),
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
