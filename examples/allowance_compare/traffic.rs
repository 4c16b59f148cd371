use std::time::Duration;

use compact_str::format_compact;
use rand::{Rng, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use waxwinglatch::{allowance::RateLimit, ids::TeamId};

/// Length of a run; faults strike in the middle.
pub const LENGTH: Duration = Duration::from_secs(120);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TeamKind {
    Steady,
    Flood,
    Small,
}

pub struct Team {
    pub id: TeamId,
    pub kind: TeamKind,
    pub limit: RateLimit,
}

#[derive(Clone, Copy)]
pub struct Arrival {
    pub at: Duration,
    pub entry: usize,
    pub team: usize,
    pub reserved: u64,
    pub used: u64,
    pub length: Duration,
}

/// Two steady teams at 75% of their rate, one at four times its rate, and 20 small teams with 2.5
/// requests a minute.
pub fn teams() -> Vec<Team> {
    let team = |name: &str, kind, rate, burst| Team {
        id: name.into(),
        kind,
        limit: RateLimit { rate, burst },
    };
    let mut teams = vec![
        team("large", TeamKind::Steady, 20_000, 100_000),
        team("medium", TeamKind::Steady, 5_000, 25_000),
        team("flood", TeamKind::Flood, 5_000, 25_000),
    ];
    teams.extend(
        (0..20).map(|index| team(&format_compact!("small-{index}"), TeamKind::Small, 50, 1200)),
    );
    teams
}

/// Requests reserve 600 tokens and use 200 to 600 within 0.5 to 3 s. `skew` is the exponent of the
/// distribution of a team's requests over the entries; 0 is even.
pub fn arrivals(teams: &[Team], entries: usize, skew: f64, seed: u64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for (index, team) in teams.iter().enumerate() {
        let per_second = match team.kind {
            TeamKind::Steady => 0.75 * team.limit.rate as f64 / 400.0,
            TeamKind::Flood => 4.0 * team.limit.rate as f64 / 400.0,
            TeamKind::Small => 2.5 / 60.0,
        };
        let mut order: Vec<usize> = (0..entries).collect();
        order.shuffle(&mut rng);
        let mut sums = Vec::with_capacity(entries);
        let mut sum = 0.0;
        for rank in 0..entries {
            sum += ((rank + 1) as f64).powf(-skew);
            sums.push(sum);
        }
        // The first seconds let every scheme fill its buckets.
        let mut at = 8.0;
        loop {
            at += -rng.random_range(f64::MIN_POSITIVE..1.0).ln() / per_second;
            if at >= LENGTH.as_secs_f64() {
                break;
            }
            let draw = rng.random_range(0.0..sum);
            arrivals.push(Arrival {
                at: Duration::from_secs_f64(at),
                entry: order[sums.partition_point(|sum| *sum <= draw).min(entries - 1)],
                team: index,
                reserved: 600,
                used: rng.random_range(200..=600),
                length: Duration::from_millis(rng.random_range(500..3000)),
            });
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}
