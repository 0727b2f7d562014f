//! Sets of sequence numbers, compact when they are mostly contiguous.

/// A set of sequence numbers, kept as sorted ranges that do not touch.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct SequenceSet {
    ranges: Vec<(u64, u64)>,
}

impl SequenceSet {
    /// Adds a number; returns false if it was there.
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

    /// Returns the greatest number up to which all from 1 are in the set; 0 if 1 is not.
    pub fn contiguous_up_to(&self) -> u64 {
        self.ranges.first().filter(|(first, _)| *first == 1).map_or(0, |(_, last)| *last)
    }
}
