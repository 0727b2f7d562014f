//! A watch on objects of one kind.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::objects::{Change, Store};
use crate::host::Call;

/// Longest time that a watch waits.
const MAX_WAIT: Duration = Duration::from_secs(300);

/// What a watch waits for.
#[derive(Debug)]
pub(super) struct Watch {
    kind: String,
    name: Option<String>,
    after: u64,
    left: u64,
    until: Instant,
}

impl Watch {
    /// Reads the parameters of a watch.
    pub(super) fn read(call: &Call, kind: &str) -> Self {
        let number = |name: &str| call.query.get(name).and_then(|text| text.parse::<u64>().ok());
        let wait = number("timeoutSeconds").map_or(MAX_WAIT, Duration::from_secs);
        let field = call.query.get("fieldSelector");
        Self {
            kind: kind.to_owned(),
            name: field.and_then(|field| field.strip_prefix("metadata.name=")).map(str::to_owned),
            after: number("resourceVersion").unwrap_or(0),
            left: number("maxEvents").unwrap_or(u64::MAX),
            until: Instant::now() + wait.min(MAX_WAIT),
        }
    }

    /// Sends the changes as they come, until the time or the number of events is used up.
    pub(super) async fn run(mut self, store: Arc<Store>, tx: mpsc::Sender<std::io::Result<Bytes>>) {
        let mut revisions = store.revisions();
        loop {
            revisions.mark_unchanged();
            for change in store.changes(|change| self.wants(change)) {
                self.after = change.revision;
                self.left -= 1;
                let line = format!("{}\n", change.line);
                if tx.send(Ok(line.into())).await.is_err() || self.left == 0 {
                    return;
                }
            }
            tokio::select! {
                changed = revisions.changed() => if changed.is_err() { return },
                () = tokio::time::sleep_until(self.until) => return,
                () = tx.closed() => return,
            }
        }
    }

    fn wants(&self, change: &Change) -> bool {
        change.revision > self.after
            && change.kind == self.kind
            && self.name.as_ref().is_none_or(|name| *name == change.name)
    }
}
