//! Authentication of requests to the administration API.

use salvo::http::StatusCode;
use salvo::http::header::AUTHORIZATION;
use salvo::{Depot, FlowCtrl, Request, Response, handler};

use super::reply::respond_error;
use crate::options::Secret;

/// Responds 401 to requests without `Authorization: Bearer SECRET`.
pub struct RequireSecret(pub Secret);

#[handler]
impl RequireSecret {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        let presented = req
            .headers()
            .get(AUTHORIZATION)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix("Bearer "));
        if !presented.is_some_and(|presented| self.0.matches(presented.trim())) {
            let message = "the administration secret is missing or wrong";
            respond_error(res, StatusCode::UNAUTHORIZED, "unauthorized", message);
            ctrl.skip_rest();
        }
    }
}
