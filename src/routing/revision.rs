//! Revisions of the platform's store, ordered across its eras.
//!
//! When the store comes back from an older copy, its era rises, and its own revisions go back and are
//! given out again for other contents. A revision here holds both, so that each one of a later era is
//! greater than all of the eras before. A store that states no era is in era 0.

/// Low bits that hold the store's own revision; the others hold the era.
const NUMBER_BITS: u32 = 40;

/// Returns the revision that the store calls `number` in an era.
pub fn in_era(era: u64, number: u64) -> u64 {
    (era << NUMBER_BITS) | number_of(number)
}

/// Returns the era of a revision.
pub fn era_of(revision: u64) -> u64 {
    revision >> NUMBER_BITS
}

/// Returns the store's own number of a revision.
pub fn number_of(revision: u64) -> u64 {
    revision & ((1 << NUMBER_BITS) - 1)
}

/// Returns the era of an object's version, which is its revision as text.
pub fn era_of_version(version: &str) -> Option<u64> {
    version.parse().ok().map(era_of)
}
