use std::time::Duration;

/// Time constant of the averages: long enough for tens of slots of one gateway, short enough to
/// follow a lost or added data centre within a few seconds.
const TIME_CONSTANT_S: f64 = 2.0;

/// Rates of events by kind as exponential moving averages over the time that was counted.
#[derive(Debug)]
pub(super) struct DecayingRate<const KINDS: usize> {
    events: [f64; KINDS],
    seconds: f64,
    updated_at: Duration,
}

impl<const KINDS: usize> DecayingRate<KINDS> {
    /// Creates a rate without events at `now`.
    pub fn new(now: Duration) -> Self {
        Self {
            events: [0.0; KINDS],
            seconds: 0.0,
            updated_at: now,
        }
    }

    /// Counts the time since the last update.
    pub fn count_until(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let decay = (-elapsed / TIME_CONSTANT_S).exp();
        for events in &mut self.events {
            *events *= decay;
        }
        self.seconds = self.seconds * decay + TIME_CONSTANT_S * (1.0 - decay);
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
