use std::time::Duration;

use smallvec::SmallVec;

use super::{ShareCounters, URGENT_OUTSTANDING};

/// The leader's record of the tokens that it has granted to waiting requests of one entry.
///
/// Each grant expires by itself, whether or not the entry reports, so that tokens which an entry cannot
/// use stop the refill for [`URGENT_OUTSTANDING`] at most; see docs/design.md, section 8.
#[derive(Debug, Default)]
pub(super) struct UrgentGrants {
    granted: u64,
    used: u64,
    returned: u64,
    /// Tokens that are reported as used or returned, or have expired; the oldest ones.
    settled: u64,
    /// Grants that have not expired, oldest first.
    parts: SmallVec<[UrgentPart; 2]>,
}

#[derive(Debug)]
struct UrgentPart {
    /// Value of `granted` after this grant.
    end: u64,
    expires_at: Duration,
}

impl UrgentGrants {
    /// Returns the total of the granted tokens.
    pub fn granted(&self) -> u64 {
        self.granted
    }

    /// Returns the granted tokens that may still be used.
    pub fn outstanding(&self) -> u64 {
        self.granted - self.settled
    }

    pub fn next_expiry(&self) -> Option<Duration> {
        self.parts.iter().map(|part| part.expires_at).min()
    }

    pub fn grant(&mut self, tokens: u64, now: Duration) {
        if tokens > 0 {
            self.granted += tokens;
            self.parts.push(UrgentPart {
                end: self.granted,
                expires_at: now + URGENT_OUTSTANDING,
            });
        }
    }

    /// Applies the counters of a report and returns the increase of the used and of the returned tokens.
    /// Outdated and invalid counters are ignored.
    pub fn apply_report(&mut self, counters: ShareCounters) -> (u64, u64) {
        let used = counters.used.max(self.used);
        let returned = counters.returned.max(self.returned);
        if used.saturating_add(returned) > self.granted {
            return (0, 0);
        }
        // Tokens that have expired count as used already, so that their late return is no credit.
        let expired = self.settled - (self.used + self.returned);
        let credit = (returned - self.returned).saturating_sub(expired);
        self.used = used;
        self.returned = returned;
        let growth = self.settle(used + returned);
        let credit = credit.min(growth);
        (growth - credit, credit)
    }

    /// Returns the tokens that expire and count as used from now on.
    pub fn expire(&mut self, now: Duration) -> u64 {
        let expired = self.parts.iter().filter(|part| part.expires_at <= now);
        let end = expired.map(|part| part.end).max().unwrap_or(0);
        self.settle(end)
    }

    /// Returns the valid tokens of which an entry that has `seen` tokens is not aware, and renews them: the
    /// entry counts their validity from the reply that it gets.
    pub fn renew_unseen(&mut self, seen: u64, now: Duration) -> u64 {
        for part in self.parts.iter_mut().filter(|part| part.end > seen) {
            part.expires_at = now + URGENT_OUTSTANDING;
        }
        self.granted.saturating_sub(seen.max(self.settled))
    }

    /// Settles the oldest tokens up to `end` and returns by how many more these are.
    fn settle(&mut self, end: u64) -> u64 {
        let growth = end.saturating_sub(self.settled);
        self.settled += growth;
        let settled = self.settled;
        self.parts.retain(|part| part.end > settled);
        growth
    }
}
