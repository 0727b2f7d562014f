//! Runs real instances as processes against stand-ins in the test's own process.

// Each test binary uses a part of the harness.
#![allow(dead_code)]

pub mod caller;
pub mod fleet;
pub mod instance;
pub mod scenario;
pub mod sheet;

use std::time::Duration;

pub use caller::Caller;
pub use fleet::{Fleet, FleetSettings};
pub use instance::Instance;
pub use sheet::Sheet;

/// Secret that instances prove to each other.
pub const FLEET_SECRET: &str = "fleet-secret-of-the-tests";
/// Secret that operators prove.
pub const ADMIN_SECRET: &str = "admin-secret-of-the-tests";
/// Longest time that a step of a test may take; far above what any step needs.
pub const STEP_BOUND: Duration = Duration::from_secs(30);
/// Time within which an urgent change must be in force on all instances.
pub const IN_FORCE_BOUND: Duration = Duration::from_secs(4);
/// Pause between two looks at a state that is waited for.
const POLL: Duration = Duration::from_millis(20);

/// Waits until a condition holds; fails the test if it does not within the bound.
pub async fn eventually<F: Future<Output = bool>>(what: &str, holds: impl Fn() -> F) {
    let wait = async {
        while !holds().await {
            tokio::time::sleep(POLL).await;
        }
    };
    if tokio::time::timeout(STEP_BOUND, wait).await.is_err() {
        panic!("not reached within {STEP_BOUND:?}: {what}");
    }
}
