use std::time::Duration;

use rand::Rng;

use super::TeamShape;

/// Length of a period that is either calm or a burst.
const PERIOD: Duration = Duration::from_secs(2);
/// Share of the periods that are bursts.
const BURST_SHARE: f64 = 0.25;

/// Seeded arrival times of one team's requests: Poisson within periods that are calm or bursts,
/// with the team's rate on average.
#[derive(Debug)]
pub struct ArrivalTimes<R> {
    rng: R,
    rate: f64,
    burst: f64,
    now: Duration,
    period_ends: Duration,
    period_rate: f64,
}

impl<R: Rng> ArrivalTimes<R> {
    /// Returns the arrivals of a team.
    pub fn new(team: &TeamShape, rng: R) -> Self {
        let (rate, burst) = (team.rate, team.burst.max(1.0));
        let period_ends = Duration::ZERO;
        Self {
            rng,
            rate,
            burst,
            now: Duration::ZERO,
            period_ends,
            period_rate: rate,
        }
    }

    fn begin_period(&mut self) {
        let calm = (1.0 - BURST_SHARE * self.burst) / (1.0 - BURST_SHARE);
        let is_burst = self.rng.random_bool(BURST_SHARE);
        let factor = if is_burst { self.burst } else { calm.max(0.05) };
        self.period_rate = self.rate * factor;
        self.now = self.period_ends;
        self.period_ends += PERIOD;
    }
}

impl<R: Rng> Iterator for ArrivalTimes<R> {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        loop {
            let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
            let gap = -uniform.ln() / self.period_rate.max(1e-6);
            // The exponential distribution has no memory, so that a period may start anew.
            match self.now + Duration::from_secs_f64(gap.min(3_600.0)) {
                at if at < self.period_ends => {
                    self.now = at;
                    return Some(at);
                }
                _ => self.begin_period(),
            }
        }
    }
}
