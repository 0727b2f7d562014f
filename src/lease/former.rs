//! Former holders of a lease that may still believe they are in charge.
//!
//! Whoever can't check fencing numbers must not be acted on by two of them. A former holder is
//! over once it released the lease or acknowledged its loss, or has been off the platform's
//! instance list for longer than anything it does under a permit may take.

use std::collections::BTreeMap;
use std::time::Duration;

use super::claimant::Holder;
use super::live::ACTION_TIMEOUT;
use crate::clock::BootTime;
use crate::names::InstanceName;
use crate::peer::Members;

/// Absence after which an instance that was never seen on the list counts as gone; covers a list
/// that lags behind a start.
const UNLISTED_GRACE_PERIOD: Duration = Duration::from_secs(60);

/// Observes when former holders are over.
#[derive(Debug, Default)]
pub struct FormerHolderTracker {
    /// When an instance was first absent, and whether it had been listed before.
    absences: BTreeMap<InstanceName, (BootTime, bool)>,
    ever_listed: std::collections::BTreeSet<InstanceName>,
}

impl FormerHolderTracker {
    /// Returns those of the former holders that are over, by the current list.
    ///
    /// A list that does not show this instance itself proves nothing.
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
            let grace_period = if was_listed { ACTION_TIMEOUT } else { UNLISTED_GRACE_PERIOD };
            now.since(since) > grace_period
        };
        former.iter().filter(has_stopped).cloned().collect()
    }
}
