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
pub fn start(options: &Options) -> eyre::Result<()> {
    let filter = EnvFilter::try_new(&options.log_filter)?;
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    let started = match options.log_format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
    started.map_err(|error| eyre::eyre!("logging can't be set up: {error}"))
}

/// Counts the lines that were dropped, once JSON lines are written.
static DROPPED: OnceLock<ErrorCounter> = OnceLock::new();

/// Returns the lines that were dropped since the start because their reader was too slow.
pub fn dropped_lines() -> u64 {
    DROPPED.get().map_or(0, |counter| counter.dropped_lines() as u64)
}

/// Lines that wait to be written; further ones are dropped.
const MAX_WAITING_LINES: usize = 4_096;

/// Time at the end of the process for the lines that wait; a reader that is so slow loses them.
const LAST_LINES_TIME: Duration = Duration::from_secs(1);

/// Keeps the writer of JSON lines alive; when dropped, it writes the lines that wait.
#[derive(Debug)]
pub struct LogWriter(Option<WorkerGuard>);

impl Drop for LogWriter {
    fn drop(&mut self) {
        let guard = self.0.take();
        let (tx, written) = mpsc::channel();
        // The guard blocks for good if nobody reads the lines, so it is dropped on a thread that
        // the end of the process doesn't wait for.
        std::thread::spawn(move || {
            drop(guard);
            // Nobody listens any more if it took too long.
            let _ = tx.send(());
        });
        // Both outcomes mean that the process may end.
        let _ = written.recv_timeout(LAST_LINES_TIME);
    }
}

/// Starts to write JSON lines to standard output from a thread of their own.
///
/// Lines are dropped when the reader is too slow, so that logging never blocks.
///
/// # Errors
/// Fails if the filter is malformed or logging was set up before.
pub fn start_json(filter: &str) -> eyre::Result<LogWriter> {
    let filter = EnvFilter::try_new(filter)?;
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_WAITING_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    // A second start fails below.
    DROPPED.get_or_init(|| writer.error_counter());
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter)
        .with_writer(writer)
        .try_init()
        .map_err(|error| eyre::eyre!("logging can't be set up: {error}"))?;
    Ok(LogWriter(Some(guard)))
}
