use std::time::Duration;

use super::{DemandRate, GRANT_VALIDITY, ShareGrant, ShareReport};
use crate::ids::TeamId;

/// One entry's share of one team's allowance.
///
/// The invariant is `granted = used + returned + reserved + free`, where `free` is derived.
#[derive(Debug, Default)]
pub(super) struct TeamShare {
    epoch: u64,
    granted: u64,
    used: u64,
    returned: u64,
    reserved: u64,
    valid_until: Duration,
    /// Latest `asked_at` of an applied reply.
    applied_at: Duration,
    /// Time of the first report. A reply to an earlier report may contain a grant that was used by
    /// a share of the same epoch that has been removed since.
    first_report_at: Option<Duration>,
    /// Time of the first report with the final counters. The share can be removed once this report
    /// is confirmed.
    final_report_at: Option<Duration>,
    demand: DemandRate,
    first_waiting: u64,
    all_waiting: u64,
    /// Time until which the request that has waited longest still waits.
    waits_until: Option<Duration>,
    /// Value of `urgent` in the latest report, until it is answered.
    pending_urgent: u64,
}

impl TeamShare {
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the tokens that can be reserved at `now`; 0 once the grant has expired.
    pub fn available(&self, now: Duration) -> u64 {
        if now < self.valid_until {
            self.free()
        } else {
            0
        }
    }

    pub fn reserve(&mut self, tokens: u64, now: Duration) {
        self.reserved += tokens;
        self.demand.record(tokens, now);
        self.final_report_at = None;
    }

    /// Settles a reservation of the current epoch. Use in excess of the reservation is taken from
    /// the free tokens.
    pub fn settle(&mut self, tokens: u64, used: u64) {
        self.reserved -= tokens;
        self.used += used.min(tokens + self.free());
        self.final_report_at = None;
    }

    pub fn set_waiting(&mut self, first: u64, all: u64) {
        self.first_waiting = first;
        self.all_waiting = all.max(first);
        self.final_report_at = None;
    }

    pub fn set_waits_until(&mut self, waits_until: Option<Duration>) {
        self.waits_until = waits_until;
    }

    /// Returns whether idle tokens should be returned to the leader.
    pub fn has_idle_tokens(&self, now: Duration) -> bool {
        self.has_excess(self.demand.target_tokens(now))
    }

    fn has_excess(&self, target_tokens: u64) -> bool {
        self.all_waiting == 0 && self.free() > target_tokens.saturating_mul(2)
    }

    /// Forgets that a shortage was reported.
    pub fn forget_urgent_report(&mut self) {
        self.pending_urgent = 0;
    }

    /// Returns whether a request waits for tokens.
    pub fn is_waiting(&self) -> bool {
        self.all_waiting > 0
    }

    /// Returns whether a waiting request is missing tokens that no pending report requests.
    pub fn needs_urgent_report(&self, now: Duration) -> bool {
        self.first_waiting.saturating_sub(self.available(now)) > self.pending_urgent
    }

    pub fn make_report(&mut self, team: &TeamId, is_leaving: bool, now: Duration) -> ShareReport {
        let target_tokens = if is_leaving {
            0
        } else {
            self.demand.target_tokens(now)
        };
        if is_leaving || self.has_excess(target_tokens) {
            self.return_tokens(self.free().saturating_sub(target_tokens));
        }
        let available = self.available(now);
        let missing = |tokens: u64| tokens.saturating_sub(available);
        let urgent = missing(self.first_waiting);
        let requested = missing(self.all_waiting.saturating_add(target_tokens)).max(urgent);
        // A request for at most half of the target is deferred, so that reports stay small.
        let requested = if urgent == 0 && requested <= target_tokens / 2 {
            0
        } else {
            requested
        };
        let is_idle = self.reserved == 0 && self.free() == 0 && requested == 0;
        if is_idle {
            self.final_report_at.get_or_insert(now);
        }
        self.first_report_at.get_or_insert(now);
        self.pending_urgent = urgent;
        ShareReport {
            team: team.clone(),
            epoch: self.epoch,
            granted: self.granted,
            used: self.used,
            returned: self.returned,
            requested,
            urgent,
            waits_ms: self.waits_until.filter(|_| urgent > 0).map(|until| {
                let waits = until.saturating_sub(now).as_millis();
                u32::try_from(waits).unwrap_or(u32::MAX)
            }),
        }
    }

    /// Applies the leader's grant in reply to the report made at `asked_at`. Returns whether the
    /// share can be removed.
    pub fn apply_grant(&mut self, grant: &ShareGrant, asked_at: Duration) -> bool {
        let is_current = self
            .first_report_at
            .is_some_and(|first_report_at| asked_at >= first_report_at);
        if !is_current || grant.epoch < self.epoch {
            return false;
        }
        if grant.epoch > self.epoch {
            self.start_epoch(grant.epoch);
        }
        if grant.granted > self.granted {
            self.granted = grant.granted;
            self.final_report_at = None;
        }
        self.pending_urgent = 0;
        self.valid_until = self.valid_until.max(asked_at + GRANT_VALIDITY);
        if asked_at >= self.applied_at {
            self.applied_at = asked_at;
            self.return_tokens(grant.recall.min(self.free()));
        }
        let is_confirmed = self
            .final_report_at
            .is_some_and(|final_report_at| asked_at >= final_report_at);
        is_confirmed && self.reserved == 0 && self.free() == 0
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

    fn return_tokens(&mut self, tokens: u64) {
        self.returned += tokens;
    }
}
