//! Retries: how many an instance may make, and how long it waits before each.

use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::Duration;

use rand::RngExt;

/// Attempts of one request, the first included.
pub const MAX_ATTEMPTS: u32 = 3;
/// Delay before the first retry; it doubles with each further one.
const BASE_DELAY: Duration = Duration::from_millis(25);
/// Longest delay.
const MAX_DELAY: Duration = Duration::from_secs(2);
/// Credit that one retry costs; a request earns one unit, so retries are a tenth of requests.
const RETRY_COST: i64 = 10;
/// Credit at the start, so that the first failures after a start may be retried.
const INITIAL_CREDIT: i64 = 10 * RETRY_COST;
/// Largest credit, so that quiet hours don't pay for a storm of retries.
const MAX_CREDIT: i64 = 50 * RETRY_COST;

/// Retry budget of one instance; clones share it.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    credit: Arc<AtomicI64>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { credit: Arc::new(AtomicI64::new(INITIAL_CREDIT)) }
    }
}

impl RetryBudget {
    /// Notes a request, which earns credit.
    pub fn deposit(&self) {
        let _ = self.credit.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |credit| {
            Some((credit + 1).min(MAX_CREDIT))
        });
    }

    /// Takes the cost of one retry; returns false if the credit is used up.
    pub fn try_withdraw(&self) -> bool {
        let taken = self.credit.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |credit| {
            (credit >= RETRY_COST).then_some(credit - RETRY_COST)
        });
        taken.is_ok()
    }
}

/// Returns the delay before a retry: exponential, with jitter over its upper half.
pub fn backoff(retry: u32) -> Duration {
    let full = BASE_DELAY.saturating_mul(1 << retry.min(10)).min(MAX_DELAY);
    full.mul_f64(rand::rng().random_range(0.5..1.0))
}
