//! Readiness and metrics, which need no secret.

use salvo::http::StatusCode;
use salvo::writing::Text;
use salvo::{Response, handler};
use serde_json::json;

use super::Admin;
use super::reply::{answer, refuse};

/// Says whether callers may be sent to this instance.
pub struct Ready(pub Admin);

#[handler]
impl Ready {
    async fn handle(&self, res: &mut Response) {
        let cx = &self.0.cx;
        match cx.not_ready_reason() {
            Some(why) => refuse(res, StatusCode::SERVICE_UNAVAILABLE, why.code(), why.message()),
            None => {
                let version = cx.in_force.borrow().config.version;
                answer(res, StatusCode::OK, json!({ "ready": true, "version": version }));
            }
        }
    }
}

/// Writes the metrics.
pub struct ShowMetrics(pub Admin);

#[handler]
impl ShowMetrics {
    async fn handle(&self, res: &mut Response) {
        res.render(Text::Plain(self.0.cx.metrics.render()));
    }
}
