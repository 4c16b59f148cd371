use std::time::Duration;

use super::{
    GRANT_OUTSTANDING, ShareCounters, ShareReport, WAITER_TIMEOUT, urgent_grants::UrgentGrants,
};

/// Time that a grant takes to a request that waits for it, at a busy gateway. Tokens that come too late
/// are locked until they are returned.
const GRANT_TRAVEL_TIME: Duration = Duration::from_millis(60);

/// The leader's record of the tokens granted to one entry for one team in one epoch.
#[derive(Debug)]
pub(super) struct GrantedShare {
    pub epoch: u64,
    pub granted: u64,
    used: u64,
    returned: u64,
    /// Time from which the outstanding tokens count as used.
    pub expires_at: Duration,
    pub seen_at: Duration,
    /// Tokens that the entry is missing for its request that has waited longest.
    pub urgent: u64,
    /// Place in the queue of waiting requests.
    pub queued_until: Option<Duration>,
    /// Time from which a grant would come too late for that request, as far as the entry has said.
    grant_until: Option<Duration>,
    pub recalled_at: Option<Duration>,
    /// Tokens granted to waiting requests.
    pub urgent_grants: UrgentGrants,
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
            queued_until: None,
            grant_until: None,
            recalled_at: None,
            urgent_grants: UrgentGrants::default(),
        }
    }

    /// Returns the time from which tokens would come too late for the request that waits.
    pub fn waits_until(&self) -> Duration {
        self.grant_until.unwrap_or(self.seen_at + WAITER_TIMEOUT)
    }

    /// Returns whether the entry has said that the request that waits gives up before a time.
    pub fn gives_up_before(&self, time: Duration) -> bool {
        self.grant_until.is_some_and(|until| until <= time)
    }

    /// Returns the tokens granted in advance that are not known to be used or returned.
    pub fn outstanding(&self) -> u64 {
        self.granted - self.used - self.returned
    }

    /// Applies the counters of a report and returns the increase of the used and of the returned
    /// tokens among those granted in advance. Reports of another epoch, outdated reports and invalid counters are ignored.
    pub fn apply_report(&mut self, report: &ShareReport) -> (u64, u64) {
        let urgent = report.urgent_counters;
        let used = report.used.saturating_sub(urgent.used).max(self.used);
        let returned = report.returned.saturating_sub(urgent.returned);
        let returned = returned.max(self.returned);
        if report.epoch != self.epoch || used.saturating_add(returned) > self.granted {
            return (0, 0);
        }
        let growth = (used - self.used, returned - self.returned);
        self.used = used;
        self.returned = returned;
        growth
    }

    /// Returns the counters of a report about urgent grants; none of another epoch.
    pub fn urgent_counters(&self, report: &ShareReport) -> ShareCounters {
        if report.epoch == self.epoch {
            report.urgent_counters
        } else {
            ShareCounters::default()
        }
    }

    /// Records how long the request that has waited longest still waits.
    pub fn set_patience(&mut self, waits_ms: Option<u32>, now: Duration) {
        self.grant_until = waits_ms.map(|waits_ms| {
            let waits = Duration::from_millis(waits_ms.into());
            now + waits.saturating_sub(GRANT_TRAVEL_TIME.min(waits / 2))
        });
    }

    /// Returns the tokens granted in advance of which the entry was not aware when it reported.
    pub fn unseen_tokens(&self, report: &ShareReport) -> u64 {
        let seen = if report.epoch == self.epoch {
            report
                .granted
                .saturating_sub(report.urgent_counters.granted)
        } else {
            0
        };
        self.granted.saturating_sub(seen)
    }

    /// Extends the expiry. Called before a reply.
    pub fn extend_expiry(&mut self, now: Duration) {
        self.seen_at = self.seen_at.max(now);
        self.expires_at = self.expires_at.max(now + GRANT_OUTSTANDING);
    }
}
