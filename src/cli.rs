//! Command-line parsing.

use std::path::PathBuf;

use getopts::Matches;

use crate::names::{BackendServerName, ClassName, DataCentreName, KeyId, OrganisationName};
use crate::options::{InvalidSetting, LOG_ENV, Options, SETTINGS, Secret, parse_log_filter};
use crate::platform::settings::PATH_ENV;

/// Exit code of a command that succeeded.
pub const EXIT_SUCCESS: u8 = 0;
/// Exit code of a command that failed.
pub const EXIT_FAILURE: u8 = 1;
/// Exit code for an invalid command line or invalid settings.
pub const EXIT_USAGE: u8 = 2;

/// Environment variable with the base URL of the administration API, for operator commands.
pub const ADMIN_URL_ENV: &str = "LABURNUMVALVE_ADMIN";
/// Environment variable with the administration secret.
pub const ADMIN_SECRET_ENV: &str = "LABURNUMVALVE_ADMIN_SECRET";
/// Administration API that operator commands call by default.
const DEFAULT_ADMIN_URL: &str = "http://127.0.0.1:7401";

/// A parsed command line.
#[derive(Debug, Clone)]
pub enum Command {
    /// Print the help or the version.
    Print(String),
    /// Run an instance.
    Serve(Box<Options>),
    /// Print the effective settings of an instance.
    ServeCheck(Box<Options>),
    /// Run a gateway instance.
    Gateway(GatewayArgs),
    /// Print the log lines that are related to a request, in order of time.
    Explain {
        /// Identifier of the request.
        id: String,
        /// Log files of instances; reads standard input if empty.
        logs: Vec<PathBuf>,
    },
    /// Call the administration API of a running instance.
    Operate(Operation, AdminOptions),
}

/// Arguments of the `gateway` command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewayArgs {
    /// Settings file written by the platform.
    pub settings: PathBuf,
    /// Log filter, such as `info` or `off`.
    pub log_filter: String,
}

/// Options of the operator commands: access to the administration API and the output format.
#[derive(Debug, Clone, Default)]
pub struct AdminOptions {
    /// Base URL of the administration API.
    pub url: String,
    /// Administration secret.
    pub secret: Secret,
    /// Whether to print JSON.
    pub json: bool,
}

/// An operator command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operation {
    /// Print the changes that a sheet would make.
    SheetCheck(PathBuf),
    /// Apply a sheet.
    SheetApply(PathBuf),
    /// Print the configuration as a sheet.
    SheetExport,
    /// Issue a key.
    KeyIssue {
        /// Organisation that the key belongs to.
        organisation: OrganisationName,
        /// Class of requests that have no class header.
        default_class: Option<ClassName>,
        /// Classes that requests may select by header.
        allowed_classes: Vec<ClassName>,
    },
    /// Withdraw a key.
    KeyWithdraw(KeyId),
    /// Put a data centre in service (`true`) or take it out of service (`false`).
    DataCentre(DataCentreName, bool),
    /// Put a backend server in service (`true`) or take it out of service (`false`).
    BackendServer(BackendServerName, bool),
    /// Print the state of an instance and its peers.
    Status,
    /// Print the events of all instances, merged in causal order.
    Timeline(TimelineFilter),
}

/// Filter of the timeline; `None` fields match every event.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TimelineFilter {
    /// Only events of this request.
    pub request: Option<String>,
    /// Only events of this organisation.
    pub organisation: Option<String>,
    /// Only events of this backend server.
    pub backend_server: Option<String>,
    /// Only events of this kind.
    pub kind: Option<String>,
}

/// An invalid command line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UsageError {
    /// Unknown command or invalid arguments.
    Arguments(String),
    /// Missing or invalid settings.
    Settings(Vec<InvalidSetting>),
}

impl std::fmt::Display for UsageError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Arguments(problem) => f.write_str(problem),
            Self::Settings(invalid) => {
                write!(f, "{} invalid setting(s):", invalid.len())?;
                invalid.iter().try_for_each(|problem| write!(f, "\n  {problem}"))
            }
        }
    }
}

impl std::error::Error for UsageError {}

const OVERVIEW: &str = "\
laburnumvalve routes language-model traffic with priorities and service levels.

Usage:
  laburnumvalve serve [SETTINGS]              run an instance
  laburnumvalve serve --check [SETTINGS]      print the settings in use, then exit
  laburnumvalve gateway [--settings FILE]     run an instance on the platform
  laburnumvalve sheet check FILE              show what a sheet would change
  laburnumvalve sheet apply FILE              accept a sheet
  laburnumvalve sheet export                  print the accepted sheet
  laburnumvalve key issue ORGANISATION        issue a key; it is shown once
  laburnumvalve key withdraw KEY-ID           withdraw a key
  laburnumvalve data-centre out|in NAME       take a data centre out, or in again
  laburnumvalve backend-server out|in NAME    take a backend server out, or in again
  laburnumvalve status                        show an instance and its peers
  laburnumvalve timeline                      show the events of all instances
  laburnumvalve explain ID [FILE...]          tell a request's story from gateways' log lines

Exit codes: 0 done, 1 failed, 2 the command line or a setting is wrong.
";

/// Parses the command line; `env` returns the value of an environment variable.
///
/// # Errors
/// If the arguments or settings are invalid.
pub fn parse(args: &[String], env: impl Fn(&str) -> Option<String>) -> Result<Command, UsageError> {
    match args.first().map(String::as_str) {
        None | Some("help" | "--help" | "-h") => Ok(Command::Print(full_help())),
        Some("--version" | "-V") => Ok(Command::Print(version())),
        Some("serve") => parse_serve(&args[1..], env),
        Some("gateway") => parse_gateway(&args[1..], env),
        Some("explain") => parse_explain(&args[1..]),
        Some(_) => parse_operation(args, env),
    }
}

fn version() -> String {
    format!("laburnumvalve {}\n", env!("CARGO_PKG_VERSION"))
}

fn full_help() -> String {
    let serve =
        serve_flags().usage("Settings of serve; each may be given by environment variable:");
    let gateway = gateway_flags().usage("Settings of gateway:");
    let operate = operator_flags().usage("Options of the operator commands:");
    format!("{OVERVIEW}\n{serve}\n{gateway}\n{operate}")
}

fn serve_flags() -> getopts::Options {
    let mut flags = getopts::Options::new();
    for setting in SETTINGS {
        let help = format!("{} [{}]", setting.help, setting.env);
        flags.optopt("", setting.flag, &help, setting.placeholder);
    }
    flags.optflag("", "check", "Print the settings in use, then exit");
    flags.optflag("h", "help", "Print this help");
    flags
}

fn parse_serve(
    args: &[String],
    env: impl Fn(&str) -> Option<String>,
) -> Result<Command, UsageError> {
    let matches = parse_flags(&serve_flags(), args)?;
    if matches.opt_present("help") {
        return Ok(Command::Print(full_help()));
    }
    if let Some(extra) = matches.free.first() {
        return Err(UsageError::Arguments(format!("serve takes no argument \"{extra}\"")));
    }
    let options = Options::read(|flag| matches.opt_str(flag), env).map_err(UsageError::Settings)?;
    let options = Box::new(options);
    if matches.opt_present("check") {
        Ok(Command::ServeCheck(options))
    } else {
        Ok(Command::Serve(options))
    }
}

fn gateway_flags() -> getopts::Options {
    let mut flags = getopts::Options::new();
    let help = format!("Settings file that the platform wrote [{PATH_ENV}]");
    flags.optopt("", "settings", &help, "FILE");
    let help = format!("Filter of the log lines, such as info or off [{LOG_ENV}]");
    flags.optopt("", "log", &help, "FILTER");
    flags.optflag("h", "help", "Print this help");
    flags
}

fn parse_gateway(
    args: &[String],
    env: impl Fn(&str) -> Option<String>,
) -> Result<Command, UsageError> {
    let matches = parse_flags(&gateway_flags(), args)?;
    if matches.opt_present("help") {
        return Ok(Command::Print(full_help()));
    }
    let settings = matches.opt_str("settings").or_else(|| env(PATH_ENV)).ok_or_else(|| {
        UsageError::Arguments(format!("gateway requires --settings FILE or {PATH_ENV}"))
    })?;
    let log_filter = matches.opt_str("log").or_else(|| env(LOG_ENV));
    let log_filter = log_filter.unwrap_or_else(|| Options::default().log_filter);
    let log_filter = parse_log_filter(&log_filter).map_err(|expected| {
        let value = Some(log_filter.clone());
        UsageError::Settings(vec![InvalidSetting { flag: "log", env: LOG_ENV, value, expected }])
    })?;
    Ok(Command::Gateway(GatewayArgs { settings: settings.into(), log_filter }))
}

fn parse_explain(args: &[String]) -> Result<Command, UsageError> {
    match args {
        [id, logs @ ..] if !id.starts_with('-') => {
            Ok(Command::Explain { id: id.clone(), logs: logs.iter().map(PathBuf::from).collect() })
        }
        _ => Err(UsageError::Arguments("explain needs the ID of a request".to_owned())),
    }
}

fn operator_flags() -> getopts::Options {
    let mut flags = getopts::Options::new();
    flags.optopt("", "admin", "Administration API to talk to [LABURNUMVALVE_ADMIN]", "URL");
    flags.optopt("", "admin-secret", "Its secret [LABURNUMVALVE_ADMIN_SECRET]", "TEXT");
    flags.optflag("", "json", "Print JSON");
    flags.optopt("", "class", "key issue: class of the key's requests", "CLASS");
    flags.optmulti("", "allow-class", "key issue: a class that requests may ask for", "CLASS");
    flags.optopt("", "request", "timeline: only events of this request", "ID");
    flags.optopt("", "organisation", "timeline: only events of this organisation", "NAME");
    flags.optopt("", "backend-server", "timeline: only events of this backend server", "NAME");
    flags.optopt("", "kind", "timeline: only events of this kind", "KIND");
    flags.optflag("h", "help", "Print this help");
    flags
}

fn parse_operation(
    args: &[String],
    env: impl Fn(&str) -> Option<String>,
) -> Result<Command, UsageError> {
    let matches = parse_flags(&operator_flags(), args)?;
    if matches.opt_present("help") {
        return Ok(Command::Print(full_help()));
    }
    let words: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    let operation = operation_from_words(&words, &matches)?;
    let flag_or_env = |flag: &str, name: &str| matches.opt_str(flag).or_else(|| env(name));
    let admin_options = AdminOptions {
        url: flag_or_env("admin", ADMIN_URL_ENV).unwrap_or_else(|| DEFAULT_ADMIN_URL.to_owned()),
        secret: Secret::new(flag_or_env("admin-secret", ADMIN_SECRET_ENV).unwrap_or_default()),
        json: matches.opt_present("json"),
    };
    Ok(Command::Operate(operation, admin_options))
}

fn operation_from_words(words: &[&str], matches: &Matches) -> Result<Operation, UsageError> {
    match words {
        ["sheet", "check", file] => Ok(Operation::SheetCheck(file.into())),
        ["sheet", "apply", file] => Ok(Operation::SheetApply(file.into())),
        ["sheet", "export"] => Ok(Operation::SheetExport),
        ["key", "issue", organisation] => Ok(Operation::KeyIssue {
            organisation: (*organisation).into(),
            default_class: matches.opt_str("class").map(ClassName::from),
            allowed_classes: matches.opt_strs("allow-class").into_iter().map(Into::into).collect(),
        }),
        ["key", "withdraw", id] => Ok(Operation::KeyWithdraw((*id).into())),
        ["data-centre", direction @ ("out" | "in"), name] => {
            Ok(Operation::DataCentre((*name).into(), *direction == "in"))
        }
        ["backend-server", direction @ ("out" | "in"), name] => {
            Ok(Operation::BackendServer((*name).into(), *direction == "in"))
        }
        ["status"] => Ok(Operation::Status),
        ["timeline"] => Ok(Operation::Timeline(TimelineFilter {
            request: matches.opt_str("request"),
            organisation: matches.opt_str("organisation"),
            backend_server: matches.opt_str("backend-server"),
            kind: matches.opt_str("kind"),
        })),
        _ => Err(UsageError::Arguments(format!(
            "unknown command \"{}\"; see laburnumvalve --help",
            words.join(" ")
        ))),
    }
}

fn parse_flags(flags: &getopts::Options, args: &[String]) -> Result<Matches, UsageError> {
    flags.parse(args).map_err(|error| UsageError::Arguments(error.to_string()))
}
