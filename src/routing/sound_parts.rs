//! Prompt parts that servers have answered lately, which are not to blame for a crash.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::BootTime;
use crate::routing::choose::PromptPart;

/// Time after an answer for which its parts are not blamed: long enough for the answers of popular parts
/// to follow each other, and short, as a part may begin to crash servers that it didn't crash before.
const SOUND_TIME: Duration = Duration::from_secs(2);
/// Maximum number of parts that are remembered.
const MAX_PARTS: usize = 1_024;

/// Times of the latest answers, by part.
#[derive(Debug, Default)]
pub struct SoundParts {
    answered_at: BTreeMap<u64, BootTime>,
}

impl SoundParts {
    /// Records an answer to a request with some parts.
    pub fn record(&mut self, now: BootTime, parts: &[PromptPart]) {
        self.answered_at.extend(parts.iter().map(|part| (part.id, now)));
        if self.answered_at.len() > MAX_PARTS {
            self.purge(now);
            // Any may go: those that many requests share are recorded again soon.
            while self.answered_at.len() > MAX_PARTS {
                self.answered_at.pop_first();
            }
        }
    }

    /// Returns the parts that were not answered lately.
    pub fn without_sound(&mut self, now: BootTime, parts: &[PromptPart]) -> Vec<PromptPart> {
        self.purge(now);
        parts.iter().filter(|part| !self.answered_at.contains_key(&part.id)).copied().collect()
    }

    /// Returns the number of remembered parts.
    pub fn count(&self) -> usize {
        self.answered_at.len()
    }

    fn purge(&mut self, now: BootTime) {
        self.answered_at.retain(|_, at| now.since(*at) < SOUND_TIME);
    }
}
