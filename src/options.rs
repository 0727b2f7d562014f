//! Settings of `laburnumvalve serve`, read once at the start from flags and environment variables.

use std::net::SocketAddr;
use std::time::Duration;

use crate::names::{DataCentreName, InstanceName};

/// Environment variable with the log filter.
pub const LOG_ENV: &str = "LABURNUMVALVE_LOG";

/// A secret; its value is not included in `Debug` output.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Wraps the value of a secret.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the value; for use in requests only.
    pub fn reveal(&self) -> &str {
        &self.0
    }

    /// Compares in constant time; an unset secret matches nothing.
    pub fn matches(&self, other: &str) -> bool {
        use subtle::ConstantTimeEq;
        !self.0.is_empty() && bool::from(self.0.as_bytes().ct_eq(other.as_bytes()))
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(if self.0.is_empty() { "(unset)" } else { "(hidden)" })
    }
}

choice! {
    /// Format of the log lines.
    pub enum LogFormat {
        /// One line of text for each event.
        Text,
        /// One JSON object for each event.
        Json,
    }
}

/// Settings of one instance.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of this instance, unique in the fleet.
    pub instance: InstanceName,
    /// Data centre that this instance runs in.
    pub data_centre: DataCentreName,
    /// Listen address for callers.
    pub listen: SocketAddr,
    /// Listen address for peers.
    pub peer_listen: SocketAddr,
    /// Listen address for the administration API and metrics.
    pub admin_listen: SocketAddr,
    /// Base URL of the platform's object API and instance list.
    pub platform_url: String,
    /// Base URL of the platform's backend server interface, which receives orders.
    pub orders_url: String,
    /// Base URL of the platform's usage-report interface.
    pub usage_url: String,
    /// Addresses of peers to contact if the platform can't be reached at the start.
    pub seeds: Vec<SocketAddr>,
    /// Secret that authenticates instances to each other.
    pub fleet_secret: Secret,
    /// Secret that authenticates operators to the administration API.
    pub admin_secret: Secret,
    /// Period of heartbeats between peers.
    pub beat_period: Duration,
    /// Time without contact after which a peer is suspected.
    pub suspect_after: Duration,
    /// Term of a lease.
    pub lease_term: Duration,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// Time without progress after which a backend server's response counts as failed.
    pub progress_timeout: Duration,
    /// Maximum time that a shutdown waits for running requests.
    pub drain_timeout: Duration,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Maximum size of a request header section.
    pub max_header_bytes: usize,
    /// Maximum number of concurrent connections from callers.
    pub max_connections: usize,
    /// Whether backend servers are started and stopped according to demand.
    pub manage_servers: bool,
    /// Format of the log lines.
    pub log_format: LogFormat,
    /// Log filter, such as `info` or `laburnumvalve=debug`.
    pub log_filter: String,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            instance: "".into(),
            data_centre: "".into(),
            listen: SocketAddr::from(([127, 0, 0, 1], 8080)),
            peer_listen: SocketAddr::from(([127, 0, 0, 1], 7400)),
            admin_listen: SocketAddr::from(([127, 0, 0, 1], 7401)),
            platform_url: String::new(),
            orders_url: String::new(),
            usage_url: String::new(),
            seeds: Vec::new(),
            fleet_secret: Secret::default(),
            admin_secret: Secret::default(),
            beat_period: Duration::from_secs(1),
            suspect_after: Duration::from_millis(3_500),
            lease_term: Duration::from_secs(10),
            usage_window: Duration::from_secs(60),
            progress_timeout: Duration::from_secs(20),
            drain_timeout: Duration::from_secs(120),
            max_body_bytes: 16 << 20,
            max_header_bytes: 32 << 10,
            max_connections: 10_000,
            manage_servers: false,
            log_format: LogFormat::Text,
            log_filter: "info".to_owned(),
        }
    }
}

/// Definition of a setting.
pub struct Setting {
    /// Flag without the leading dashes.
    pub flag: &'static str,
    /// Environment variable.
    pub env: &'static str,
    /// Placeholder of the value in the help text.
    pub placeholder: &'static str,
    /// Help text.
    pub help: &'static str,
    /// Whether the value is hidden in output.
    pub secret: bool,
    /// Whether it has no default.
    pub required: bool,
    /// Parses a value into the options; the error describes the valid values.
    pub parse: fn(&mut Options, &str) -> Result<(), &'static str>,
    /// Formats the current value.
    pub format: fn(&Options) -> String,
}

/// A missing or invalid setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidSetting {
    /// Flag without the leading dashes.
    pub flag: &'static str,
    /// Environment variable.
    pub env: &'static str,
    /// The invalid value, hidden for secrets; `None` if the setting is missing.
    pub value: Option<String>,
    /// Description of the valid values.
    pub expected: &'static str,
}

impl std::fmt::Display for InvalidSetting {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { flag, env, value, expected } = self;
        match value {
            Some(value) => {
                write!(f, "--{flag} ({env}): \"{value}\" is not allowed; use {expected}")
            }
            None => write!(f, "--{flag} ({env}) is missing; use {expected}"),
        }
    }
}

const NAME_FORMAT: &str = "a name of 1 to 63 letters, digits, '.', '_' or '-'";
const ADDRESS_FORMAT: &str = "an IP address with a port, such as 10.0.0.3:8080";
const URL_FORMAT: &str = "an http:// URL, such as http://10.0.0.1:8001";
const SECRET_FORMAT: &str = "a secret of at least 16 characters";
const MILLIS_FORMAT: &str = "a time in milliseconds from 10 to 3600000";
const COUNT_FORMAT: &str = "a whole number from 1 to 1000000000";

/// Every setting of `serve`, in the order of the help text.
pub const SETTINGS: &[Setting] = &[
    Setting {
        flag: "instance",
        env: "LABURNUMVALVE_INSTANCE",
        placeholder: "NAME",
        help: "Name of this instance, unique in the fleet",
        secret: false,
        required: true,
        parse: |o, text| parse_name(text).map(|name| o.instance = name.into()),
        format: |o| o.instance.to_string(),
    },
    Setting {
        flag: "data-centre",
        env: "LABURNUMVALVE_DATA_CENTRE",
        placeholder: "NAME",
        help: "Data centre that this instance stands in",
        secret: false,
        required: true,
        parse: |o, text| parse_name(text).map(|name| o.data_centre = name.into()),
        format: |o| o.data_centre.to_string(),
    },
    Setting {
        flag: "listen",
        env: "LABURNUMVALVE_LISTEN",
        placeholder: "IP:PORT",
        help: "Address for callers",
        secret: false,
        required: false,
        parse: |o, text| parse_address(text).map(|address| o.listen = address),
        format: |o| o.listen.to_string(),
    },
    Setting {
        flag: "peer-listen",
        env: "LABURNUMVALVE_PEER_LISTEN",
        placeholder: "IP:PORT",
        help: "Address for the other instances",
        secret: false,
        required: false,
        parse: |o, text| parse_address(text).map(|address| o.peer_listen = address),
        format: |o| o.peer_listen.to_string(),
    },
    Setting {
        flag: "admin-listen",
        env: "LABURNUMVALVE_ADMIN_LISTEN",
        placeholder: "IP:PORT",
        help: "Address for operators and metrics",
        secret: false,
        required: false,
        parse: |o, text| parse_address(text).map(|address| o.admin_listen = address),
        format: |o| o.admin_listen.to_string(),
    },
    Setting {
        flag: "platform",
        env: "LABURNUMVALVE_PLATFORM",
        placeholder: "URL",
        help: "Object API and instance list of the platform",
        secret: false,
        required: true,
        parse: |o, text| parse_url(text).map(|url| o.platform_url = url),
        format: |o| o.platform_url.clone(),
    },
    Setting {
        flag: "orders",
        env: "LABURNUMVALVE_ORDERS",
        placeholder: "URL",
        help: "Backend server interface of the platform",
        secret: false,
        required: true,
        parse: |o, text| parse_url(text).map(|url| o.orders_url = url),
        format: |o| o.orders_url.clone(),
    },
    Setting {
        flag: "usage",
        env: "LABURNUMVALVE_USAGE",
        placeholder: "URL",
        help: "Usage-report interface of the platform",
        secret: false,
        required: true,
        parse: |o, text| parse_url(text).map(|url| o.usage_url = url),
        format: |o| o.usage_url.clone(),
    },
    Setting {
        flag: "seeds",
        env: "LABURNUMVALVE_SEEDS",
        placeholder: "IP:PORT,...",
        help: "Peers to ask when the platform can't be reached at the start",
        secret: false,
        required: false,
        parse: |o, text| parse_addresses(text).map(|seeds| o.seeds = seeds),
        format: |o| o.seeds.iter().map(ToString::to_string).collect::<Vec<_>>().join(","),
    },
    Setting {
        flag: "fleet-secret",
        env: "LABURNUMVALVE_FLEET_SECRET",
        placeholder: "TEXT",
        help: "Secret that instances prove to each other",
        secret: true,
        required: true,
        parse: |o, text| parse_secret(text).map(|secret| o.fleet_secret = secret),
        format: |o| format!("{:?}", o.fleet_secret),
    },
    Setting {
        flag: "admin-secret",
        env: "LABURNUMVALVE_ADMIN_SECRET",
        placeholder: "TEXT",
        help: "Secret that operators prove to the administration API",
        secret: true,
        required: true,
        parse: |o, text| parse_secret(text).map(|secret| o.admin_secret = secret),
        format: |o| format!("{:?}", o.admin_secret),
    },
    Setting {
        flag: "beat-ms",
        env: "LABURNUMVALVE_BEAT_MS",
        placeholder: "MS",
        help: "Period of beats between instances",
        secret: false,
        required: false,
        parse: |o, text| parse_millis(text).map(|period| o.beat_period = period),
        format: |o| format_millis(o.beat_period),
    },
    Setting {
        flag: "suspect-ms",
        env: "LABURNUMVALVE_SUSPECT_MS",
        placeholder: "MS",
        help: "Silence after which an instance is suspected",
        secret: false,
        required: false,
        parse: |o, text| parse_millis(text).map(|timeout| o.suspect_after = timeout),
        format: |o| format_millis(o.suspect_after),
    },
    Setting {
        flag: "lease-ms",
        env: "LABURNUMVALVE_LEASE_MS",
        placeholder: "MS",
        help: "Term of a lease",
        secret: false,
        required: false,
        parse: |o, text| parse_millis(text).map(|term| o.lease_term = term),
        format: |o| format_millis(o.lease_term),
    },
    Setting {
        flag: "window-ms",
        env: "LABURNUMVALVE_WINDOW_MS",
        placeholder: "MS",
        help: "Length of a usage window",
        secret: false,
        required: false,
        parse: |o, text| parse_millis(text).map(|length| o.usage_window = length),
        format: |o| format_millis(o.usage_window),
    },
    Setting {
        flag: "progress-ms",
        env: "LABURNUMVALVE_PROGRESS_MS",
        placeholder: "MS",
        help: "Time without progress after which an answer counts as broken",
        secret: false,
        required: false,
        parse: |o, text| parse_millis(text).map(|timeout| o.progress_timeout = timeout),
        format: |o| format_millis(o.progress_timeout),
    },
    Setting {
        flag: "drain-ms",
        env: "LABURNUMVALVE_DRAIN_MS",
        placeholder: "MS",
        help: "Longest time that a shutdown waits for requests to end",
        secret: false,
        required: false,
        parse: |o, text| parse_millis(text).map(|timeout| o.drain_timeout = timeout),
        format: |o| format_millis(o.drain_timeout),
    },
    Setting {
        flag: "max-body",
        env: "LABURNUMVALVE_MAX_BODY",
        placeholder: "BYTES",
        help: "Largest request body",
        secret: false,
        required: false,
        parse: |o, text| parse_count(text).map(|bytes| o.max_body_bytes = bytes),
        format: |o| o.max_body_bytes.to_string(),
    },
    Setting {
        flag: "max-header",
        env: "LABURNUMVALVE_MAX_HEADER",
        placeholder: "BYTES",
        help: "Largest request header section",
        secret: false,
        required: false,
        parse: |o, text| parse_count(text).map(|bytes| o.max_header_bytes = bytes),
        format: |o| o.max_header_bytes.to_string(),
    },
    Setting {
        flag: "max-connections",
        env: "LABURNUMVALVE_MAX_CONNECTIONS",
        placeholder: "COUNT",
        help: "Connections from callers at once",
        secret: false,
        required: false,
        parse: |o, text| parse_count(text).map(|count| o.max_connections = count),
        format: |o| o.max_connections.to_string(),
    },
    Setting {
        flag: "manage-servers",
        env: "LABURNUMVALVE_MANAGE_SERVERS",
        placeholder: "on|off",
        help: "Whether backend servers are started and stopped as demand asks",
        secret: false,
        required: false,
        parse: |o, text| parse_switch(text).map(|on| o.manage_servers = on),
        format: |o| if o.manage_servers { "on" } else { "off" }.to_owned(),
    },
    Setting {
        flag: "log-format",
        env: "LABURNUMVALVE_LOG_FORMAT",
        placeholder: "FORMAT",
        help: "Form of the log lines: text or json",
        secret: false,
        required: false,
        parse: |o, text| parse_log_format(text).map(|format| o.log_format = format),
        format: |o| match o.log_format {
            LogFormat::Text => "text".to_owned(),
            LogFormat::Json => "json".to_owned(),
        },
    },
    Setting {
        flag: "log",
        env: LOG_ENV,
        placeholder: "FILTER",
        help: "Filter of the log lines, such as info or laburnumvalve=debug",
        secret: false,
        required: false,
        parse: |o, text| parse_log_filter(text).map(|filter| o.log_filter = filter),
        format: |o| o.log_filter.clone(),
    },
];

impl Options {
    /// Parses all settings; `flag` and `env` return the value of a flag or environment variable.
    /// Flags take precedence.
    ///
    /// # Errors
    /// Returns all missing and invalid settings, not only the first.
    pub fn read(
        flag: impl Fn(&str) -> Option<String>,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, Vec<InvalidSetting>> {
        let mut options = Self::default();
        let mut invalid = Vec::new();
        for setting in SETTINGS {
            let text = flag(setting.flag).or_else(|| env(setting.env));
            if let Err(problem) = apply(setting, &mut options, text) {
                invalid.push(problem);
            }
        }
        invalid.extend(options.check_combinations());
        if invalid.is_empty() { Ok(options) } else { Err(invalid) }
    }

    /// Checks constraints between settings.
    fn check_combinations(&self) -> Option<InvalidSetting> {
        let too_short = self.suspect_after < self.beat_period * 3;
        too_short.then(|| InvalidSetting {
            flag: "suspect-ms",
            env: "LABURNUMVALVE_SUSPECT_MS",
            value: Some(format_millis(self.suspect_after)),
            expected: "at least three beat periods",
        })
    }
}

/// Parses one setting if it has a value.
fn apply(
    setting: &Setting,
    options: &mut Options,
    text: Option<String>,
) -> Result<(), InvalidSetting> {
    let invalid = |value: Option<String>, expected| InvalidSetting {
        flag: setting.flag,
        env: setting.env,
        value,
        expected,
    };
    match text {
        Some(text) => (setting.parse)(options, text.trim()).map_err(|expected| {
            invalid(
                Some(if setting.secret { "(hidden)".to_owned() } else { text.clone() }),
                expected,
            )
        }),
        None if setting.required => Err(invalid(None, "a value")),
        None => Ok(()),
    }
}

fn parse_name(text: &str) -> Result<&str, &'static str> {
    let valid = (1..=63).contains(&text.len())
        && text.chars().all(|c| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-'));
    if valid { Ok(text) } else { Err(NAME_FORMAT) }
}

fn parse_address(text: &str) -> Result<SocketAddr, &'static str> {
    text.parse().map_err(|_| ADDRESS_FORMAT)
}

fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>, &'static str> {
    text.split(',')
        .filter(|part| !part.trim().is_empty())
        .map(|p| parse_address(p.trim()))
        .collect()
}

fn parse_url(text: &str) -> Result<String, &'static str> {
    let url = reqwest::Url::parse(text).map_err(|_| URL_FORMAT)?;
    if url.scheme() == "http" && url.has_host() {
        Ok(text.trim_end_matches('/').to_owned())
    } else {
        Err(URL_FORMAT)
    }
}

fn parse_secret(text: &str) -> Result<Secret, &'static str> {
    if text.len() >= 16 { Ok(Secret::new(text)) } else { Err(SECRET_FORMAT) }
}

fn parse_millis(text: &str) -> Result<Duration, &'static str> {
    match text.parse::<u64>() {
        Ok(ms @ 10..=3_600_000) => Ok(Duration::from_millis(ms)),
        _ => Err(MILLIS_FORMAT),
    }
}

fn format_millis(duration: Duration) -> String {
    duration.as_millis().to_string()
}

fn parse_count(text: &str) -> Result<usize, &'static str> {
    match text.parse::<usize>() {
        Ok(count @ 1..=1_000_000_000) => Ok(count),
        _ => Err(COUNT_FORMAT),
    }
}

fn parse_switch(text: &str) -> Result<bool, &'static str> {
    match text {
        "on" => Ok(true),
        "off" => Ok(false),
        _ => Err("on or off"),
    }
}

fn parse_log_format(text: &str) -> Result<LogFormat, &'static str> {
    match text {
        "text" => Ok(LogFormat::Text),
        "json" => Ok(LogFormat::Json),
        _ => Err("text or json"),
    }
}

/// Validates a log filter.
///
/// # Errors
/// Describes the valid values.
pub fn parse_log_filter(text: &str) -> Result<String, &'static str> {
    tracing_subscriber::EnvFilter::try_new(text)
        .map(|_| text.to_owned())
        .map_err(|_| "a filter such as info or laburnumvalve=debug")
}
