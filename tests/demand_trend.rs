//! Tests the forecast of demand. Copies that are ordered after demand has risen are ready one load
//! too late, and copies that are ordered because of random variation use memory that other models
//! need.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use waxwinglatch::coordinator::DemandTrend;

const STEP: Duration = Duration::from_millis(50);
const REQUEST_TOKENS: f64 = 1_500.0;
const HORIZON: Duration = Duration::from_secs(3);

/// Returns a trend after `seconds` of requests at a rate that depends on the time in seconds.
fn trend_of(seconds: f64, rate: impl Fn(f64) -> f64) -> (DemandTrend, Duration) {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut trend = DemandTrend::default();
    let mut now = Duration::ZERO;
    while now.as_secs_f64() < seconds {
        now += STEP;
        let requests = rate(now.as_secs_f64()) * STEP.as_secs_f64();
        let count = requests.floor() + f64::from(u8::from(rng.random_bool(requests.fract())));
        if count > 0.0 {
            trend.record(count * REQUEST_TOKENS, count, now);
        }
    }
    (trend, now)
}

/// Pattern: demand moves to another model within six seconds.
#[test]
fn rise_is_forecast_before_it_ends() {
    let (trend, now) = trend_of(3.0, |time| 10.0 * time);
    let present = 30.0 * REQUEST_TOKENS;
    assert!(
        trend.current(now) < present,
        "the average does not lag: {}",
        trend.current(now)
    );
    let forecast = trend.forecast(now, HORIZON);
    assert!(
        forecast > 1.2 * present,
        "forecast {forecast} at a demand of {present}"
    );
    assert!(
        forecast <= 2.2 * present,
        "forecast {forecast} exceeds the demand after the rise"
    );
}

/// Pattern: steady demand with random variation.
#[test]
fn steady_demand_has_no_trend() {
    for rate in [0.5, 3.0, 40.0] {
        let (trend, now) = trend_of(12.0, |_| rate);
        let (forecast, average) = (trend.forecast(now, HORIZON), trend.current(now));
        assert!(
            forecast <= 1.6 * average,
            "forecast {forecast} at {rate} requests/s and an average of {average}"
        );
    }
}

/// Pattern: the demand for a model drops.
#[test]
fn fall_is_forecast_but_not_extrapolated() {
    let (trend, now) = trend_of(8.0, |time| if time < 5.0 { 40.0 } else { 10.0 });
    let forecast = trend.forecast(now, HORIZON);
    assert!(forecast < trend.current(now));
    assert!(forecast > 0.0);
}
