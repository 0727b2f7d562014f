//! The decisions of a claim's holder: which call to make next, and what an answer means.

use super::record::{ClaimRecord, ClaimState, StoredAnswer};

/// Calls that one step may make before it gives up.
pub const MAX_CALLS: u32 = 6;

/// A call on the object of the claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Creates it if absent.
    Create(ClaimRecord),
    /// Reads it.
    Read,
    /// Replaces it if it has this version.
    Update(String, ClaimRecord),
}

/// The answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
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
    Call(Call),
    /// The step has ended.
    End(T),
}

/// How acquiring ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Acquired {
    /// The claim is held at this version.
    Held(String),
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
    pub fn start(&mut self) -> Next<Acquired> {
        self.call(Call::Create(self.own.clone()))
    }

    /// Takes the answer to the latest call.
    pub fn take(&mut self, answer: Answer) -> Next<Acquired> {
        match answer {
            Answer::Written(version) => Next::End(Acquired::Held(version)),
            Answer::Found { version, record, abandoned } => self.judge(version, record, abandoned),
            Answer::NotFound => self.call(Call::Create(self.own.clone())),
            Answer::Conflict | Answer::Unknown => self.call(Call::Read),
            Answer::Refused => Next::End(Acquired::Unavailable),
        }
    }

    fn judge(&mut self, version: String, found: ClaimRecord, abandoned: bool) -> Next<Acquired> {
        if found == self.own {
            return Next::End(Acquired::Held(version));
        }
        if found.content_hash != self.own.content_hash {
            return Next::End(Acquired::Mismatch);
        }
        match found.state {
            ClaimState::Done(answer) => Next::End(Acquired::Replay(answer)),
            ClaimState::Claimed if abandoned => self.call(Call::Update(version, self.own.clone())),
            ClaimState::Claimed => Next::End(Acquired::InProgress),
            ClaimState::Sent if !abandoned => Next::End(Acquired::InProgress),
            ClaimState::Sent | ClaimState::Unresolved => Next::End(Acquired::Unresolved),
        }
    }

    fn call(&mut self, call: Call) -> Next<Acquired> {
        self.calls += 1;
        if self.calls > MAX_CALLS { Next::End(Acquired::Unavailable) } else { Next::Call(call) }
    }
}

/// How a change of the own claim ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Changed {
    /// It is written, and the claim has this version.
    Written(String),
    /// Another request took the claim over.
    Lost,
    /// It may be written now or later, or not at all.
    Unsure,
}

/// Changes the state of a claim that is held.
#[derive(Debug, Clone)]
pub struct Change {
    version: String,
    target: ClaimRecord,
    calls: u32,
}

impl Change {
    /// Starts to change the claim at a version into a record.
    pub fn new(version: String, target: ClaimRecord) -> Self {
        Self { version, target, calls: 0 }
    }

    /// Returns the first call.
    pub fn start(&mut self) -> Next<Changed> {
        self.call(Call::Update(self.version.clone(), self.target.clone()))
    }

    /// Takes the answer to the latest call.
    pub fn take(&mut self, answer: Answer) -> Next<Changed> {
        match answer {
            Answer::Written(version) => Next::End(Changed::Written(version)),
            Answer::Found { version, record, .. } if record == self.target => {
                Next::End(Changed::Written(version))
            }
            Answer::Found { version, .. } if version == self.version => self.start(),
            Answer::Found { .. } | Answer::NotFound => Next::End(Changed::Lost),
            Answer::Conflict | Answer::Unknown => self.call(Call::Read),
            Answer::Refused => Next::End(Changed::Unsure),
        }
    }

    fn call(&mut self, call: Call) -> Next<Changed> {
        self.calls += 1;
        if self.calls > MAX_CALLS { Next::End(Changed::Unsure) } else { Next::Call(call) }
    }
}
