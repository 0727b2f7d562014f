//! Tests of the administration API over HTTP.

mod config_support;

use config_support::{
    ADMIN_SECRET, TestInstance, config_of_weight, set_members, sheet_of_weight, start_instance,
    start_platform, wait_until,
};
use laburnumvalve::admin;
use laburnumvalve::cli::{AdminOptions, Operation};
use laburnumvalve::operate;
use laburnumvalve::options::Secret;
use reqwest::{Method, StatusCode};
use rstest::rstest;
use serde_json::{Value, json};
use standins::Platform;
use tokio::net::TcpListener;

/// An instance that serves its administration API, with the platform it uses.
struct Fixture {
    platform: Platform,
    instance: TestInstance,
    url: String,
    http: reqwest::Client,
}

/// Starts an instance without a configuration.
async fn start() -> Fixture {
    let platform = start_platform().await;
    let instance = start_instance("a", &platform.url(), &[]).await;
    let listener = TcpListener::bind(standins::ANY_PORT).await.expect("a port can be bound");
    let url = format!("http://{}", listener.local_addr().expect("a bound port has an address"));
    tokio::spawn(admin::serve(listener, instance.cx.clone(), instance.config.clone()));
    let http = reqwest::Client::builder().no_proxy().build().expect("a client");
    Fixture { platform, instance, url, http }
}

/// Starts an instance and applies a first sheet, as version 1.
async fn start_configured() -> Fixture {
    let fixture = start().await;
    fixture
        .instance
        .config
        .apply(config_of_weight(1), 0)
        .await
        .expect("the first sheet is accepted");
    fixture
}

impl Fixture {
    /// Sends a request with the secret; returns the status and the body.
    ///
    /// A body that is not JSON is returned as a JSON string.
    async fn call(
        &self,
        method: Method,
        path: &str,
        body: impl Into<reqwest::Body>,
    ) -> (u16, Value) {
        let req =
            self.http.request(method, format!("{}{path}", self.url)).bearer_auth(ADMIN_SECRET);
        let rsp = req.body(body).send().await.expect("a response");
        let status = rsp.status().as_u16();
        let text = rsp.text().await.expect("a body");
        (status, serde_json::from_str(&text).unwrap_or(Value::String(text)))
    }

    async fn post(&self, path: &str, body: impl Into<reqwest::Body>) -> (u16, Value) {
        self.call(Method::POST, path, body).await
    }

    async fn get(&self, path: &str) -> (u16, Value) {
        self.call(Method::GET, path, "").await
    }

    fn admin_options(&self, secret: &str) -> AdminOptions {
        AdminOptions { url: self.url.clone(), secret: Secret::new(secret), json: false }
    }
}

#[rstest]
#[case(Method::POST, "/sheet/check")]
#[case(Method::POST, "/sheet/apply")]
#[case(Method::GET, "/sheet")]
#[case(Method::POST, "/keys")]
#[case(Method::DELETE, "/keys/key-1")]
#[case(Method::PUT, "/data-centres/kolkata-a/service")]
#[case(Method::PUT, "/backend-servers/engine-1/service")]
#[case(Method::GET, "/status")]
#[case(Method::GET, "/timeline")]
#[tokio::test]
async fn guarded_routes_require_the_secret(#[case] method: Method, #[case] path: &str) {
    let fixture = start_configured().await;
    let url = format!("{}{path}", fixture.url);
    let req = || fixture.http.request(method.clone(), &url).body(sheet_of_weight(2));

    let without = req().send().await.expect("a response");
    let wrong = req().bearer_auth("admin-secret-of-the-testt").send().await.expect("a response");

    for rsp in [without, wrong] {
        assert_eq!(rsp.status(), StatusCode::UNAUTHORIZED);
        let body: Value = rsp.json().await.expect("JSON");
        assert_eq!(body["error"]["code"], "unauthorized");
    }
    assert_eq!(fixture.instance.version(), 1);
}

#[tokio::test]
async fn an_instance_is_ready_if_it_has_configuration_and_members_and_is_not_draining() {
    let fixture = start().await;
    let ready = async || {
        let rsp = fixture.http.get(format!("{}/ready", fixture.url)).send().await;
        let rsp = rsp.expect("a response");
        (rsp.status().as_u16(), rsp.json::<Value>().await.expect("JSON")["error"]["code"].clone())
    };

    let without_config = ready().await;
    fixture.instance.config.apply(config_of_weight(1), 0).await.expect("the sheet is accepted");
    let without_members = ready().await;
    set_members(&[&fixture.instance]);
    let ready_state = ready().await;
    fixture.instance.draining.send_replace(true);
    let while_draining = ready().await;

    assert_eq!(without_config, (503, json!("no_configuration")));
    assert_eq!(without_members, (503, json!("no_members")));
    assert_eq!(ready_state, (200, Value::Null));
    assert_eq!(while_draining, (503, json!("draining")));
}

#[tokio::test]
async fn an_exported_sheet_is_accepted_again_without_change() {
    let fixture = start_configured().await;

    let (_, checked) = fixture.post("/sheet/check", sheet_of_weight(2)).await;
    assert_eq!(checked["differences"].as_array().map(Vec::len), Some(1));
    assert_eq!(fixture.instance.version(), 1);
    let (status, applied) = fixture.post("/sheet/apply?based-on=1", sheet_of_weight(2)).await;
    assert_eq!((status, &applied["version"], &applied["changed"]), (200, &json!(2), &json!(true)));
    let (_, exported) = fixture.get("/sheet").await;
    let exported = exported.as_str().expect("a sheet").to_owned();
    let (_, reapplied) = fixture.post("/sheet/apply", exported).await;

    assert_eq!((&reapplied["version"], &reapplied["changed"]), (&json!(2), &json!(false)));
    assert_eq!(reapplied["differences"], json!([]));
}

#[tokio::test]
async fn a_sheet_based_on_an_older_version_is_a_conflict() {
    let fixture = start_configured().await;
    fixture.post("/sheet/apply", sheet_of_weight(2)).await;

    let (status, body) = fixture.post("/sheet/apply?based-on=1", sheet_of_weight(3)).await;

    assert_eq!((status, &body["error"]["version"]), (409, &json!(2)));
    assert_eq!(fixture.instance.in_force().config.organisations["shobdo"].weight, 2);
}

#[tokio::test]
async fn a_sheet_with_problems_changes_nothing() {
    let fixture = start_configured().await;
    let sheet =
        sheet_of_weight(2).replace("class,live,0", "class,live,9").replace(",8,2,", ",8,9,");

    let (status, body) = fixture.post("/sheet/apply", sheet).await;

    assert_eq!((status, &body["error"]["code"]), (422, &json!("bad_sheet")));
    let problems = body["error"]["problems"].as_array().expect("problems");
    let locations: Vec<_> = problems.iter().map(|p| (&p["row"], &p["column"])).collect();
    assert_eq!(locations, [(&json!(2), &json!("tier")), (&json!(7), &json!("cold-limit"))]);
    assert_eq!(fixture.platform.objects("configs")["root"]["version"], 1);
}

#[tokio::test]
async fn a_key_is_shown_once_and_rejected_after_withdrawal() {
    let fixture = start_configured().await;

    let (status, issued) = fixture.post("/keys", r#"{"organisation": "shobdo"}"#).await;
    assert_eq!(status, 201);
    let key = issued["key"].as_str().expect("a key");
    assert!(fixture.instance.accepts(key));
    let path = format!("/keys/{}", issued["id"].as_str().expect("an identifier"));
    let (status, withdrawn) = fixture.call(Method::DELETE, &path, "").await;

    assert_eq!((status, &withdrawn["durable"]), (200, &json!(true)));
    assert!(!fixture.instance.accepts(key));
    for kind in ["configs", "marks"] {
        let stored = serde_json::to_string(&fixture.platform.objects(kind)).expect("JSON");
        assert!(!stored.contains(key), "the key itself is stored in {kind}");
    }
    for path in ["/status", "/timeline", "/sheet", "/metrics"] {
        assert!(!fixture.get(path).await.1.to_string().contains(key), "{path} shows the key");
    }
}

#[rstest]
#[case(Method::DELETE, "/keys/key-0", "")]
#[case(Method::POST, "/keys", r#"{"organisation": "nobody"}"#)]
#[case(Method::POST, "/keys", r#"{"organisation": "shobdo", "default_class": "gold"}"#)]
#[case(Method::PUT, "/data-centres/nowhere/service", r#"{"in_service": false}"#)]
#[case(Method::PUT, "/backend-servers/none/service", r#"{"in_service": false}"#)]
#[tokio::test]
async fn unknown_names_are_rejected(
    #[case] method: Method,
    #[case] path: &str,
    #[case] body: &str,
) {
    let fixture = start_configured().await;

    let (status, response) = fixture.call(method, path, body.to_owned()).await;

    assert_eq!((status, &response["error"]["code"]), (404, &json!("not_found")));
    assert!(fixture.platform.objects("marks").is_empty());
}

#[rstest]
#[case(Method::POST, "/keys", "{}")]
#[case(Method::POST, "/keys", "organisation=shobdo")]
#[case(Method::PUT, "/data-centres/kolkata-a/service", r#"{"in_service": "no"}"#)]
#[case(Method::PUT, "/data-centres/kolkata-a/service", r#"{"in_servce": false}"#)]
#[case(Method::POST, "/sheet/apply?based-on=latest", "")]
#[case(Method::GET, "/timeline?kind=nonsense", "")]
#[tokio::test]
async fn malformed_requests_are_rejected(
    #[case] method: Method,
    #[case] path: &str,
    #[case] body: &str,
) {
    let fixture = start_configured().await;

    let (status, response) = fixture.call(method, path, body.to_owned()).await;

    assert_eq!((status, &response["error"]["code"]), (400, &json!("bad_request")));
}

#[tokio::test]
async fn an_evacuated_data_centre_appears_in_status_sheet_and_timeline() {
    let fixture = start_configured().await;
    let path = "/data-centres/kolkata-a/service";

    let (_, evacuated) = fixture.call(Method::PUT, path, r#"{"in_service": false}"#).await;

    assert_eq!(evacuated["durable"], true);
    let (_, status) = fixture.get("/status").await;
    assert_eq!(status["backend_servers"][0]["takes_work"], false);
    assert_eq!(status["marks"][0]["name"], "kolkata-a");
    let (_, checked) = fixture.post("/sheet/check", sheet_of_weight(1)).await;
    assert_eq!(checked["differences"][0]["change"]["changed"]["column"], "in-service");
    let (_, timeline) = fixture.get("/timeline?kind=mark").await;
    let details: Vec<_> = timeline["events"].as_array().expect("events").iter().collect();
    assert_eq!(details.len(), 1);
    assert_eq!(details[0]["detail"], "data centre kolkata-a out");
}

#[tokio::test]
async fn operator_commands_succeed_or_report_the_error_of_the_api() {
    let fixture = start().await;
    let file = tempfile::NamedTempFile::new().expect("a file");
    std::fs::write(file.path(), sheet_of_weight(4)).expect("a sheet");
    let apply = || Operation::SheetApply(file.path().to_owned());

    let refused = operate::run(apply(), fixture.admin_options("wrong-secret-of-the-tests")).await;
    assert!(refused.expect_err("a wrong secret").to_string().contains("administration secret"));
    operate::run(apply(), fixture.admin_options(ADMIN_SECRET))
        .await
        .expect("the sheet is accepted");
    assert_eq!(fixture.instance.in_force().config.organisations["shobdo"].weight, 4);
    for operation in
        [Operation::Status, Operation::SheetExport, Operation::Timeline(Default::default())]
    {
        operate::run(operation, fixture.admin_options(ADMIN_SECRET)).await.expect("a response");
    }
    let take_out = Operation::BackendServer("engine-1".into(), false);
    operate::run(take_out, fixture.admin_options(ADMIN_SECRET)).await.expect("the server is known");
    wait_until("the server is out", async || {
        let in_force = fixture.instance.in_force();
        !in_force.takes_work(&in_force.config.backend_servers["engine-1"])
    })
    .await;
    std::fs::write(file.path(), "table,name\nclass,=x\n").expect("a sheet");
    let problems = operate::run(apply(), fixture.admin_options(ADMIN_SECRET)).await;
    assert!(problems.expect_err("a bad sheet").to_string().contains("row 2, column name"));
}
