//! Decides when an instance reads the platform's store itself instead of pulling from a peer.
//!
//! Answers the thundering herd: when the store is slow or away, the state of all instances becomes
//! stale at about the same time. If all of them then called the store, it would get the more calls
//! the larger the fleet is, and could not recover. So the first instances by rank in each data
//! centre call it at once, and twice as many with each further period. An instance that hears
//! from no peer does not wait, as only its own way to the peers may have failed.

use std::time::Duration;

/// Age of the configuration proof from which the state is stale.
pub const MAX_PROOF_AGE: Duration = Duration::from_millis(1_900);
/// Number of instances of a data centre that read the store as soon as their state is stale.
const FIRST_READERS: usize = 8;
/// Time after which twice as many instances read the store.
const DOUBLING_TIME: Duration = Duration::from_millis(600);
/// Time since the last response of a peer after which an instance does not wait for the others.
const PEER_SILENCE: Duration = Duration::from_millis(1_000);
/// Time for which an instance that starts waits for a peer before it reads the store; a peer with
/// current state responds within a few round trips.
const START_WAIT: Duration = Duration::from_millis(700);

/// What an instance knows about its sources of state.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SourceState {
    /// Age of the configuration proof; `None` if there is none yet.
    pub proof_age: Option<Duration>,
    /// Time since the start of the process.
    pub uptime: Duration,
    /// Whether there is another instance that can be asked before any instance is known.
    pub has_seed: bool,
    /// Number of instances of the data centre that rank above this one.
    pub rank: usize,
    /// Time since a peer last responded, with current state or not; `None` if none has.
    pub since_response: Option<Duration>,
}

impl SourceState {
    /// Returns whether the state is too old to be passed on.
    pub fn is_stale(&self) -> bool {
        self.proof_age.is_none_or(|age| age > MAX_PROOF_AGE)
    }

    /// Returns whether the state is stale, so that this instance reads the store until a peer has
    /// newer state.
    pub fn needs_direct_read(&self) -> bool {
        match self.proof_age {
            None => !self.has_seed || self.uptime >= START_WAIT,
            Some(age) if age <= MAX_PROOF_AGE => false,
            Some(age) => {
                let is_isolated = self.since_response.is_none_or(|since| since > PEER_SILENCE);
                is_isolated || age > MAX_PROOF_AGE + read_delay(self.rank)
            }
        }
    }
}

/// Returns whether an instance of this rank reads the store as soon as a pull fails: the root of
/// the tree and its children, as the root may have failed.
pub fn is_first_reader(rank: usize) -> bool {
    rank <= FIRST_READERS
}

/// Returns how long an instance waits after its state has become stale.
fn read_delay(rank: usize) -> Duration {
    DOUBLING_TIME * (rank / FIRST_READERS).checked_ilog2().map_or(0, |doublings| doublings + 1)
}
