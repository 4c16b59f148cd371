//! Compares ways to hold a team to its rate over all entries, with fake time.
//!
//! `cargo run --release --example allowance_compare`
// Figures for people; times are in order by construction.
#![allow(clippy::cast_precision_loss, clippy::unchecked_time_subtraction)]

mod buckets;
mod grants;
mod run;
mod scheme;
mod traffic;

use std::time::Duration;

use buckets::LocalBuckets;
use grants::{Grants, Placement};
use run::{Fault, Record, Run};
use scheme::Scheme;
use traffic::{Arrival, LENGTH, Team, TeamKind};

const SCHEMES: [&str; 4] = ["static", "leased", "owner", "built"];

fn scheme(name: &str, teams: &[Team], entries: usize) -> Box<dyn Scheme> {
    let limits = teams.iter().map(|team| team.limit).collect();
    let named = || {
        teams
            .iter()
            .map(|team| (team.id.clone(), team.limit))
            .collect()
    };
    match name {
        "static" => Box::new(LocalBuckets::new(limits, entries, entries, false)),
        "leased" => Box::new(LocalBuckets::new(limits, entries, entries, true)),
        "owner" => Box::new(Grants::new(Placement::Owner, named(), entries)),
        "built" => Box::new(Grants::new(Placement::Leader, named(), entries)),
        _ => Box::new(LocalBuckets::new(limits, entries, 1, false)),
    }
}

/// Share of the requests that the ideal admits and this scheme refuses, in percent.
fn refused(
    kind: TeamKind,
    teams: &[Team],
    arrivals: &[Arrival],
    ideal: &Record,
    record: &Record,
) -> f64 {
    let mut admitted = 0;
    let mut refused = 0;
    for (index, arrival) in arrivals.iter().enumerate() {
        if teams[arrival.team].kind == kind
            && ideal.admitted[index].is_some()
            && !record.lost[index]
        {
            admitted += 1;
            refused += u32::from(record.admitted[index].is_none());
        }
    }
    100.0 * f64::from(refused) / f64::from(admitted.max(1))
}

fn flood_tokens(teams: &[Team], arrivals: &[Arrival], record: &Record) -> u64 {
    let flood = |(index, arrival): &(usize, &Arrival)| {
        teams[arrival.team].kind == TeamKind::Flood && record.admitted[*index].is_some()
    };
    arrivals
        .iter()
        .enumerate()
        .filter(flood)
        .map(|(_, arrival)| arrival.used)
        .sum()
}

/// Tokens used beyond burst + rate x window in the worst window of any team: what a bucket of that
/// size would lack.
fn excess(teams: &[Team], arrivals: &[Arrival], record: &Record) -> f64 {
    let mut uses: Vec<(Duration, usize)> = record
        .admitted
        .iter()
        .enumerate()
        .filter_map(|(index, at)| Some(((*at)?, index)))
        .collect();
    uses.sort();
    let mut buckets: Vec<(Duration, f64)> = teams
        .iter()
        .map(|team| (Duration::ZERO, team.limit.burst as f64))
        .collect();
    let mut worst: f64 = 0.0;
    for (now, index) in uses {
        let arrival = &arrivals[index];
        let limit = teams[arrival.team].limit;
        let (at, level) = &mut buckets[arrival.team];
        *level = (*level + (now - *at).as_secs_f64() * limit.rate as f64).min(limit.burst as f64);
        *at = now;
        *level -= arrival.used as f64;
        worst = worst.max(-*level);
    }
    worst
}

fn waits(teams: &[Team], arrivals: &[Arrival], record: &Record) -> (f64, f64) {
    let mut waits: Vec<f64> = arrivals
        .iter()
        .zip(&record.admitted)
        .filter(|(arrival, _)| teams[arrival.team].kind != TeamKind::Flood)
        .filter_map(|(arrival, at)| Some(((*at)? - arrival.at).as_secs_f64() * 1000.0))
        .collect();
    waits.sort_by(f64::total_cmp);
    let mean = waits.iter().sum::<f64>() / waits.len().max(1) as f64;
    (
        mean,
        waits.get(waits.len() * 99 / 100).copied().unwrap_or(0.0),
    )
}

fn main() {
    let teams = traffic::teams();
    println!(
        "{:>7} {:>6} {:>12} {:>7} | {:>9} {:>9} {:>9} {:>7} | {:>8} {:>8} | {:>8} {:>8}",
        "entries",
        "spread",
        "fault",
        "scheme",
        "steady %",
        "small %",
        "flood x",
        "excess",
        "mean ms",
        "p99 ms",
        "msg/e/s",
        "B/e/s"
    );
    for entries in [9, 400] {
        for (spread, skew) in [("even", 0.0), ("uneven", 1.5)] {
            let arrivals = traffic::arrivals(&teams, entries, skew, 1);
            for fault in [Fault::None, Fault::TenthLost, Fault::LeaderChange] {
                let ideal = Run::new(&teams, &arrivals, entries, scheme("ideal", &teams, entries))
                    .finish(fault);
                for name in SCHEMES {
                    let record =
                        Run::new(&teams, &arrivals, entries, scheme(name, &teams, entries))
                            .finish(fault);
                    let (mean, p99) = waits(&teams, &arrivals, &record);
                    let seconds = LENGTH.as_secs_f64() * entries as f64;
                    println!(
                        "{entries:>7} {spread:>6} {:>12} {name:>7} | {:>9.2} {:>9.2} {:>9.3} {:>7.0} | {mean:>8.1} {p99:>8.1} | {:>8.2} {:>8.0}",
                        format!("{fault:?}"),
                        refused(TeamKind::Steady, &teams, &arrivals, &ideal, &record),
                        refused(TeamKind::Small, &teams, &arrivals, &ideal, &record),
                        flood_tokens(&teams, &arrivals, &record) as f64
                            / flood_tokens(&teams, &arrivals, &ideal) as f64,
                        excess(&teams, &arrivals, &record),
                        record.messages as f64 / seconds,
                        record.bytes as f64 / seconds,
                    );
                }
            }
        }
    }
}
