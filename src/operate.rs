//! Operator commands, which call the administration API of a running instance.

use std::time::Duration;

use eyre::{WrapErr, bail};
use reqwest::{Method, RequestBuilder, StatusCode};
use serde_json::{Value, json};

use crate::cli::{AdminOptions, Operation, TimelineFilter};
use crate::config::Accepted;
use crate::sheet::{Difference, Problem};

/// Time-out of a call; longer than an instance takes to give up on the platform.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of problems of a sheet that are printed as text; JSON output has all.
const MAX_PRINTED_PROBLEMS: usize = 200;

/// Runs an operator command and prints the result.
///
/// # Errors
/// If the instance can't be reached or responds with an error.
pub async fn run(operation: Operation, options: AdminOptions) -> eyre::Result<()> {
    let client = AdminClient::new(options)?;
    let json = client.options.json;
    if operation == Operation::SheetExport {
        print!("{}", client.send_for_text(client.request(Method::GET, "/sheet")).await?);
        return Ok(());
    }
    let body = client.send_for_json(client.build_request(&operation)?).await?;
    if json {
        println!("{body:#}");
    } else {
        print!("{}", format_response(&operation, &body));
    }
    Ok(())
}

/// Client of the administration API.
struct AdminClient {
    http: reqwest::Client,
    options: AdminOptions,
}

impl AdminClient {
    fn new(options: AdminOptions) -> eyre::Result<Self> {
        let http = reqwest::Client::builder().no_proxy().timeout(RESPONSE_TIMEOUT).build()?;
        Ok(Self { http, options })
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        let url = format!("{}{path}", self.options.url.trim_end_matches('/'));
        self.http.request(method, url).bearer_auth(self.options.secret.reveal())
    }

    fn build_request(&self, operation: &Operation) -> eyre::Result<RequestBuilder> {
        let read = |file: &std::path::Path| {
            std::fs::read(file).wrap_err_with(|| format!("failed to read {}", file.display()))
        };
        Ok(match operation {
            Operation::SheetCheck(file) => {
                self.request(Method::POST, "/sheet/check").body(read(file)?)
            }
            Operation::SheetApply(file) => {
                self.request(Method::POST, "/sheet/apply").body(read(file)?)
            }
            Operation::SheetExport => self.request(Method::GET, "/sheet"),
            Operation::KeyIssue { organisation, default_class, allowed_classes } => {
                self.request(Method::POST, "/keys").json(&json!({
                    "organisation": organisation,
                    "default_class": default_class,
                    "allowed_classes": allowed_classes,
                }))
            }
            Operation::KeyWithdraw(id) => self.request(Method::DELETE, &format!("/keys/{id}")),
            Operation::DataCentre(name, in_service) => {
                self.set_in_service_request(&format!("/data-centres/{name}/service"), *in_service)
            }
            Operation::BackendServer(name, in_service) => self
                .set_in_service_request(&format!("/backend-servers/{name}/service"), *in_service),
            Operation::Status => self.request(Method::GET, "/status"),
            Operation::Timeline(filter) => {
                self.request(Method::GET, "/timeline").query(&timeline_query(filter))
            }
        })
    }

    fn set_in_service_request(&self, path: &str, in_service: bool) -> RequestBuilder {
        self.request(Method::PUT, path).json(&json!({ "in_service": in_service }))
    }

    async fn send_for_json(&self, req: RequestBuilder) -> eyre::Result<Value> {
        let text = self.send_for_text(req).await?;
        serde_json::from_str(&text).wrap_err("the response is not valid JSON")
    }

    async fn send_for_text(&self, req: RequestBuilder) -> eyre::Result<String> {
        let url = &self.options.url;
        let rsp = req.send().await.wrap_err_with(|| format!("failed to reach {url}"))?;
        let status = rsp.status();
        let text = rsp.text().await.wrap_err("failed to read the response body")?;
        if status.is_success() {
            return Ok(text);
        }
        if self.options.json {
            println!("{text}");
        }
        bail!("{}", format_error(status, &text))
    }
}

fn timeline_query(filter: &TimelineFilter) -> Vec<(&'static str, &str)> {
    let pairs = [
        ("request", &filter.request),
        ("organisation", &filter.organisation),
        ("backend-server", &filter.backend_server),
        ("kind", &filter.kind),
    ];
    pairs.into_iter().filter_map(|(name, value)| Some((name, value.as_deref()?))).collect()
}

/// Formats an error response as text.
fn format_error(status: StatusCode, text: &str) -> String {
    let body: Value = serde_json::from_str(text).unwrap_or_default();
    let error = &body["error"];
    let message = error["message"].as_str().unwrap_or(text).to_owned();
    let problems: Vec<Problem> =
        serde_json::from_value(error["problems"].clone()).unwrap_or_default();
    let mut lines = vec![if message.is_empty() { status.to_string() } else { message }];
    lines.extend(problems.iter().take(MAX_PRINTED_PROBLEMS).map(|problem| format!("  {problem}")));
    if problems.len() > MAX_PRINTED_PROBLEMS {
        lines.push(format!(
            "  and {} more; --json shows all",
            problems.len() - MAX_PRINTED_PROBLEMS
        ));
    }
    lines.join("\n")
}

/// Formats the response to a command as text.
fn format_response(operation: &Operation, body: &Value) -> String {
    match operation {
        Operation::SheetCheck(_) => format_differences(body),
        Operation::SheetApply(_) => {
            let accepted = Accepted {
                version: body["version"].as_u64().unwrap_or_default(),
                changed: body["changed"].as_bool().unwrap_or_default(),
            };
            let what = if accepted.changed { "accepted" } else { "no change" };
            format!("{}version {}: {what}\n", format_differences(body), accepted.version)
        }
        Operation::SheetExport => String::new(),
        Operation::KeyIssue { .. } => {
            format!(
                "id {}\nkey {} (shown only now)\n",
                unquoted(&body["id"]),
                unquoted(&body["key"])
            )
        }
        Operation::KeyWithdraw(id) => format!("key {id} withdrawn{}\n", durability_note(body)),
        Operation::DataCentre(name, in_service) => {
            format!("data centre {name} {}{}\n", service_state(*in_service), durability_note(body))
        }
        Operation::BackendServer(name, in_service) => {
            format!(
                "backend server {name} {}{}\n",
                service_state(*in_service),
                durability_note(body)
            )
        }
        Operation::Status => format_status(body),
        Operation::Timeline(_) => format_events(body),
    }
}

fn format_differences(body: &Value) -> String {
    let differences: Vec<Difference> =
        serde_json::from_value(body["differences"].clone()).unwrap_or_default();
    let mut text = format!("{} difference(s)\n", differences.len());
    for difference in differences {
        text.push_str(&format!("  {difference}\n"));
    }
    text
}

fn service_state(in_service: bool) -> &'static str {
    if in_service { "in" } else { "out" }
}

fn durability_note(body: &Value) -> &'static str {
    match body["durable"].as_bool() {
        Some(true) => "",
        _ => " (in force; not yet stored, because the platform does not answer)",
    }
}

fn format_status(body: &Value) -> String {
    let mut text = format!(
        "instance {} in {}: {}, configuration version {}\n",
        unquoted(&body["instance"]),
        unquoted(&body["data_centre"]),
        if body["ready"] == true { "ready" } else { "not ready" },
        body["config_version"],
    );
    for (title, key) in [
        ("mark", "marks"),
        ("member", "members"),
        ("backend server", "backend_servers"),
        ("lease", "leases"),
    ] {
        for item in body[key].as_array().into_iter().flatten() {
            text.push_str(&format!("{title} {}\n", format_item(item)));
        }
    }
    text
}

/// Formats an object as its name followed by its other fields.
fn format_item(item: &Value) -> String {
    let fields = item.as_object().into_iter().flatten();
    let others: Vec<String> = fields
        .filter(|(key, value)| *key != "name" && !value.is_null())
        .map(|(key, value)| format!("{key}={}", unquoted(value)))
        .collect();
    format!("{}: {}", unquoted(&item["name"]), others.join(" "))
}

fn format_events(body: &Value) -> String {
    let mut text = String::new();
    for event in body["events"].as_array().into_iter().flatten() {
        let about: Vec<String> = ["request", "organisation", "backend_server"]
            .into_iter()
            .filter(|key| !event[key].is_null())
            .map(|key| format!(" {key}={}", unquoted(&event[key])))
            .collect();
        text.push_str(&format!(
            "{} {} {}{}: {}\n",
            event["at"],
            unquoted(&event["instance"]),
            unquoted(&event["kind"]),
            about.concat(),
            unquoted(&event["detail"]),
        ));
    }
    for instance in body["missing"].as_array().into_iter().flatten() {
        text.push_str(&format!("(no events from {}: it did not answer)\n", unquoted(instance)));
    }
    text
}

/// Formats a string without quotation marks, and any other value as JSON.
fn unquoted(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), ToOwned::to_owned)
}
