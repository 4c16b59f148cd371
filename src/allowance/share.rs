use std::{collections::HashMap, time::Duration};

use super::{
    ShareGrant, ShareReport,
    team_share::{TeamShare, TokenSource},
};
use crate::ids::TeamId;

/// Identifies a reservation of this process.
pub type ReservationId = u64;

/// Outcome of an attempt to reserve tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum ReservationOutcome {
    /// The tokens are reserved until [`AllowanceShare::settle`].
    Granted(ReservationId),
    /// The entry does not hold enough tokens.
    Insufficient {
        /// Number of tokens by which the available ones fall short.
        missing: u64,
    },
}

#[derive(Debug)]
struct RunningReservation {
    team: TeamId,
    epoch: u64,
    tokens: u64,
    source: TokenSource,
}

/// An entry's share of every team's allowance.
///
/// A team is kept in memory from its first waiting request until its last token has been settled or
/// returned and the leader has confirmed this.
///
/// `now` is the monotonic time of this process, including the time for which the process was
/// paused. Replies are matched to reports by `asked_at`, so each report must have a different
/// `now`.
#[derive(Debug, Default)]
pub struct AllowanceShare {
    teams: HashMap<TeamId, TeamShare>,
    running: HashMap<ReservationId, RunningReservation>,
    last_id: ReservationId,
    is_leaving: bool,
}

impl AllowanceShare {
    /// Creates the share of a process that has just started, which holds no tokens.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Reserves tokens for a request that would start at `now`. The expiry of the grant is checked
    /// here and not earlier, so that a process that was paused past the expiry uses no tokens.
    ///
    /// When the tokens are insufficient, the caller either registers the request with
    /// [`Self::set_waiting`] or rejects it.
    pub fn reserve(&mut self, team: &TeamId, tokens: u64, now: Duration) -> ReservationOutcome {
        let Some(share) = self.teams.get_mut(team) else {
            return ReservationOutcome::Insufficient { missing: tokens };
        };
        let available = share.available(now);
        if available < tokens {
            return ReservationOutcome::Insufficient {
                missing: tokens - available,
            };
        }
        let source = share.reserve(tokens, now);
        self.last_id += 1;
        let reservation = RunningReservation {
            team: team.clone(),
            epoch: share.epoch(),
            tokens,
            source,
        };
        self.running.insert(self.last_id, reservation);
        ReservationOutcome::Granted(self.last_id)
    }

    /// Counts `tokens` of a running reservation as used, for example the prompt when its processing
    /// starts and the output while it streams. Used tokens are refilled but reserved ones are not,
    /// so this allows a team with long requests to reach its rate with a smaller burst.
    pub fn consume(&mut self, reservation: ReservationId, tokens: u64) {
        let Some(running) = self.running.get_mut(&reservation) else {
            return;
        };
        match self.teams.get_mut(&running.team) {
            Some(share) if share.epoch() == running.epoch => {
                let tokens = tokens.min(running.tokens);
                running.tokens -= tokens;
                share.settle(running.source, tokens, tokens);
            }
            _ => {}
        }
    }

    /// Settles a reservation: `used` tokens are counted as used in addition to the consumed ones,
    /// and the others become available again. A cancelled request is settled with the number of
    /// tokens that it has used, or 0. An unknown reservation is ignored, and so is one whose grant
    /// has expired at the leader, because the leader has counted it as used.
    pub fn settle(&mut self, reservation: ReservationId, used: u64) {
        let Some(running) = self.running.remove(&reservation) else {
            return;
        };
        match self.teams.get_mut(&running.team) {
            Some(share) if share.epoch() == running.epoch => {
                share.settle(running.source, running.tokens, used);
            }
            _ => {}
        }
    }

    /// Sets the number of tokens needed by a team's waiting requests: by the `first` one, which has
    /// waited longest, and by `all` of them. Both are 0 when no request is waiting.
    pub fn set_waiting(&mut self, team: &TeamId, first: u64, all: u64) {
        if let Some(share) = self.teams.get_mut(team) {
            share.set_waiting(first, all);
        } else if all > 0 && !self.is_leaving {
            let share = self.teams.entry(team.clone()).or_default();
            share.set_waiting(first, all);
        }
    }

    /// Sets the time until which the team's request that has waited longest still waits, so that the leader
    /// grants no tokens to a request that gives up before they arrive.
    pub fn set_waits_until(&mut self, team: &TeamId, waits_until: Option<Duration>) {
        if let Some(share) = self.teams.get_mut(team) {
            share.set_waits_until(waits_until);
        }
    }

    /// Sets the number of the team's request that has waited longest, by which the leader names it.
    pub fn set_first_request(&mut self, team: &TeamId, request: u64) {
        if let Some(share) = self.teams.get_mut(team) {
            share.set_first_request(request);
        }
    }

    /// Returns whether a waiting request is missing tokens that no pending report requests. The
    /// entry should then send [`Self::make_urgent_reports`] at once.
    #[must_use]
    pub fn needs_urgent_report(&self, team: &TeamId, now: Duration) -> bool {
        self.teams
            .get(team)
            .is_some_and(|share| share.needs_urgent_report(now))
    }

    /// Returns the reports of the teams for which [`Self::needs_urgent_report`] holds. They are
    /// sent in an additional sync between the periodic ones, which is small because it omits other
    /// teams.
    pub fn make_urgent_reports(&mut self, now: Duration) -> Vec<ShareReport> {
        let is_leaving = self.is_leaving;
        let urgent = self
            .teams
            .iter_mut()
            .filter(|(_, share)| share.needs_urgent_report(now));
        urgent
            .map(|(team, share)| share.make_report(team, is_leaving, now))
            .collect()
    }

    /// Returns whether a team holds idle tokens that its next report returns to the leader.
    #[must_use]
    pub fn has_idle_tokens(&self, team: &TeamId, now: Duration) -> bool {
        self.teams
            .get(team)
            .is_some_and(|share| share.has_idle_tokens(now))
    }

    /// Forgets that the shortages of `teams` were reported, because the report was not answered.
    pub fn forget_urgent_reports(&mut self, teams: &[TeamId]) {
        for team in teams {
            if let Some(share) = self.teams.get_mut(team) {
                share.forget_urgent_report();
            }
        }
    }

    /// Returns the reports of those `teams` without waiting requests. They request no tokens, so that
    /// no reply is needed, and tell the leader what was used: only used tokens are refilled.
    pub fn make_usage_reports(&mut self, teams: &[TeamId], now: Duration) -> Vec<ShareReport> {
        let mut reports = Vec::new();
        for team in teams {
            match self.teams.get_mut(team) {
                Some(share) if !share.is_waiting() => {
                    let report = share.make_report(team, self.is_leaving, now);
                    reports.push(ShareReport {
                        requested: 0,
                        ..report
                    });
                }
                _ => {}
            }
        }
        reports
    }

    /// Marks the process as shutting down. From the next reports on, all free tokens are returned
    /// to the leader.
    pub fn begin_shutdown(&mut self) {
        self.is_leaving = true;
    }

    /// Returns the reports for the next sync. Idle tokens are returned to the leader with them.
    pub fn make_reports(&mut self, now: Duration) -> Vec<ShareReport> {
        let is_leaving = self.is_leaving;
        self.teams
            .iter_mut()
            .map(|(team, share)| share.make_report(team, is_leaving, now))
            .collect()
    }

    /// Applies the leader's grants in reply to the reports made at `asked_at`.
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

    /// Returns the number of teams that are kept in memory.
    #[must_use]
    pub fn tracked_teams(&self) -> usize {
        self.teams.len()
    }
}
