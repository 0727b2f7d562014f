//! Retry limits: attempts per request, the retry budget of an instance, and backoff.

use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::Duration;

use rand::RngExt;

/// Maximum attempts per request, including the first.
pub const MAX_ATTEMPTS: u32 = 3;
/// Backoff before the first retry; doubles with each further retry.
const BASE_DELAY: Duration = Duration::from_millis(25);
/// Maximum backoff.
const MAX_DELAY: Duration = Duration::from_secs(2);
/// Cost of a retry; each request deposits 1, which limits retries to a tenth of the requests.
const RETRY_COST: i64 = 10;
/// Initial credit, so that requests that fail soon after a start can be retried.
const INITIAL_CREDIT: i64 = 10 * RETRY_COST;
/// Maximum credit; limits the retries that can follow a long period without failures.
const MAX_CREDIT: i64 = 50 * RETRY_COST;

/// Retry budget of an instance; clones share the credit.
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
    /// Adds the credit earned by one request.
    pub fn deposit(&self) {
        let _ = self.credit.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |credit| {
            Some((credit + 1).min(MAX_CREDIT))
        });
    }

    /// Takes the cost of one retry; returns false if the credit is insufficient.
    pub fn try_withdraw(&self) -> bool {
        let taken = self.credit.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |credit| {
            (credit >= RETRY_COST).then_some(credit - RETRY_COST)
        });
        taken.is_ok()
    }
}

/// Returns the delay before a retry: exponential, reduced by a random jitter of up to one half.
pub fn backoff(retry: u32) -> Duration {
    let full = BASE_DELAY.saturating_mul(1 << retry.min(10)).min(MAX_DELAY);
    full.mul_f64(rand::rng().random_range(0.5..1.0))
}
