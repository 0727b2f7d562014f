//! A prefix cache of limited size: it knows blocks of prompt words by all words before them.

use std::collections::VecDeque;

use crate::tokens::hash;

/// Words in one block.
const BLOCK_WORDS: usize = 16;

/// The blocks known, the least recently used first.
#[derive(Debug, Default)]
pub struct PrefixCache {
    blocks: VecDeque<u32>,
    limit: usize,
}

impl PrefixCache {
    /// Makes an empty cache of at most `limit` blocks.
    pub fn new(limit: usize) -> Self {
        Self { blocks: VecDeque::new(), limit }
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.blocks.clear();
    }

    /// Takes a prompt in; returns how many of its words were not known.
    pub fn admit(&mut self, prompt: &str) -> usize {
        let words: Vec<&str> = prompt.split_whitespace().collect();
        let mut known = 0;
        let mut unbroken = true;
        let mut chain = String::new();
        for block in words.chunks_exact(BLOCK_WORDS) {
            chain = format!("{:08x} {}", hash(chain.as_bytes()), block.join(" "));
            unbroken &= self.touch(hash(chain.as_bytes()));
            known += if unbroken { BLOCK_WORDS } else { 0 };
        }
        words.len() - known
    }

    /// Makes a block the most recently used one; returns whether it was known.
    fn touch(&mut self, block: u32) -> bool {
        let place = self.blocks.iter().position(|known| *known == block);
        if let Some(place) = place {
            self.blocks.remove(place);
        }
        self.blocks.push_back(block);
        if self.blocks.len() > self.limit {
            self.blocks.pop_front();
        }
        place.is_some()
    }
}
