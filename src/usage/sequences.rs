//! Sets of sequence numbers, stored compactly if they are mostly contiguous.

/// A set of sequence numbers, stored as sorted, non-adjacent inclusive ranges.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct SequenceSet {
    ranges: Vec<(u64, u64)>,
}

impl SequenceSet {
    /// Adds a number; returns `false` if it was already present.
    pub fn insert(&mut self, sequence: u64) -> bool {
        let at = self.ranges.partition_point(|(_, last)| *last < sequence);
        if self.ranges.get(at).is_some_and(|(first, _)| *first <= sequence) {
            return false;
        }
        let joins_left = at > 0 && self.ranges[at - 1].1 + 1 == sequence;
        let joins_right = self.ranges.get(at).is_some_and(|(first, _)| sequence + 1 == *first);
        match (joins_left, joins_right) {
            (true, true) => {
                self.ranges[at - 1].1 = self.ranges[at].1;
                self.ranges.remove(at);
            }
            (true, false) => self.ranges[at - 1].1 = sequence,
            (false, true) => self.ranges[at].0 = sequence,
            (false, false) => self.ranges.insert(at, (sequence, sequence)),
        }
        true
    }

    /// Returns whether a number is in the set.
    pub fn contains(&self, sequence: u64) -> bool {
        let at = self.ranges.partition_point(|(_, last)| *last < sequence);
        self.ranges.get(at).is_some_and(|(first, _)| *first <= sequence)
    }

    /// Returns the largest `n` such that the set contains all of `1..=n`, or 0.
    pub fn contiguous_up_to(&self) -> u64 {
        self.ranges.first().filter(|(first, _)| *first == 1).map_or(0, |(_, last)| *last)
    }
}
