//! Readiness probe and metrics, which are served without authentication.

use salvo::http::StatusCode;
use salvo::writing::Text;
use salvo::{Response, handler};
use serde_json::json;

use super::AdminState;
use super::reply::{respond, respond_error};

/// Responds 200 if this instance is ready for callers' requests, or 503 with the reason.
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

/// Serves the metrics to the scraper.
pub struct ShowMetrics(pub AdminState);

#[handler]
impl ShowMetrics {
    async fn handle(&self, res: &mut Response) {
        res.render(Text::Plain(self.0.cx.metrics.render()));
    }
}
