//! Former holders of a lease that may still act as if they held it.
//!
//! A target that does not check fencing tokens must not receive actions of two holders. A former
//! holder is known to have stopped once it has released the lease, has acknowledged that it lost
//! it, or has been absent from the platform's instance list for longer than an action under a
//! permit can take.

use std::collections::BTreeMap;
use std::time::Duration;

use super::claimant::Holder;
use super::live::ACTION_TIMEOUT;
use crate::clock::BootTime;
use crate::names::InstanceName;
use crate::peer::Members;

/// Absence after which an instance that was never seen on the list counts as stopped. It is longer
/// because the list may lag behind the start of an instance.
const NEVER_LISTED_GRACE_PERIOD: Duration = Duration::from_secs(60);

/// Tracks which former holders have stopped, based on the platform's instance list.
#[derive(Debug, Default)]
pub struct FormerHolderTracker {
    /// Time since which an instance is absent, and whether it had been listed before.
    absences: BTreeMap<InstanceName, (BootTime, bool)>,
    ever_listed: std::collections::BTreeSet<InstanceName>,
}

impl FormerHolderTracker {
    /// Returns the former holders that have stopped, according to the current list.
    ///
    /// A list without this instance itself may be incomplete, so it restarts all absence times.
    pub fn stopped(
        &mut self,
        former: &[Holder],
        members: &Members,
        this_instance: &InstanceName,
        now: BootTime,
    ) -> Vec<Holder> {
        if !members.listed.contains_key(this_instance) {
            self.absences.clear();
            return Vec::new();
        }
        self.ever_listed.extend(members.listed.keys().cloned());
        self.absences.retain(|instance, _| !members.listed.contains_key(instance));
        let has_stopped = |holder: &&Holder| {
            if members.listed.contains_key(&holder.instance) {
                return false;
            }
            let was_listed = self.ever_listed.contains(&holder.instance);
            let (since, was_listed) =
                *self.absences.entry(holder.instance.clone()).or_insert((now, was_listed));
            let grace_period = if was_listed { ACTION_TIMEOUT } else { NEVER_LISTED_GRACE_PERIOD };
            now.since(since) > grace_period
        };
        former.iter().filter(has_stopped).cloned().collect()
    }
}
