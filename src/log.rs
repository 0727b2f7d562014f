//! Log output, set up once at the start of the process.

use std::sync::{OnceLock, mpsc};
use std::time::Duration;

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

use crate::options::{LogFormat, Options};

/// Starts to write log lines to standard error.
///
/// # Errors
/// Fails if the filter is malformed or logging was set up before.
pub fn init(options: &Options) -> eyre::Result<()> {
    let filter = EnvFilter::try_new(&options.log_filter)?;
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    let result = match options.log_format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
    result.map_err(|error| eyre::eyre!("logging can't be set up: {error}"))
}

/// Counts the lines that were dropped, once JSON lines are written.
static DROPPED_LINES: OnceLock<ErrorCounter> = OnceLock::new();

/// Returns the lines that were dropped since the start because their reader was too slow.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.get().map_or(0, |counter| counter.dropped_lines() as u64)
}

/// Lines that wait to be written; further ones are dropped.
const MAX_BUFFERED_LINES: usize = 4_096;

/// Time at the end of the process for the lines that wait; a reader that is so slow loses them.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Keeps the writer of JSON lines alive; when dropped, it writes the lines that wait.
#[derive(Debug)]
pub struct LogWriter(Option<WorkerGuard>);

impl Drop for LogWriter {
    fn drop(&mut self) {
        let guard = self.0.take();
        let (tx, flushed) = mpsc::channel();
        // The guard blocks for good if nobody reads the lines, so it is dropped on a thread that
        // the end of the process doesn't wait for.
        std::thread::spawn(move || {
            drop(guard);
            // Nobody listens any more if it took too long.
            let _ = tx.send(());
        });
        // Both outcomes mean that the process may end.
        let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Starts to write JSON lines to standard output from a thread of their own.
///
/// Lines are dropped when the reader is too slow, so that logging never blocks.
///
/// # Errors
/// Fails if the filter is malformed or logging was set up before.
pub fn init_json(filter: &str) -> eyre::Result<LogWriter> {
    let filter = EnvFilter::try_new(filter)?;
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    // A second start fails below.
    DROPPED_LINES.get_or_init(|| writer.error_counter());
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter)
        .with_writer(writer)
        .try_init()
        .map_err(|error| eyre::eyre!("logging can't be set up: {error}"))?;
    Ok(LogWriter(Some(guard)))
}
