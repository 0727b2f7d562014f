//! A value that readers see as it was some time ago.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// The history of a value, as long as the lag needs it.
#[derive(Debug)]
pub struct Lagged<T> {
    history: VecDeque<(Instant, T)>,
    lag: Duration,
}

impl<T: Clone> Lagged<T> {
    /// Makes a history that starts with a value.
    pub fn new(value: T, lag: Duration) -> Self {
        Self { history: VecDeque::from([(Instant::now(), value)]), lag }
    }

    /// Changes how far readers are behind.
    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Sets the current value.
    pub fn push(&mut self, value: T) {
        let now = Instant::now();
        self.history.push_back((now, value));
        while self.history.get(1).is_some_and(|(at, _)| *at + self.lag <= now) {
            self.history.pop_front();
        }
    }

    /// Returns the current value.
    pub fn current(&self) -> T {
        self.history.back().map(|(_, value)| value.clone()).expect("a history is never empty")
    }

    /// Returns the value as readers see it, and its age.
    pub fn read(&self) -> (T, Duration) {
        let now = Instant::now();
        let seen = self.history.iter().rev().find(|(at, _)| *at + self.lag <= now);
        let (at, value) = seen.or_else(|| self.history.front()).expect("a history is never empty");
        (value.clone(), self.lag.min(now - *at))
    }
}
