//! Recorded events, from which the time line over all instances is made.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

use crate::clock::{Clock, Hlc};
use crate::names::{BackendServerName, InstanceName, OrganisationName, RequestId};

/// Events that an instance keeps in memory; older ones are dropped.
pub const MAX_EVENTS: usize = 20_000;

choice! {
    /// What an event tells.
    pub enum EventKind {
        /// The instance started or stopped, or began to drain.
        Instance,
        /// A request was admitted to a backend server.
        Admit,
        /// A request was refused or shed.
        Refuse,
        /// A request ended.
        Finish,
        /// A request was sent to another backend server.
        Retry,
        /// A key was issued or withdrawn.
        Key,
        /// A configuration version came in force.
        Config,
        /// A data centre or backend server was taken out or in.
        Mark,
        /// A lease was won, renewed late, lost or released.
        Lease,
        /// An order was sent to the backend server interface.
        Order,
        /// A usage window was sealed or reported.
        Seal,
        /// A peer was suspected or came back.
        Member,
        /// A backend server turned cold, warm, ejected or healthy.
        BackendServer,
        /// The object API failed or answered again.
        Platform,
    }
}

impl EventKind {
    /// Every kind, in the order of their declaration.
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

    /// Returns the word used in filters and output.
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
    /// One event; the optional fields are what the event is about.
    pub struct Event {
        /// When it happened, in an order that respects cause.
        pub at: Hlc,
        /// Where it happened.
        pub instance: InstanceName,
        /// What it tells.
        pub kind: EventKind,
        /// The request, if the event belongs to one.
        pub request: Option<RequestId>,
        /// The organisation, if the event concerns one.
        pub organisation: Option<OrganisationName>,
        /// The backend server, if the event concerns one.
        pub backend_server: Option<BackendServerName>,
        /// Text for people, without keys, secrets or prompt text.
        pub detail: String,
    }
}

/// Parts of an event that its recorder does not fill in.
#[derive(Debug, Clone, Default)]
pub struct EventSubject {
    /// The request, if the event belongs to one.
    pub request: Option<RequestId>,
    /// The organisation, if the event concerns one.
    pub organisation: Option<OrganisationName>,
    /// The backend server, if the event concerns one.
    pub backend_server: Option<BackendServerName>,
}

/// Keeps the latest events of one instance; clones share them.
#[derive(Debug, Clone)]
pub struct Recorder {
    instance: InstanceName,
    clock: Clock,
    events: Arc<Mutex<VecDeque<Event>>>,
}

impl Recorder {
    /// Makes an empty recorder for an instance.
    pub fn new(instance: InstanceName, clock: Clock) -> Self {
        Self { instance, clock, events: Arc::default() }
    }

    /// Returns the clock that stamps the events.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Records an event that is about nothing in particular.
    pub fn record(&self, kind: EventKind, detail: impl Into<String>) {
        self.record_for(kind, EventSubject::default(), detail);
    }

    /// Records an event about a request, an organisation or a backend server.
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

    /// Returns at most `limit` of the latest events after `since`, oldest first.
    pub fn since(&self, since: Hlc, limit: usize) -> Vec<Event> {
        let events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        let mut found: Vec<Event> =
            events.iter().rev().take_while(|event| event.at > since).take(limit).cloned().collect();
        found.reverse();
        found
    }
}
