//! Deletes old claims, slowly.

use std::time::Duration;

use tokio::time::sleep;

use super::record::ClaimRecord;
use crate::clock::wall_millis;
use crate::context::Context;
use crate::peer::members::weight;
use crate::platform::{Object, StoreKind};

/// Age after which a claim is deleted and its key may be used again.
const CLAIM_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
/// Time between two looks at all claims.
const SWEEP_PERIOD: Duration = Duration::from_secs(10 * 60);
/// Time between two deletions.
const DELETE_INTERVAL: Duration = Duration::from_millis(200);

/// Deletes old claims from time to time, if this instance is the one to do it.
///
/// Two instances that both believe it do no harm, since deletions are conditional.
pub async fn run(cx: Context) {
    let mut ticks = cx.timer.every(SWEEP_PERIOD);
    while ticks.recv().await.is_some() {
        if is_elected(&cx) {
            delete_expired(&cx).await;
        }
    }
}

/// Returns whether this instance comes first among the members for this task.
fn is_elected(cx: &Context) -> bool {
    let members = cx.members.borrow();
    let first = members
        .listed
        .values()
        .filter(|member| members.is_usable(member))
        .max_by_key(|member| weight(member.name.as_str(), "claims"));
    first.is_some_and(|first| first.name == cx.options.instance)
}

async fn delete_expired(cx: &Context) {
    let Ok((claims, _)) = cx.objects.list::<ClaimRecord>(StoreKind::Claims).await else { return };
    for claim in claims.iter().filter(|claim| is_expired(claim)) {
        let deleted = cx.objects.delete(StoreKind::Claims, &claim.name, &claim.version).await;
        if let Err(error) = deleted {
            tracing::debug!(%error, "old claim not deleted");
        }
        sleep(DELETE_INTERVAL).await;
    }
}

fn is_expired(claim: &Object<ClaimRecord>) -> bool {
    let age = wall_millis().saturating_sub(claim.spec.created_ms);
    u128::from(age) > CLAIM_RETENTION.as_millis()
}
