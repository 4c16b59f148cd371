use std::time::Duration;

use super::{
    DemandRate, GRANT_VALIDITY, ShareGrant, ShareReport, URGENT_VALIDITY,
    urgent_tokens::UrgentTokens,
};
use crate::ids::TeamId;

/// Grant from which tokens are reserved.
#[derive(Clone, Copy, Debug)]
pub(super) enum TokenSource {
    /// Tokens granted in advance.
    Advance,
    /// Tokens granted to a waiting request, which are valid until a time.
    Urgent { until: Duration },
}

/// One entry's share of one team's allowance: tokens granted in advance, and those granted to waiting
/// requests.
///
/// The invariant of the former is `granted = used + returned + reserved + free`, where `free` is derived.
#[derive(Debug, Default)]
pub(super) struct TeamShare {
    epoch: u64,
    granted: u64,
    used: u64,
    returned: u64,
    reserved: u64,
    valid_until: Duration,
    urgent: UrgentTokens,
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
    /// Number of that request.
    first_request: u64,
    /// Value of `urgent` in the latest report, until it is answered.
    pending_urgent: u64,
}

impl TeamShare {
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the tokens that a request can reserve at `now`.
    pub fn available(&self, now: Duration) -> u64 {
        self.available_advance(now).max(self.urgent.available(now))
    }

    /// Returns the available tokens of those granted in advance; 0 once the grant has expired.
    fn available_advance(&self, now: Duration) -> u64 {
        if now < self.valid_until {
            self.free()
        } else {
            0
        }
    }

    /// Reserves tokens that are available. Urgent ones come first, since they expire sooner.
    pub fn reserve(&mut self, tokens: u64, now: Duration) -> TokenSource {
        self.demand.record(tokens, now);
        self.final_report_at = None;
        if self.urgent.available(now) >= tokens {
            let until = self.urgent.reserve(tokens, now);
            return TokenSource::Urgent { until };
        }
        self.reserved += tokens;
        TokenSource::Advance
    }

    /// Settles a reservation of the current epoch. Use in excess of the reservation is taken from
    /// the free tokens.
    pub fn settle(&mut self, source: TokenSource, tokens: u64, used: u64) {
        self.final_report_at = None;
        match source {
            TokenSource::Urgent { until } => self.urgent.settle(tokens, used, until),
            TokenSource::Advance => {
                self.reserved -= tokens;
                self.used += used.min(tokens + self.free());
            }
        }
    }

    pub fn set_waiting(&mut self, first: u64, all: u64) {
        self.first_waiting = first;
        self.all_waiting = all.max(first);
        self.final_report_at = None;
    }

    pub fn set_waits_until(&mut self, waits_until: Option<Duration>) {
        self.waits_until = waits_until;
    }

    pub fn set_first_request(&mut self, request: u64) {
        if self.first_request != request {
            self.first_request = request;
            // The shortage of another request was reported.
            self.pending_urgent = 0;
        }
    }

    /// Returns whether idle tokens should be returned to the leader.
    pub fn has_idle_tokens(&self, now: Duration) -> bool {
        let has_urgent = self.all_waiting == 0 && self.urgent.available(now) > 0;
        has_urgent || self.has_excess(self.demand.target_tokens(now))
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
        self.missing_tokens(now) > self.pending_urgent
    }

    /// Returns the tokens that the request which has waited longest is missing.
    fn missing_tokens(&self, now: Duration) -> u64 {
        if self.available_advance(now) >= self.first_waiting {
            return 0;
        }
        self.first_waiting
            .saturating_sub(self.urgent.available(now))
    }

    pub fn make_report(&mut self, team: &TeamId, is_leaving: bool, now: Duration) -> ShareReport {
        let target_tokens = if is_leaving {
            0
        } else {
            self.demand.target_tokens(now)
        };
        self.urgent.expire(now);
        let urgent = self.missing_tokens(now);
        if is_leaving || self.has_excess(target_tokens) {
            self.return_tokens(self.free().saturating_sub(target_tokens));
        } else if urgent > 0 {
            // Too few for the request that waits, these would only be missing elsewhere.
            self.return_tokens(self.free());
        }
        if is_leaving || self.all_waiting == 0 {
            self.urgent.return_free();
        }
        let (covered, available) = match urgent {
            0 => (0, self.available_advance(now) + self.urgent.available(now)),
            _ => (self.first_waiting, 0),
        };
        let advance = (self.all_waiting - covered)
            .saturating_add(target_tokens)
            .saturating_sub(available);
        let requested = urgent + advance;
        // A request for at most half of the target is deferred, so that reports stay small.
        let requested = if urgent == 0 && requested <= target_tokens / 2 {
            0
        } else {
            requested
        };
        let is_idle = self.is_settled() && requested == 0;
        if is_idle {
            self.final_report_at.get_or_insert(now);
        }
        self.first_report_at.get_or_insert(now);
        self.pending_urgent = urgent;
        let counters = self.urgent.counters();
        ShareReport {
            team: team.clone(),
            epoch: self.epoch,
            granted: self.granted + counters.granted,
            used: self.used + counters.used,
            returned: self.returned + counters.returned,
            requested,
            urgent,
            waits_ms: self.waits_until.filter(|_| urgent > 0).map(|until| {
                let waits = until.saturating_sub(now).as_millis();
                u32::try_from(waits).unwrap_or(u32::MAX)
            }),
            request: self.first_request,
            urgent_counters: counters,
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
        let granted = grant.granted.saturating_sub(grant.urgent_granted);
        if granted > self.granted {
            self.granted = granted;
            self.final_report_at = None;
        }
        let held = Duration::from_millis(grant.held_ms.into());
        let urgent_until = asked_at + held + URGENT_VALIDITY;
        if grant.urgent_granted > self.urgent.counters().granted {
            self.final_report_at = None;
        }
        self.urgent
            .apply_grant(grant.urgent_granted, grant.urgent_valid, urgent_until);
        self.pending_urgent = 0;
        self.valid_until = self.valid_until.max(asked_at + GRANT_VALIDITY);
        if asked_at >= self.applied_at {
            self.applied_at = asked_at;
            self.return_tokens(grant.recall.min(self.free()));
        }
        let is_confirmed = self
            .final_report_at
            .is_some_and(|final_report_at| asked_at >= final_report_at);
        is_confirmed && self.is_settled()
    }

    /// Returns whether no token is free or reserved.
    fn is_settled(&self) -> bool {
        self.reserved == 0 && self.free() == 0 && self.urgent.is_settled()
    }

    fn start_epoch(&mut self, epoch: u64) {
        self.epoch = epoch;
        self.granted = 0;
        self.used = 0;
        self.returned = 0;
        self.reserved = 0;
        self.valid_until = Duration::ZERO;
        self.urgent = UrgentTokens::default();
    }

    fn free(&self) -> u64 {
        self.granted - self.used - self.returned - self.reserved
    }

    fn return_tokens(&mut self, tokens: u64) {
        self.returned += tokens;
    }
}
