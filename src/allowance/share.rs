use std::{collections::HashMap, time::Duration};

use super::{ShareGrant, ShareReport, team_share::TeamShare};
use crate::ids::TeamId;

/// Names a reservation of this process.
pub type ReservationId = u64;

/// Answer to a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum ReservationOutcome {
    /// The tokens are reserved until [`AllowanceShare::settle`].
    Granted(ReservationId),
    /// The entry lacks this many tokens.
    Insufficient {
        /// Tokens beyond what the entry holds.
        missing: u64,
    },
}

#[derive(Debug)]
struct RunningReservation {
    team: TeamId,
    epoch: u64,
    tokens: u64,
}

/// An entry's share of every team's allowance.
///
/// A team costs memory only from its first waiting request until its last token is settled, handed
/// back and the leader has confirmed it.
///
/// `now` is monotonic time of this process and includes time that the process was paused. Replies
/// are matched to reports by `asked_at`, so no two reports may have the same `now`.
#[derive(Debug, Default)]
pub struct AllowanceShare {
    teams: HashMap<TeamId, TeamShare>,
    running: HashMap<ReservationId, RunningReservation>,
    last_id: ReservationId,
    leaving: bool,
}

impl AllowanceShare {
    /// Returns the share of a process that has just started, which holds nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Reserves tokens for a request that would start at `now`. The expiry of the grant is checked
    /// here and not at some earlier moment, so that a process that was paused past it uses nothing.
    ///
    /// The caller lets a request wait by [`Self::set_waiting`] or rejects it.
    pub fn reserve(&mut self, team: &TeamId, tokens: u64, now: Duration) -> ReservationOutcome {
        let Some(share) = self.teams.get_mut(team) else {
            return ReservationOutcome::Insufficient { missing: tokens };
        };
        let usable = share.usable(now);
        if usable < tokens {
            return ReservationOutcome::Insufficient {
                missing: tokens - usable,
            };
        }
        share.reserve(tokens, now);
        self.last_id += 1;
        let reservation = RunningReservation {
            team: team.clone(),
            epoch: share.epoch(),
            tokens,
        };
        self.running.insert(self.last_id, reservation);
        ReservationOutcome::Granted(self.last_id)
    }

    /// Counts `tokens` of a running reservation as used, for example the prompt when its processing
    /// starts and the output as it streams. Refill goes on for used tokens but not for reserved
    /// ones, so a team with long requests gets its rate from a smaller burst.
    pub fn consume(&mut self, reservation: ReservationId, tokens: u64) {
        let Some(running) = self.running.get_mut(&reservation) else {
            return;
        };
        match self.teams.get_mut(&running.team) {
            Some(share) if share.epoch() == running.epoch => {
                let tokens = tokens.min(running.tokens);
                running.tokens -= tokens;
                share.settle(tokens, tokens);
            }
            _ => {}
        }
    }

    /// Settles a reservation: `used` tokens are gone besides those consumed, the rest can be used
    /// again. A cancelled request settles with what it has used, or 0. An unknown reservation is ignored, as is one
    /// whose grant has expired at the leader, which has counted it as used.
    pub fn settle(&mut self, reservation: ReservationId, used: u64) {
        let Some(running) = self.running.remove(&reservation) else {
            return;
        };
        match self.teams.get_mut(&running.team) {
            Some(share) if share.epoch() == running.epoch => share.settle(running.tokens, used),
            _ => {}
        }
    }

    /// States what the requests that wait for a team's tokens need: the one waiting longest, and
    /// all together. Both are 0 when none waits any more.
    pub fn set_waiting(&mut self, team: &TeamId, first: u64, all: u64) {
        if let Some(share) = self.teams.get_mut(team) {
            share.set_waiting(first, all);
        } else if all > 0 && !self.leaving {
            let share = self.teams.entry(team.clone()).or_default();
            share.set_waiting(first, all);
        }
    }

    /// Tells whether a waiting request lacks tokens that no report under way asks for, so that the
    /// entry should send [`Self::report_short`] at once.
    #[must_use]
    pub fn needs_urgent_report(&self, team: &TeamId, now: Duration) -> bool {
        self.teams
            .get(team)
            .is_some_and(|share| share.needs_urgent_report(now))
    }

    /// Returns the reports of teams with a waiting request that lacks tokens. They go into an
    /// extra sync between the periodic ones, which stays small because it leaves out other teams.
    pub fn make_urgent_reports(&mut self, now: Duration) -> Vec<ShareReport> {
        let leaving = self.leaving;
        let short = self
            .teams
            .iter_mut()
            .filter(|(_, share)| share.needs_urgent_report(now));
        short
            .map(|(team, share)| share.make_report(team, leaving, now))
            .collect()
    }

    /// Hands everything back from the next report on, because the process is shutting down.
    pub fn begin_shutdown(&mut self) {
        self.leaving = true;
    }

    /// Returns the reports for the next sync; tokens that are idle are handed back with them.
    pub fn make_reports(&mut self, now: Duration) -> Vec<ShareReport> {
        let leaving = self.leaving;
        self.teams
            .iter_mut()
            .map(|(team, share)| share.make_report(team, leaving, now))
            .collect()
    }

    /// Applies the leader's answer to the report that was made at `asked_at`.
    pub fn apply_grants(&mut self, grants: &[ShareGrant], asked_at: Duration) {
        for grant in grants {
            let Some(share) = self.teams.get_mut(&grant.team) else {
                continue;
            };
            if share.apply_grant(grant, asked_at) {
                self.teams.remove(&grant.team);
            }
        }
    }

    /// Number of teams that cost memory at present.
    #[must_use]
    pub fn tracked_teams(&self) -> usize {
        self.teams.len()
    }
}
