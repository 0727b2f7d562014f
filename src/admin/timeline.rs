//! Timeline endpoint: the recorded events of all instances, merged in one order.

use salvo::http::StatusCode;
use salvo::{Request, Response, handler};
use serde_json::Value;

use super::AdminState;
use super::reply::{respond, respond_error};
use crate::clock::Hlc;
use crate::event::{Event, EventKind};
use crate::peer::timeline;

/// Responds with the events that match the filter in the query string.
pub struct ShowTimeline(pub AdminState);

/// Event filter from the query string; an absent field matches every event.
#[derive(Default)]
struct Filter {
    request: Option<String>,
    organisation: Option<String>,
    backend_server: Option<String>,
    kind: Option<EventKind>,
}

#[handler]
impl ShowTimeline {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let filter = match Filter::read(req) {
            Ok(filter) => filter,
            Err(message) => {
                return respond_error(res, StatusCode::BAD_REQUEST, "bad_request", &message);
            }
        };
        let since = Hlc(req.query("since").unwrap_or_default());
        let mut timeline = timeline::collect(&self.0.cx, since).await;
        timeline.events.retain(|event| filter.matches(event));
        respond(res, StatusCode::OK, timeline);
    }
}

impl Filter {
    fn read(req: &Request) -> Result<Self, String> {
        let kind = match req.query::<String>("kind") {
            Some(text) => Some(parse_kind(text)?),
            None => None,
        };
        Ok(Self {
            request: req.query("request"),
            organisation: req.query("organisation"),
            backend_server: req.query("backend-server"),
            kind,
        })
    }

    fn matches(&self, event: &Event) -> bool {
        let request = event.request.as_ref().map(|name| name.as_str());
        let organisation = event.organisation.as_ref().map(|name| name.as_str());
        let server = event.backend_server.as_ref().map(|name| name.as_str());
        matches_value(self.request.as_deref(), request)
            && matches_value(self.organisation.as_deref(), organisation)
            && matches_value(self.backend_server.as_deref(), server)
            && self.kind.is_none_or(|kind| kind == event.kind)
    }
}

fn matches_value(expected: Option<&str>, actual: Option<&str>) -> bool {
    expected.is_none() || expected == actual
}

fn parse_kind(text: String) -> Result<EventKind, String> {
    let message = format!("unknown event kind \"{text}\"");
    serde_json::from_value(Value::String(text)).map_err(|_| message)
}
