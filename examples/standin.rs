//! Runs a stand-in as a process: `standin platform|engine|plain [OPTIONS]`.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use eyre::{WrapErr, bail};
use getopts::{Matches, Options};
use standins::{Engine, EngineSettings, Plain, PlainSettings, Platform, PlatformSettings};

const OVERVIEW: &str = "Usage: standin platform|engine|plain [OPTIONS]";

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let flags = flags();
    let matches = flags.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        print!("{}", flags.usage(OVERVIEW));
        return Ok(());
    }
    match matches.free.iter().map(String::as_str).collect::<Vec<_>>().as_slice() {
        ["platform"] => run_platform(&matches).await,
        ["engine"] => run_engine(&matches).await,
        ["plain"] => run_plain(&matches).await,
        _ => bail!("{}", flags.usage(OVERVIEW)),
    }
}

fn flags() -> Options {
    let mut flags = Options::new();
    flags.optopt("", "listen", "Address to listen on", "IP:PORT");
    flags.optopt("", "writes", "platform: maximum object writes per second", "COUNT");
    flags.optopt("", "reads", "platform: maximum reads and watches per second", "COUNT");
    flags.optopt("", "list-lag-ms", "platform: lag of the instance list", "MS");
    flags.optopt("", "model", "engine: model name", "NAME");
    flags.optopt("", "slots", "engine: maximum concurrent requests", "COUNT");
    flags.optopt("", "token-gap-us", "engine: time between tokens", "US");
    flags.optopt("", "cold-ms", "engine: duration of the cold start", "MS");
    flags.optopt(
        "",
        "cold-limit",
        "engine: maximum running and queued requests while cold",
        "COUNT",
    );
    flags.optopt("", "report-lag-ms", "engine: lag of its load report", "MS");
    flags.optflag("h", "help", "Print this help");
    flags
}

/// Parses the value of an option, or returns `None` if it is absent.
fn parse_option<T: FromStr>(matches: &Matches, flag: &str) -> eyre::Result<Option<T>>
where
    T::Err: std::error::Error + Send + Sync + 'static,
{
    let Some(text) = matches.opt_str(flag) else { return Ok(None) };
    text.parse().map(Some).wrap_err_with(|| format!("invalid value for --{flag}: {text}"))
}

fn listen_address(matches: &Matches) -> eyre::Result<SocketAddr> {
    Ok(parse_option(matches, "listen")?.unwrap_or(standins::ANY_PORT))
}

fn millis(matches: &Matches, flag: &str) -> eyre::Result<Duration> {
    Ok(Duration::from_millis(parse_option(matches, flag)?.unwrap_or(0)))
}

async fn run_platform(matches: &Matches) -> eyre::Result<()> {
    let settings = PlatformSettings {
        listen: listen_address(matches)?,
        writes_per_second: parse_option(matches, "writes")?,
        reads_per_second: parse_option(matches, "reads")?,
        list_lag: millis(matches, "list-lag-ms")?,
        ..Default::default()
    };
    let platform = Platform::start(settings).await?;
    serve_until_interrupt(&platform.url()).await
}

async fn run_engine(matches: &Matches) -> eyre::Result<()> {
    let defaults = EngineSettings::default();
    let gap =
        parse_option(matches, "token-gap-us")?.map_or(defaults.token_gap, Duration::from_micros);
    let settings = EngineSettings {
        listen: listen_address(matches)?,
        model: parse_option(matches, "model")?.unwrap_or(defaults.model.clone()),
        slots: parse_option(matches, "slots")?.unwrap_or(defaults.slots),
        token_gap: gap,
        cold_start: millis(matches, "cold-ms")?,
        cold_limit: parse_option(matches, "cold-limit")?.unwrap_or(defaults.cold_limit),
        report_lag: millis(matches, "report-lag-ms")?,
        ..defaults
    };
    let engine = Engine::start(settings).await?;
    serve_until_interrupt(&engine.url()).await
}

async fn run_plain(matches: &Matches) -> eyre::Result<()> {
    let plain = Plain::start(PlainSettings { listen: listen_address(matches)? }).await?;
    serve_until_interrupt(&plain.url()).await
}

/// Prints the base URL and serves until an interrupt (Ctrl-C).
async fn serve_until_interrupt(url: &str) -> eyre::Result<()> {
    println!("{url}");
    tokio::signal::ctrl_c().await?;
    Ok(())
}
