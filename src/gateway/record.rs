//! Log line and metrics of a request, written when the request ends for any reason.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::header::HeaderValue;

use crate::clock::BootTime;
use crate::metrics::{Counter, DurationMetric};
use crate::names::{BackendServerName, OrganisationName, RouteName};
use crate::routing::choose::Choice;
use crate::routing::origins::Origin;

use super::origins::KnownBy;
use super::shared::InstanceState;

/// Log target of the line that is written at the end of a request.
pub const REQUEST_LOG_TARGET: &str = "request";
/// Log target of the lines about a single attempt.
pub const SEND_LOG_TARGET: &str = "send";
/// Maximum number of attempts listed in the line of a request: enough for those that miss their
/// server and the ones that then reach one.
const MAX_LOGGED_SENDS: usize = 8;

/// State of a request for its log line and metrics.
pub struct RequestRecord {
    cx: Rc<InstanceState>,
    received_at: Instant,
    /// Attempt ID that the caller assigned; the same for all sends of the request.
    id: String,
    fields: RefCell<Fields>,
}

#[derive(Default)]
struct Fields {
    route: Option<RouteName>,
    organisation: Option<OrganisationName>,
    /// Urgency that servers are told; `None` before the request is admitted.
    urgency: Option<u8>,
    config: u64,
    proof_age: Option<Duration>,
    latency_target: Duration,
    sends: Vec<String>,
    /// Attempt that has not ended yet, with its start.
    open_send: Option<(BackendServerName, Instant)>,
    more_sends: u32,
    reason: Option<&'static str>,
    first_output_after: Option<Duration>,
    outcome: Option<String>,
    status: u16,
}

impl RequestRecord {
    /// Starts the record of a request, with the version and proof of the configuration in force.
    pub fn new(cx: Rc<InstanceState>, received_at: Instant, id: String) -> Rc<Self> {
        let fields = Fields {
            config: cx.catalog().version,
            proof_age: cx.proof.borrow().age(BootTime::now()),
            ..Fields::default()
        };
        Rc::new(Self { cx, received_at, id, fields: RefCell::new(fields) })
    }

    /// Records the route and its latency target.
    pub fn set_route(&self, route: &RouteName, latency_target: Duration) {
        let mut fields = self.fields.borrow_mut();
        fields.route = Some(route.clone());
        fields.latency_target = latency_target;
    }

    /// Records the organisation that the key belongs to.
    pub fn set_organisation(&self, organisation: &OrganisationName) {
        self.fields.borrow_mut().organisation = Some(organisation.clone());
    }

    /// Records the urgency, which every send states.
    pub fn set_urgency(&self, urgency: u8) {
        self.fields.borrow_mut().urgency = Some(urgency);
    }

    /// Records an attempt and logs the figures behind the choice of the server at once, so that
    /// they are available even if the process ends before the request does.
    pub fn send_started(&self, choice: &Choice) {
        let mut fields = self.fields.borrow_mut();
        let after_ms = self.received_at.elapsed().as_millis() as u64;
        let Choice { server, cost_ms, occupancy, load_age, .. } = choice;
        tracing::info!(
            target: SEND_LOG_TARGET,
            id = self.id,
            %server,
            urgency = fields.urgency,
            after_ms,
            cost_ms = cost_ms.round(),
            load = occupancy,
            load_age_ms = load_age.map(|age| age.as_millis() as u64),
            config = fields.config,
            "sent"
        );
        fields.open_send = Some((server.clone(), Instant::now()));
        if fields.sends.len() == MAX_LOGGED_SENDS {
            fields.more_sends += 1;
        } else {
            fields.sends.push(format!("{server}@{after_ms}ms"));
        }
    }

    /// Records the end of an attempt that produced no response for the caller.
    pub fn send_ended(&self, how: &str) {
        let mut fields = self.fields.borrow_mut();
        if let Some((server, since)) = fields.open_send.take() {
            let took_ms = since.elapsed().as_millis() as u64;
            tracing::info!(
                target: SEND_LOG_TARGET,
                id = self.id,
                %server,
                took_ms,
                how,
                "send ended"
            );
        }
        if fields.more_sends == 0
            && let Some(last) = fields.sends.last_mut()
        {
            last.push_str(": ");
            last.push_str(how);
        }
    }

    /// Records the outcome of an attempt to migrate the run in progress; `refused_by` is the engine
    /// that had no room for it.
    pub fn migration_ended(&self, outcome: &'static str, refused_by: Option<&BackendServerName>) {
        self.cx.metrics.add(Counter::Migrations, outcome, 1);
        let fields = self.fields.borrow();
        let from = fields.open_send.as_ref().map(|(server, _)| server.as_str());
        tracing::info!(
            target: SEND_LOG_TARGET,
            id = self.id,
            from,
            urgency = fields.urgency,
            outcome,
            refused_by = refused_by.map(BackendServerName::as_str),
            "migration ended"
        );
    }

    /// Records what began the stream that the caller takes up, as far as that is known.
    pub fn stream_taken_up(
        &self,
        began_by: Option<&HeaderValue>,
        origin: Option<&Origin>,
        known_by: KnownBy,
    ) {
        self.cx.metrics.add(Counter::ResumedStreams, known_by.label(), 1);
        tracing::info!(
            target: SEND_LOG_TARGET,
            id = self.id,
            began_by = began_by.and_then(|id| id.to_str().ok()),
            service = origin.map(|origin| origin.service.as_str()),
            version = origin.map(|origin| origin.version.as_str()),
            known_by = known_by.label(),
            "stream taken up"
        );
    }

    /// Records that a stream broke off after it had begun.
    pub fn stream_interrupted(&self) {
        let urgency = self.fields.borrow().urgency.map_or("none".to_owned(), |u| u.to_string());
        self.cx.metrics.add(Counter::InterruptedStreams, &urgency, 1);
    }

    /// Records why the request is not sent, or not retried.
    pub fn set_reason(&self, reason: &'static str) {
        self.fields.borrow_mut().reason = Some(reason);
    }

    /// Records the time of the first event or of the complete response.
    pub fn mark_first_output(&self) {
        let mut fields = self.fields.borrow_mut();
        fields.first_output_after.get_or_insert(self.received_at.elapsed());
    }

    /// Records the outcome and the status that was sent to the caller; 0 if the response failed
    /// after its status was sent.
    pub fn set_outcome(&self, outcome: impl Into<String>, status: u16) {
        let mut fields = self.fields.borrow_mut();
        fields.outcome = Some(outcome.into());
        fields.status = status;
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        let fields = self.fields.borrow();
        let route = fields.route.as_ref().map_or("none", RouteName::as_str);
        let outcome = fields.outcome.as_deref().unwrap_or("the caller left");
        tracing::info!(
            target: REQUEST_LOG_TARGET,
            id = self.id,
            route,
            organisation = fields.organisation.as_ref().map_or("none", OrganisationName::as_str),
            urgency = fields.urgency,
            config = fields.config,
            proof_age_ms = fields.proof_age.map(|age| age.as_millis() as u64),
            sends = fields.sends.join("; "),
            more_sends = fields.more_sends,
            first_ms = fields.first_output_after.map(|first| first.as_millis() as u64),
            took_ms = self.received_at.elapsed().as_millis() as u64,
            status = fields.status,
            outcome,
            why = fields.reason
        );
        let metrics = &self.cx.metrics;
        if (200..300).contains(&fields.status) {
            let on_time =
                fields.first_output_after.is_some_and(|first| first <= fields.latency_target);
            let counter = if on_time { Counter::Attained } else { Counter::Missed };
            metrics.add(counter, route, 1);
        } else {
            metrics.add(Counter::Refused, &fields.status.to_string(), 1);
        }
        if let Some(first) = fields.first_output_after {
            metrics.record_duration(DurationMetric::FirstToken, route, first);
        }
    }
}
