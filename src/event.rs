//! Events recorded by an instance; the timeline merges those of all instances.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

use crate::clock::{Clock, Hlc};
use crate::names::{BackendServerName, InstanceName, OrganisationName, RequestId};

/// Maximum number of events kept in memory; older ones are dropped.
pub const MAX_EVENTS: usize = 20_000;

choice! {
    /// Kind of an event.
    pub enum EventKind {
        /// The instance started or began to drain.
        Instance,
        /// A request was admitted to a backend server.
        Admit,
        /// A request was refused or shed.
        Refuse,
        /// A request finished.
        Finish,
        /// A request was sent to another backend server.
        Retry,
        /// A key was issued or withdrawn.
        Key,
        /// A configuration version took effect.
        Config,
        /// A data centre or backend server was taken out of service or put back.
        Mark,
        /// A lease was acquired, renewed late, lost or released.
        Lease,
        /// An order was sent to the backend server interface.
        Order,
        /// A usage window was sealed or reported.
        Seal,
        /// A peer was suspected or recovered.
        Member,
        /// A backend server became cold, warm, ejected or healthy.
        BackendServer,
        /// The object API failed or recovered.
        Platform,
    }
}

impl EventKind {
    /// All kinds in declaration order.
    pub const ALL: [Self; 14] = [
        Self::Instance,
        Self::Admit,
        Self::Refuse,
        Self::Finish,
        Self::Retry,
        Self::Key,
        Self::Config,
        Self::Mark,
        Self::Lease,
        Self::Order,
        Self::Seal,
        Self::Member,
        Self::BackendServer,
        Self::Platform,
    ];

    /// Returns the name used in filters and output.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Instance => "instance",
            Self::Admit => "admit",
            Self::Refuse => "refuse",
            Self::Finish => "finish",
            Self::Retry => "retry",
            Self::Key => "key",
            Self::Config => "config",
            Self::Mark => "mark",
            Self::Lease => "lease",
            Self::Order => "order",
            Self::Seal => "seal",
            Self::Member => "member",
            Self::BackendServer => "backend-server",
            Self::Platform => "platform",
        }
    }
}

value! {
    /// A recorded event; the optional fields are its subject.
    pub struct Event {
        /// Time of the event on the hybrid logical clock.
        pub at: Hlc,
        /// Instance that recorded it.
        pub instance: InstanceName,
        /// Kind of the event.
        pub kind: EventKind,
        /// The request, if the event belongs to one.
        pub request: Option<RequestId>,
        /// The organisation, if the event concerns one.
        pub organisation: Option<OrganisationName>,
        /// The backend server, if the event concerns one.
        pub backend_server: Option<BackendServerName>,
        /// Human-readable text; contains no keys, secrets or prompt text.
        pub detail: String,
    }
}

/// What an event concerns.
#[derive(Debug, Clone, Default)]
pub struct EventSubject {
    /// The request, if the event belongs to one.
    pub request: Option<RequestId>,
    /// The organisation, if the event concerns one.
    pub organisation: Option<OrganisationName>,
    /// The backend server, if the event concerns one.
    pub backend_server: Option<BackendServerName>,
}

/// Keeps the most recent events of one instance; clones share them.
#[derive(Debug, Clone)]
pub struct Recorder {
    instance: InstanceName,
    clock: Clock,
    events: Arc<Mutex<VecDeque<Event>>>,
}

impl Recorder {
    /// Creates an empty recorder.
    pub fn new(instance: InstanceName, clock: Clock) -> Self {
        Self { instance, clock, events: Arc::default() }
    }

    /// Returns the clock that provides the event timestamps.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Records an event without a subject.
    pub fn record(&self, kind: EventKind, detail: impl Into<String>) {
        self.record_for(kind, EventSubject::default(), detail);
    }

    /// Records an event that concerns a request, an organisation or a backend server.
    pub fn record_for(&self, kind: EventKind, subject: EventSubject, detail: impl Into<String>) {
        let event = Event {
            at: self.clock.now(),
            instance: self.instance.clone(),
            kind,
            request: subject.request,
            organisation: subject.organisation,
            backend_server: subject.backend_server,
            detail: detail.into(),
        };
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        if events.len() == MAX_EVENTS {
            events.pop_front();
        }
        events.push_back(event);
    }

    /// Returns the most recent events after `since`, at most `limit`, oldest first.
    pub fn since(&self, since: Hlc, limit: usize) -> Vec<Event> {
        let events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        let mut found: Vec<Event> =
            events.iter().rev().take_while(|event| event.at > since).take(limit).cloned().collect();
        found.reverse();
        found
    }
}
