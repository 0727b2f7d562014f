//! Seals of usage windows: the counts that all holders of the duty lease report for a window.
//!
//! The store may come back from an older copy at any moment, also while a call is on its way. A seal
//! that was created for an era can then be one of two things: the one of that era, or one that was
//! written too late, with counts of the copy. To tell them apart, a seal is confirmed by a second write
//! at the version that the era answered for it, and nothing is reported before. A confirmed seal holds
//! the only counts that were ever reported for its window; one that was left unconfirmed counts only
//! in the era for which it was created.

use super::revision::era_of_version;
use super::windows::RequestCounts;
use crate::platform::{Object, PlatformError};

value! {
    /// Final counts of a window.
    pub struct Seal {
        /// Era of the store for which it was created.
        pub era: u64,
        /// Counts of the window.
        pub counts: RequestCounts,
        /// Whether a later write has shown that it was created in that era.
        pub is_confirmed: bool,
    }

    /// A seal as stored.
    #[serde(untagged)]
    pub enum StoredSeal {
        /// A seal with its era.
        Current(Seal),
        /// Counts alone, as earlier versions of this program store them.
        Plain(RequestCounts),
    }
}

impl From<StoredSeal> for Seal {
    fn from(stored: StoredSeal) -> Self {
        match stored {
            StoredSeal::Current(seal) => seal,
            // Earlier versions report these counts as soon as they are stored.
            StoredSeal::Plain(counts) => Self { era: 0, counts, is_confirmed: true },
        }
    }
}

/// What to do next with a window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SealStep {
    /// Add up the published counts and create the seal.
    Create,
    /// Read the seal.
    Read,
    /// Replace the seal of this version by the given one.
    Confirm(String, Seal),
    /// Report these counts.
    Report(RequestCounts),
    /// Leave the window unreported: what was reported for it may be lost.
    GiveUp,
}

/// Returns the first step. A window may be created in an era if no former one can have had a seal of it.
pub fn first_step(may_create: bool) -> SealStep {
    if may_create { SealStep::Create } else { SealStep::Read }
}

/// Returns the step after a seal was created; `result` has its version.
///
/// # Errors
/// Fails if the window has to be tried again from the first step.
pub fn step_after_create(
    seal: Seal,
    result: Result<String, PlatformError>,
) -> Result<SealStep, PlatformError> {
    match result {
        Ok(version) if era_of_version(&version) == Some(seal.era) => Ok(confirm(version, seal)),
        Ok(_) => Err(era_ended()),
        Err(PlatformError::Conflict | PlatformError::Unknown(_)) => Ok(SealStep::Read),
        Err(error) => Err(error),
    }
}

/// Returns the step after a seal was read.
///
/// # Errors
/// Fails if the window has to be tried again from the first step.
pub fn step_after_read(
    may_create: bool,
    result: Result<Object<StoredSeal>, PlatformError>,
) -> Result<SealStep, PlatformError> {
    let found = match result {
        Err(PlatformError::NotFound) if !may_create => return Ok(SealStep::GiveUp),
        result => result?,
    };
    let seal = Seal::from(found.spec);
    Ok(if seal.is_confirmed {
        SealStep::Report(seal.counts)
    } else if era_of_version(&found.version) == Some(seal.era) {
        confirm(found.version, seal)
    } else {
        SealStep::GiveUp
    })
}

/// Returns the step after a seal was confirmed.
///
/// # Errors
/// Fails if the window has to be tried again from the first step.
pub fn step_after_confirm(
    seal: Seal,
    result: Result<String, PlatformError>,
) -> Result<SealStep, PlatformError> {
    match era_of_version(&result?) {
        Some(era) if era == seal.era => Ok(SealStep::Report(seal.counts)),
        _ => Err(era_ended()),
    }
}

fn confirm(version: String, seal: Seal) -> SealStep {
    SealStep::Confirm(version, Seal { is_confirmed: true, ..seal })
}

fn era_ended() -> PlatformError {
    PlatformError::Unknown("the store came back from a copy while a window was sealed".to_owned())
}
