//! Deletes expired claims at a limited rate.

use std::time::Duration;

use tokio::time::sleep;

use super::record::ClaimRecord;
use crate::clock::wall_millis;
use crate::context::Context;
use crate::peer::members::rendezvous_weight;
use crate::platform::{Object, ObjectKind};

/// Age after which a claim is deleted and its idempotency key can be reused.
const CLAIM_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
/// Interval between scans for expired claims.
const SWEEP_PERIOD: Duration = Duration::from_secs(10 * 60);
/// Interval between deletions, to limit the load on the object API.
const DELETE_INTERVAL: Duration = Duration::from_millis(200);

/// Periodically deletes expired claims while this instance is elected for the task.
///
/// Two instances that both consider themselves elected do no harm, since deletions are conditional.
pub async fn run(cx: Context) {
    let mut ticks = cx.timer.every(SWEEP_PERIOD);
    while ticks.recv().await.is_some() {
        if is_elected(&cx) {
            delete_expired(&cx).await;
        }
    }
}

/// Returns whether this instance ranks first among the usable members for this task.
fn is_elected(cx: &Context) -> bool {
    let members = cx.members.borrow();
    let first = members
        .listed
        .values()
        .filter(|member| members.is_usable(member))
        .max_by_key(|member| rendezvous_weight(member.name.as_str(), "claims"));
    first.is_some_and(|first| first.name == cx.options.instance)
}

async fn delete_expired(cx: &Context) {
    let Ok((claims, _)) = cx.objects.list::<ClaimRecord>(ObjectKind::Claims).await else { return };
    for claim in claims.iter().filter(|claim| is_expired(claim)) {
        let deleted = cx.objects.delete(ObjectKind::Claims, &claim.name, &claim.version).await;
        if let Err(error) = deleted {
            tracing::debug!(%error, "expired idempotency claim {} not deleted", claim.name);
        }
        sleep(DELETE_INTERVAL).await;
    }
}

fn is_expired(claim: &Object<ClaimRecord>) -> bool {
    let age = wall_millis().saturating_sub(claim.spec.created_ms);
    u128::from(age) > CLAIM_RETENTION.as_millis()
}
