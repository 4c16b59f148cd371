use std::time::Duration;

use super::{UsualTime, WorkPace};

/// Time for which a stated figure is trusted in full. It changes many times a second.
const TRUST_TIME: Duration = Duration::from_millis(300);
/// Maximum age of a stated figure with which a measured time shows the usual one. With 300 ms, gaps of a
/// slow period that no figure had told yet raised the usual gap, so that the slow period was not noticed.
const CALIBRATION_TIME: Duration = Duration::from_millis(50);
/// Time after which half of the difference between the stated figure and the learned pace remains.
const STATED_HALF_LIFE: Duration = Duration::from_millis(300);
/// Time without a sample after which half of the difference between the learned pace and the usual one
/// remains. A target that is avoided because of its pace gets requests again within tens of seconds.
const LEARNED_HALF_LIFE: Duration = Duration::from_secs(10);
/// Weight of a stated figure in the learned pace.
const STATED_WEIGHT: f32 = 0.2;
/// Weight of the time to a first byte in the learned pace.
const FIRST_BYTE_WEIGHT: f32 = 0.1;
/// Weight of a gap between two events in the learned pace. Streams have tens of events a second.
const GAP_WEIGHT: f32 = 0.1;
/// Limits of a single measured sample, since one long gap may have other causes.
const SAMPLE_LIMITS: (f32, f32) = (0.2, 10.0);

/// Pace of a target that states one: the stated figure while it is new, then the pace that is learned from
/// first bytes and gaps between events, then the usual pace.
#[derive(Clone, Copy, Debug)]
pub struct TargetPace {
    stated: WorkPace,
    stated_at: Duration,
    learned: f32,
    learned_at: Duration,
    usual_gap: UsualTime,
    usual_first_byte: UsualTime,
}

impl TargetPace {
    /// Returns the pace of a target that states its first figure at `now`.
    #[must_use]
    pub fn new(stated: WorkPace, now: Duration) -> Self {
        Self {
            stated,
            stated_at: now,
            learned: stated.factor(),
            learned_at: now,
            usual_gap: UsualTime::default(),
            usual_first_byte: UsualTime::default(),
        }
    }

    /// Records a stated figure.
    pub fn record_stated(&mut self, stated: WorkPace, now: Duration) {
        self.learn(stated.factor(), STATED_WEIGHT, now);
        self.stated = stated;
        self.stated_at = now;
    }

    /// Records the gap between two events of a stream in which the target had no prompts to process.
    pub fn record_gap(&mut self, gap: Duration, now: Duration) {
        let gap_ms = gap.as_secs_f32() * 1000.0;
        if self.is_stated_new(now) {
            self.usual_gap.record(gap_ms, self.stated.factor());
        } else if let Some(sample) = self.usual_gap.factor(gap_ms) {
            self.learn_measured(sample, GAP_WEIGHT, now);
        }
    }

    /// Records the time to the first byte of an answer, with the expected time at the usual pace.
    pub fn record_first_byte(&mut self, first_byte: Duration, usual_ms: f32, now: Duration) {
        if usual_ms <= 0.0 {
            return;
        }
        let ratio = first_byte.as_secs_f32() * 1000.0 / usual_ms;
        if self.is_stated_new(now) {
            self.usual_first_byte.record(ratio, self.stated.factor());
        } else if let Some(sample) = self.usual_first_byte.factor(ratio) {
            self.learn_measured(sample, FIRST_BYTE_WEIGHT, now);
        }
    }

    /// Returns the factor on the usual time that work at the target is expected to take.
    #[must_use]
    pub fn factor(&self, now: Duration) -> f32 {
        let learned = self.learned_factor(now);
        let age = now.saturating_sub(self.stated_at);
        let decay_time = age.saturating_sub(TRUST_TIME);
        learned + (self.stated.factor() - learned) * remaining_share(decay_time, STATED_HALF_LIFE)
    }

    /// Returns the factor by which the target may be late before it counts as silent. A silent target
    /// states nothing, so that its last figure may be the one before a slow period.
    #[must_use]
    pub fn silence_factor(&self, now: Duration) -> f32 {
        self.factor(now).max(self.learned)
    }

    fn is_stated_new(&self, now: Duration) -> bool {
        now.saturating_sub(self.stated_at) <= CALIBRATION_TIME
    }

    fn learned_factor(&self, now: Duration) -> f32 {
        let age = now.saturating_sub(self.learned_at);
        1.0 + (self.learned - 1.0) * remaining_share(age, LEARNED_HALF_LIFE)
    }

    fn learn_measured(&mut self, sample: f32, weight: f32, now: Duration) {
        let (min, max) = SAMPLE_LIMITS;
        self.learn(sample.clamp(min, max), weight, now);
    }

    fn learn(&mut self, sample: f32, weight: f32, now: Duration) {
        let learned = self.learned_factor(now);
        self.learned = learned + (sample - learned) * weight;
        self.learned_at = now;
    }
}

/// Returns the share of a difference that remains after some time.
fn remaining_share(time: Duration, half_life: Duration) -> f32 {
    (-time.as_secs_f32() / half_life.as_secs_f32()).exp2()
}
