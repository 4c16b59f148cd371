/// Highest figure that is accepted, in percent. A target that needs 100 times as long serves nobody, so a
/// higher figure is an error of the target.
const MAX_PERCENT: f32 = 10_000.0;
/// Lower limit of the pace, so that one implausible figure does not attract all requests of a pool.
const MIN_PACE: f32 = 0.1;

/// How long work takes at a target relative to the usual time: 1 is as usual, 2.5 is 2.5 times as long.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct WorkPace(f32);

impl WorkPace {
    /// Returns the pace that a target states in percent; `None` when the figure is not above 0, not a
    /// number or above 100 times the usual time.
    #[must_use]
    pub fn from_percent(percent: f32) -> Option<Self> {
        let is_valid = percent > 0.0 && percent <= MAX_PERCENT;
        is_valid.then(|| Self((percent / 100.0).max(MIN_PACE)))
    }

    /// Returns the factor on the usual time.
    #[must_use]
    pub fn factor(self) -> f32 {
        self.0
    }
}
