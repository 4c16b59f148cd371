use std::time::Duration;

use super::{GRANT_OUTSTANDING, ShareReport};

/// What the leader granted to one entry of one team's allowance in one epoch.
#[derive(Debug)]
pub(super) struct GrantedShare {
    pub epoch: u64,
    pub granted: u64,
    used: u64,
    returned: u64,
    /// Moment from which the rest counts as used.
    pub expires_at: Duration,
    pub seen_at: Duration,
    /// Tokens that the entry lacks for the request that waits longest.
    pub urgent: u64,
    pub waiting_since: Option<Duration>,
    pub recalled_at: Option<Duration>,
}

impl GrantedShare {
    pub fn new(epoch: u64, now: Duration) -> Self {
        Self {
            epoch,
            granted: 0,
            used: 0,
            returned: 0,
            expires_at: now + GRANT_OUTSTANDING,
            seen_at: now,
            urgent: 0,
            waiting_since: None,
            recalled_at: None,
        }
    }

    /// Granted and not yet known to be used or returned.
    pub fn outstanding(&self) -> u64 {
        self.granted - self.used - self.returned
    }

    /// Takes over the counters of a report and returns how many tokens more were used and returned
    /// than known. Reports of another epoch and older reports change nothing, nor do counters that
    /// no correct entry sends.
    pub fn absorb(&mut self, report: &ShareReport) -> (u64, u64) {
        let used = report.used.max(self.used);
        let returned = report.returned.max(self.returned);
        if report.epoch != self.epoch || used.saturating_add(returned) > self.granted {
            return (0, 0);
        }
        let change = (used - self.used, returned - self.returned);
        self.used = used;
        self.returned = returned;
        change
    }

    /// Tokens granted that the entry had not seen when it reported.
    pub fn unseen_by(&self, report: &ShareReport) -> u64 {
        let seen = if report.epoch == self.epoch {
            report.granted
        } else {
            0
        };
        self.granted.saturating_sub(seen)
    }

    /// Extends the validity before a reply.
    pub fn touch(&mut self, now: Duration) {
        self.seen_at = self.seen_at.max(now);
        self.expires_at = self.expires_at.max(now + GRANT_OUTSTANDING);
    }
}
