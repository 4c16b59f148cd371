use std::time::Duration;

/// Rates of events by kind as exponential moving averages over the time that was counted.
#[derive(Debug)]
pub(super) struct DecayingRate<const KINDS: usize> {
    events: [f64; KINDS],
    seconds: f64,
    time_constant: f64,
    updated_at: Duration,
}

impl<const KINDS: usize> DecayingRate<KINDS> {
    /// Creates a rate without events at `now`, with the time constant in seconds.
    pub fn new(time_constant: f64, now: Duration) -> Self {
        Self {
            events: [0.0; KINDS],
            seconds: 0.0,
            time_constant,
            updated_at: now,
        }
    }

    /// Counts the time since the last update.
    pub fn count_until(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let decay = (-elapsed / self.time_constant).exp();
        for events in &mut self.events {
            *events *= decay;
        }
        self.seconds = self.seconds * decay + self.time_constant * (1.0 - decay);
        self.updated_at = self.updated_at.max(now);
    }

    /// Leaves out the time since the last update.
    pub fn skip_until(&mut self, now: Duration) {
        self.updated_at = self.updated_at.max(now);
    }

    /// Records an event.
    pub fn record(&mut self, kind: usize) {
        if let Some(events) = self.events.get_mut(kind) {
            *events += 1.0;
        }
    }

    /// Returns the counted seconds, weighted by age.
    pub fn seconds(&self) -> f64 {
        self.seconds
    }

    /// Returns the events a second of the first `kinds` kinds.
    pub fn per_second(&self, kinds: usize) -> f64 {
        let events: f64 = self.events.iter().take(kinds).sum();
        if self.seconds > 0.0 {
            events / self.seconds
        } else {
            0.0
        }
    }
}
