//! Log output, set up once at the start of the process.

use tracing_subscriber::EnvFilter;

use crate::options::{LogFormat, Options};

/// Starts to write log lines to standard error.
///
/// # Errors
/// Fails if the filter is malformed or logging was set up before.
pub fn start(options: &Options) -> eyre::Result<()> {
    let filter = EnvFilter::try_new(&options.log_filter)?;
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    let started = match options.log_format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
    started.map_err(|error| eyre::eyre!("logging can't be set up: {error}"))
}
