//! Set-up of the log output, done once per process.

use std::sync::{OnceLock, mpsc};
use std::time::Duration;

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

use crate::options::{LogFormat, Options};

/// Initialises logging to standard error.
///
/// # Errors
/// If the filter is malformed or logging is already initialised.
pub fn init(options: &Options) -> eyre::Result<()> {
    let filter = EnvFilter::try_new(&options.log_filter)?;
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    let result = match options.log_format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
    result.map_err(|error| eyre::eyre!("failed to initialise logging: {error}"))
}

/// Counter of dropped lines; set by [`init_json`].
static DROPPED_LINES: OnceLock<ErrorCounter> = OnceLock::new();

/// Returns how many lines were dropped since the start because standard output was read too
/// slowly.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.get().map_or(0, |counter| counter.dropped_lines() as u64)
}

/// Capacity of the line buffer; further lines are dropped while it is full.
const MAX_BUFFERED_LINES: usize = 4_096;

/// Maximum time to flush buffered lines at exit; lines not written by then are lost.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Guard of the JSON log writer; flushes buffered lines when dropped.
#[derive(Debug)]
pub struct LogWriter(Option<WorkerGuard>);

impl Drop for LogWriter {
    fn drop(&mut self) {
        let guard = self.0.take();
        let (tx, flushed) = mpsc::channel();
        // Dropping the guard blocks as long as standard output is not read, so that is done on a
        // thread that does not delay the exit of the process.
        std::thread::spawn(move || {
            drop(guard);
            // Fails if the receiver has timed out.
            let _ = tx.send(());
        });
        // The process exits after a time-out, too.
        let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Initialises JSON logging to standard output from a dedicated thread.
///
/// Lines are dropped while the buffer is full, so that logging never blocks the caller.
///
/// # Errors
/// If the filter is malformed or logging is already initialised.
pub fn init_json(filter: &str) -> eyre::Result<LogWriter> {
    let filter = EnvFilter::try_new(filter)?;
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    // If logging is already initialised, `try_init` fails below.
    DROPPED_LINES.get_or_init(|| writer.error_counter());
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter)
        .with_writer(writer)
        .try_init()
        .map_err(|error| eyre::eyre!("failed to initialise logging: {error}"))?;
    Ok(LogWriter(Some(guard)))
}
