use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::{self, Write as _},
    time::Duration,
};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::{RequestKind, answer::CallerAnswer};

/// Longest latency that a histogram tells apart, in microseconds.
const MAX_MICROS: u64 = 60_000_000;

/// Latency percentiles, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct LatencyFigures {
    /// Half of the answers took no longer.
    pub p50_ms: f64,
    /// 95 in 100 took no longer.
    pub p95_ms: f64,
    /// 99 in 100 took no longer.
    pub p99_ms: f64,
}

impl LatencyFigures {
    fn new(times: &[Duration]) -> Self {
        let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, MAX_MICROS, 3) else {
            return Self::default();
        };
        for time in times {
            let micros = u64::try_from(time.as_micros()).unwrap_or(MAX_MICROS);
            histogram.saturating_record(micros.clamp(1, MAX_MICROS));
        }
        #[allow(clippy::cast_precision_loss)] // Latencies are far below 2^52 microseconds.
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
        Self {
            p50_ms: at(0.5),
            p95_ms: at(0.95),
            p99_ms: at(0.99),
        }
    }
}

/// What one team got.
#[derive(Clone, Debug, Default, Serialize)]
pub struct TeamFigures {
    /// Requests sent.
    pub sent: u64,
    /// Whole answers.
    pub whole: u64,
    /// Whole answers within the target of their kind.
    pub attained: u64,
    /// Tokens or bytes of the whole answers.
    pub size: u64,
}

impl TeamFigures {
    /// Share of the requests that were answered in time.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn attainment(&self) -> f64 {
        if self.sent == 0 {
            1.0
        } else {
            self.attained as f64 / self.sent as f64
        }
    }
}

/// Result of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadReport {
    /// Name of the shape.
    pub shape: String,
    /// Seed of the run.
    pub seed: u64,
    /// Time in which requests were sent, in seconds.
    pub seconds: f64,
    /// Requests by kind.
    pub sent: BTreeMap<&'static str, u64>,
    /// Time to the first byte of whole answers, by kind.
    pub first_byte: BTreeMap<&'static str, LatencyFigures>,
    /// Mean time between tokens of whole streams.
    pub between_tokens: LatencyFigures,
    /// Refusals by code.
    pub refused: BTreeMap<String, u64>,
    /// Refusals that did not say "not run".
    pub may_have_run: u64,
    /// Answers that ended early.
    pub broken: u64,
    /// Complete answers to something else than was asked.
    pub wrong: u64,
    /// Reservations that were sent again after a broken answer.
    pub resent: u64,
    /// Keys of reservations whose caller got a whole answer.
    pub reserved: BTreeSet<String>,
    /// What each team got.
    pub teams: BTreeMap<usize, TeamFigures>,
    #[serde(skip)]
    times: BTreeMap<RequestKind, Vec<Duration>>,
    #[serde(skip)]
    gaps: Vec<Duration>,
}

impl LoadReport {
    /// Adds what became of a request.
    pub fn record(&mut self, team: usize, kind: RequestKind, key: &str, answer: &CallerAnswer) {
        *self.sent.entry(kind.name()).or_default() += 1;
        let figures = self.teams.entry(team).or_default();
        figures.sent += 1;
        match answer {
            CallerAnswer::Whole {
                first_byte,
                between_tokens,
                size,
            } => {
                figures.whole += 1;
                figures.size += size;
                figures.attained += u64::from(*first_byte <= kind.first_byte_target());
                self.times.entry(kind).or_default().push(*first_byte);
                self.gaps.extend(between_tokens);
                if kind == RequestKind::Reservation {
                    self.reserved.insert(key.to_owned());
                }
            }
            CallerAnswer::Refused { name, not_run } => {
                *self.refused.entry(name.clone()).or_default() += 1;
                self.may_have_run += u64::from(!not_run);
            }
            CallerAnswer::Broken => self.broken += 1,
            CallerAnswer::Wrong => self.wrong += 1,
        }
    }

    /// Works out the percentiles after the last answer.
    pub fn finish(&mut self) {
        for (kind, times) in &self.times {
            self.first_byte
                .insert(kind.name(), LatencyFigures::new(times));
        }
        self.between_tokens = LatencyFigures::new(&self.gaps);
    }

    /// Share of all requests that were answered in time.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn attainment(&self) -> f64 {
        let sent: u64 = self.teams.values().map(|team| team.sent).sum();
        let attained: u64 = self.teams.values().map(|team| team.attained).sum();
        if sent == 0 {
            1.0
        } else {
            attained as f64 / sent as f64
        }
    }

    /// Attainment of the team that fared worst, among those that stay within their rate.
    #[must_use]
    pub fn worst_team(&self, flooding: usize) -> f64 {
        let teams = self.teams.iter().filter(|(team, _)| **team != flooding);
        teams
            .map(|(_, figures)| figures.attainment())
            .fold(1.0, f64::min)
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} seed {}, {:.0} s",
            self.shape, self.seed, self.seconds
        )?;
        writeln!(
            f,
            "{:<12} {:>6} {:>9} {:>9} {:>9}",
            "kind", "sent", "p50 ms", "p95 ms", "p99 ms"
        )?;
        for (kind, sent) in &self.sent {
            let times = self.first_byte.get(kind).copied().unwrap_or_default();
            let LatencyFigures {
                p50_ms,
                p95_ms,
                p99_ms,
            } = times;
            writeln!(
                f,
                "{kind:<12} {sent:>6} {p50_ms:>9.1} {p95_ms:>9.1} {p99_ms:>9.1}"
            )?;
        }
        writeln!(
            f,
            "between tokens: p95 {:.1} ms",
            self.between_tokens.p95_ms
        )?;
        for (team, figures) in &self.teams {
            let share = figures.attainment();
            let mut bar = String::new();
            (0..40)
                .filter(|step| f64::from(*step) < share * 40.0)
                .for_each(|_| bar.push('#'));
            writeln!(
                f,
                "team {team} {:>5} sent {:>6.1}% {bar}",
                figures.sent,
                share * 100.0
            )?;
        }
        let mut refused = String::new();
        for (name, count) in &self.refused {
            write!(refused, " {name} {count}")?;
        }
        writeln!(
            f,
            "refused:{refused}; of these may have run: {}",
            self.may_have_run
        )?;
        writeln!(
            f,
            "broken {}, wrong {}, resent {}",
            self.broken, self.wrong, self.resent
        )?;
        write!(f, "attainment {:.1}%", self.attainment() * 100.0)
    }
}
