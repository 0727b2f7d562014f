//! Reads the bodies of callers' requests within a budget of memory.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::body::Refusal;

/// Size up to which a body needs no reservation, in bytes; it is part of what a connection takes.
const SMALL_BODY_BYTES: usize = 16 << 10;
/// Unit of reservations, in bytes.
const UNIT_BYTES: usize = 1 << 10;

/// Memory that large bodies may take together.
#[derive(Debug)]
pub struct BodyBudget {
    units: Arc<Semaphore>,
    total: usize,
}

/// A body that was read completely, with its reservation of memory.
#[derive(Debug)]
pub struct Upload {
    /// The body.
    pub bytes: Bytes,
    /// Released when the request ends, as the body may be sent again.
    pub reservation: Option<OwnedSemaphorePermit>,
}

impl BodyBudget {
    /// Creates a budget of a number of bytes.
    pub fn new(bytes: usize) -> Self {
        let total = (bytes / UNIT_BYTES).clamp(1, Semaphore::MAX_PERMITS);
        Self { units: Arc::new(Semaphore::new(total)), total }
    }

    /// Extends a reservation to a number of bytes; waits until other requests release theirs. A body that
    /// is larger than the whole budget gets all of it.
    async fn extend(&self, reservation: &mut Option<OwnedSemaphorePermit>, bytes: usize) {
        let held = reservation.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        let missing = bytes.div_ceil(UNIT_BYTES).min(self.total).saturating_sub(held);
        let missing = u32::try_from(missing).unwrap_or(u32::MAX);
        // Fails only if the semaphore is closed, which it never is.
        if let Ok(more) = self.units.clone().acquire_many_owned(missing).await {
            match reservation {
                Some(held) => held.merge(more),
                None => *reservation = Some(more),
            }
        }
    }

    /// Reads a body of at most `max` bytes. A large one is read once there is memory for it.
    ///
    /// # Errors
    /// If the body is too large, its connection fails, or there is no memory for it within `max_wait`,
    /// for which `no_memory` is returned.
    pub async fn read(
        &self,
        mut body: Incoming,
        max: usize,
        max_wait: Duration,
        no_memory: Refusal,
    ) -> Result<Upload, Refusal> {
        let stated = body.size_hint().exact().map(|length| length as usize);
        if stated.is_some_and(|length| length > max) {
            return Err(Refusal::BodyTooLarge);
        }
        let mut reservation = None;
        let mut reserved = SMALL_BODY_BYTES;
        let mut bytes = BytesMut::with_capacity(stated.unwrap_or_default().min(SMALL_BODY_BYTES));
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| Refusal::BodyBroken)?;
            let Some(data) = frame.data_ref() else { continue };
            let length = bytes.len() + data.len();
            if length > max {
                return Err(Refusal::BodyTooLarge);
            }
            if length > reserved {
                reserved = stated.unwrap_or((length * 2).min(max));
                let extending = self.extend(&mut reservation, reserved);
                tokio::time::timeout(max_wait, extending).await.map_err(|_| no_memory)?;
                bytes.reserve(stated.unwrap_or(length).saturating_sub(bytes.len()));
            }
            bytes.extend_from_slice(data);
        }
        Ok(Upload { bytes: bytes.freeze(), reservation })
    }
}
