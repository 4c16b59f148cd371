//! Guards how demand is seen ahead of a load: copies that are ordered once demand has risen come a
//! load too late, and copies for what is only chance take engines from others.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use waxwinglatch::coordinator::DemandTrend;

const STEP: Duration = Duration::from_millis(50);
const REQUEST_TOKENS: f64 = 1_500.0;
const HORIZON: Duration = Duration::from_secs(3);

/// Feeds a trend with requests at a rate that depends on the time in seconds.
fn fed(seconds: f64, rate: impl Fn(f64) -> f64) -> (DemandTrend, Duration) {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut trend = DemandTrend::default();
    let mut now = Duration::ZERO;
    while now.as_secs_f64() < seconds {
        now += STEP;
        let requests = rate(now.as_secs_f64()) * STEP.as_secs_f64();
        let whole = requests.floor() + f64::from(u8::from(rng.random_bool(requests.fract())));
        if whole > 0.0 {
            trend.record(whole * REQUEST_TOKENS, whole, now);
        }
    }
    (trend, now)
}

/// Pattern: demand moves to another model within six seconds.
#[test]
fn a_rise_is_seen_before_it_ends() {
    let (trend, now) = fed(3.0, |time| 10.0 * time);
    let present = 30.0 * REQUEST_TOKENS;
    assert!(
        trend.current(now) < present,
        "the average lags: {}",
        trend.current(now)
    );
    let ahead = trend.forecast(now, HORIZON);
    assert!(ahead > 1.2 * present, "{ahead} of {present} now");
    assert!(
        ahead <= 2.2 * present,
        "{ahead} is beyond what the rise leads to"
    );
}

/// Pattern: steady demand with chance in it.
#[test]
fn steady_demand_has_no_trend() {
    for rate in [0.5, 3.0, 40.0] {
        let (trend, now) = fed(12.0, |_| rate);
        let (ahead, average) = (trend.forecast(now, HORIZON), trend.current(now));
        assert!(
            ahead <= 1.6 * average,
            "{rate} a second: {ahead} of {average}"
        );
    }
}

/// Pattern: demand leaves a model.
#[test]
fn a_fall_frees_copies_and_is_not_continued() {
    let (trend, now) = fed(8.0, |time| if time < 5.0 { 40.0 } else { 10.0 });
    let ahead = trend.forecast(now, HORIZON);
    assert!(ahead < trend.current(now));
    assert!(ahead > 0.0);
}
