/// Weight of a new sample in the average.
const SAMPLE_WEIGHT: f32 = 0.05;
/// Number of samples from which on the average is used.
const MIN_SAMPLES: u32 = 10;

/// Average of a measured time at one target at the usual pace. It is learned while the target states its
/// pace, and tells the pace while it does not. Each target has its own, since times depend on its model.
#[derive(Clone, Copy, Debug, Default)]
pub struct UsualTime {
    average: f32,
    samples: u32,
}

impl UsualTime {
    /// Adds a time that was measured while work took `factor` times as long as usual.
    pub fn record(&mut self, time: f32, factor: f32) {
        self.samples = self.samples.saturating_add(1);
        let weight = match self.samples {
            1 => 1.0,
            _ => SAMPLE_WEIGHT,
        };
        self.average += (time / factor - self.average) * weight;
    }

    /// Returns how many times as long as usual a measured time is; `None` while the usual time is unknown.
    #[must_use]
    pub fn factor(&self, time: f32) -> Option<f32> {
        let is_known = self.samples >= MIN_SAMPLES && self.average > 0.0;
        is_known.then(|| time / self.average)
    }
}
