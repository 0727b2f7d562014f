//! Readiness and metrics, which need no secret.

use salvo::http::StatusCode;
use salvo::writing::Text;
use salvo::{Response, handler};
use serde_json::json;

use super::AdminState;
use super::reply::{respond, respond_error};

/// Says whether callers may be sent to this instance.
pub struct Ready(pub AdminState);

#[handler]
impl Ready {
    async fn handle(&self, res: &mut Response) {
        let cx = &self.0.cx;
        match cx.not_ready_reason() {
            Some(reason) => {
                respond_error(res, StatusCode::SERVICE_UNAVAILABLE, reason.code(), reason.message())
            }
            None => {
                let version = cx.in_force.borrow().config.version;
                respond(res, StatusCode::OK, json!({ "ready": true, "version": version }));
            }
        }
    }
}

/// Writes the metrics.
pub struct ShowMetrics(pub AdminState);

#[handler]
impl ShowMetrics {
    async fn handle(&self, res: &mut Response) {
        res.render(Text::Plain(self.0.cx.metrics.render()));
    }
}
