use std::time::Duration;

use super::{DemandRate, GRANT_VALIDITY, ShareGrant, ShareReport};
use crate::ids::TeamId;

/// What one entry holds of one team's allowance.
///
/// `granted = used + returned + reserved + free` holds at all times; `free` is derived.
#[derive(Debug, Default)]
pub(super) struct TeamShare {
    epoch: u64,
    granted: u64,
    used: u64,
    returned: u64,
    reserved: u64,
    valid_until: Duration,
    /// Latest `asked_at` of a reply that was accepted.
    accepted_at: Duration,
    /// First report. A reply to an earlier report may carry a grant that a forgotten share of the
    /// same epoch has used.
    first_asked: Option<Duration>,
    /// First report of the final counters; the share can be forgotten once it is confirmed.
    closed_at: Option<Duration>,
    demand: DemandRate,
    first_waiting: u64,
    all_waiting: u64,
    /// `urgent` of the latest report, until it is answered.
    asked_urgent: u64,
}

impl TeamShare {
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Tokens that can be used at `now`; none once the grant has expired.
    pub fn usable(&self, now: Duration) -> u64 {
        if now < self.valid_until {
            self.free()
        } else {
            0
        }
    }

    pub fn reserve(&mut self, tokens: u64, now: Duration) {
        self.reserved += tokens;
        self.demand.record(tokens, now);
        self.closed_at = None;
    }

    /// Settles a reservation of the current epoch. Use beyond the reservation is taken from what
    /// is free.
    pub fn settle(&mut self, tokens: u64, used: u64) {
        self.reserved -= tokens;
        self.used += used.min(tokens + self.free());
        self.closed_at = None;
    }

    pub fn set_waiting(&mut self, first: u64, all: u64) {
        self.first_waiting = first;
        self.all_waiting = all.max(first);
        self.closed_at = None;
    }

    /// Tells whether a waiting request lacks tokens that no report under way asks for.
    pub fn needs_urgent_report(&self, now: Duration) -> bool {
        self.first_waiting.saturating_sub(self.usable(now)) > self.asked_urgent
    }

    pub fn make_report(&mut self, team: &TeamId, leaving: bool, now: Duration) -> ShareReport {
        let target = if leaving { 0 } else { self.demand.target(now) };
        if leaving || (self.all_waiting == 0 && self.free() > target.saturating_mul(2)) {
            self.hand_back(self.free().saturating_sub(target));
        }
        let usable = self.usable(now);
        let lacking = |tokens: u64| tokens.saturating_sub(usable);
        let urgent = lacking(self.first_waiting);
        let wanted = lacking(self.all_waiting.saturating_add(target)).max(urgent);
        // A top-up below half of the target waits, so that reports stay small.
        let wanted = if urgent == 0 && wanted <= target / 2 {
            0
        } else {
            wanted
        };
        let idle = self.reserved == 0 && self.free() == 0 && wanted == 0;
        if idle {
            self.closed_at.get_or_insert(now);
        }
        self.first_asked.get_or_insert(now);
        self.asked_urgent = urgent;
        ShareReport {
            team: team.clone(),
            epoch: self.epoch,
            granted: self.granted,
            used: self.used,
            returned: self.returned,
            requested: wanted,
            urgent,
        }
    }

    /// Applies the leader's answer to the report made at `asked_at`; tells whether the share can
    /// be forgotten.
    pub fn apply_grant(&mut self, grant: &ShareGrant, asked_at: Duration) -> bool {
        let is_own = self.first_asked.is_some_and(|first| asked_at >= first);
        if !is_own || grant.epoch < self.epoch {
            return false;
        }
        if grant.epoch > self.epoch {
            self.start_epoch(grant.epoch);
        }
        if grant.granted > self.granted {
            self.granted = grant.granted;
            self.closed_at = None;
        }
        self.asked_urgent = 0;
        self.valid_until = self.valid_until.max(asked_at + GRANT_VALIDITY);
        if asked_at >= self.accepted_at {
            self.accepted_at = asked_at;
            self.hand_back(grant.recall.min(self.free()));
        }
        let confirmed = self.closed_at.is_some_and(|closed| asked_at >= closed);
        confirmed && self.reserved == 0 && self.free() == 0
    }

    fn start_epoch(&mut self, epoch: u64) {
        self.epoch = epoch;
        self.granted = 0;
        self.used = 0;
        self.returned = 0;
        self.reserved = 0;
        self.valid_until = Duration::ZERO;
    }

    fn free(&self) -> u64 {
        self.granted - self.used - self.returned - self.reserved
    }

    fn hand_back(&mut self, tokens: u64) {
        self.returned += tokens;
    }
}
