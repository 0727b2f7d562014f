//! What backend servers say about themselves in their responses: that they leave, or that they
//! want no requests for a while.
//!
//! A notice belongs to a process of a server, not to its address or its registry entry, so it
//! outlasts a new list of the servers, and ends with the process.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::names::BackendServerName;

/// Maximum length of a pause; a longer one counts as this.
const MAX_PAUSE: Duration = Duration::from_secs(24 * 3_600);

/// Notices of a server in one response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Notice {
    /// Whether the server leaves.
    pub is_leaving: bool,
    /// Time for which the server wants no requests from this instance.
    pub pause: Option<Duration>,
}

/// Notices of one process.
#[derive(Debug, Clone, Copy)]
struct ProcessNotices {
    started_at_ms: Option<u64>,
    leaving_since: Option<Instant>,
    paused_until: Option<Instant>,
}

/// Notices of all servers; of each, those of the process that sent the last one.
#[derive(Debug, Default)]
pub struct Notices {
    servers: HashMap<BackendServerName, ProcessNotices>,
}

impl Notices {
    /// Records the notice of a process of a server; returns whether the server has begun to leave.
    pub fn record(
        &mut self,
        now: Instant,
        server: &BackendServerName,
        started_at_ms: Option<u64>,
        notice: Notice,
    ) -> bool {
        if notice == Notice::default() {
            return false;
        }
        let known = self.servers.get(server).filter(|it| it.started_at_ms == started_at_ms);
        let former_since = known.and_then(|known| known.leaving_since);
        let pause = notice.pause.map(|pause| now + pause.min(MAX_PAUSE));
        let notices = ProcessNotices {
            started_at_ms,
            leaving_since: former_since.or(notice.is_leaving.then_some(now)),
            paused_until: known.and_then(|known| known.paused_until).max(pause),
        };
        self.servers.insert(server.clone(), notices);
        notice.is_leaving && former_since.is_none()
    }

    /// Returns since when a process of a server leaves; `None` if it doesn't.
    pub fn leaving_since(
        &self,
        server: &BackendServerName,
        started_at_ms: Option<u64>,
    ) -> Option<Instant> {
        self.of_process(server, started_at_ms)?.leaving_since
    }

    /// Returns how much longer a process of a server wants no requests; `None` if it takes them.
    pub fn pause_left(
        &self,
        now: Instant,
        server: &BackendServerName,
        started_at_ms: Option<u64>,
    ) -> Option<Duration> {
        let until = self.of_process(server, started_at_ms)?.paused_until?;
        Some(until.saturating_duration_since(now)).filter(|left| !left.is_zero())
    }

    /// Drops pauses that have ended, and servers that are no longer known.
    pub fn purge(&mut self, now: Instant, is_known: impl Fn(&BackendServerName) -> bool) {
        self.servers.retain(|server, notices| {
            let is_paused = notices.paused_until.is_some_and(|until| now < until);
            is_paused || (notices.leaving_since.is_some() && is_known(server))
        });
    }

    fn of_process(
        &self,
        server: &BackendServerName,
        started_at_ms: Option<u64>,
    ) -> Option<&ProcessNotices> {
        self.servers.get(server).filter(|notices| notices.started_at_ms == started_at_ms)
    }
}
