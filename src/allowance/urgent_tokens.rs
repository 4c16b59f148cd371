use std::time::Duration;

use smallvec::SmallVec;

use super::ShareCounters;

/// Tokens that the leader has granted to waiting requests of this entry, each grant with its own expiry.
///
/// Tokens that expire count as used. The invariant is `granted = used + returned + reserved + free`.
#[derive(Debug, Default)]
pub(super) struct UrgentTokens {
    granted: u64,
    used: u64,
    returned: u64,
    reserved: u64,
    /// Free tokens with the time until which they may be reserved.
    free: SmallVec<[(u64, Duration); 2]>,
}

impl UrgentTokens {
    /// Returns the tokens that can be reserved at `now`.
    pub fn available(&self, now: Duration) -> u64 {
        let valid = self.free.iter().filter(|(_, until)| now < *until);
        valid.map(|(tokens, _)| tokens).sum()
    }

    /// Returns whether no token is free or reserved.
    pub fn is_settled(&self) -> bool {
        self.reserved == 0 && self.free.is_empty()
    }

    pub fn counters(&self) -> ShareCounters {
        ShareCounters {
            granted: self.granted,
            used: self.used,
            returned: self.returned,
        }
    }

    /// Adds what a reply grants in excess of earlier ones, of which the newest `valid` tokens can be used.
    pub fn apply_grant(&mut self, granted: u64, valid: u64, until: Duration) {
        let added = granted.saturating_sub(self.granted);
        let valid = valid.min(added);
        self.granted += added;
        self.used += added - valid;
        if valid > 0 {
            self.free.push((valid, until));
        }
    }

    /// Counts the tokens whose validity has ended as used.
    pub fn expire(&mut self, now: Duration) {
        let used = &mut self.used;
        self.free.retain(|(tokens, until)| {
            let is_valid = now < *until;
            *used += if is_valid { 0 } else { *tokens };
            is_valid
        });
    }

    /// Reserves tokens that are available, and returns the time until which they are valid.
    pub fn reserve(&mut self, tokens: u64, now: Duration) -> Duration {
        self.expire(now);
        self.reserved += tokens;
        self.take(tokens).1
    }

    /// Settles a reservation. What is not used becomes free again while it is valid; use in excess of the
    /// reservation is taken from the free tokens.
    pub fn settle(&mut self, tokens: u64, used: u64, until: Duration) {
        self.reserved -= tokens;
        self.used += used.min(tokens);
        let (excess, _) = self.take(used.saturating_sub(tokens));
        self.used += excess;
        if tokens > used {
            self.free.insert(0, (tokens - used, until));
        }
    }

    /// Returns all free tokens to the leader.
    pub fn return_free(&mut self) {
        let free = std::mem::take(&mut self.free);
        self.returned += free.iter().map(|(tokens, _)| tokens).sum::<u64>();
    }

    /// Takes up to `tokens` free tokens, and returns their number and the end of their validity.
    fn take(&mut self, tokens: u64) -> (u64, Duration) {
        let (mut taken, mut valid_until) = (0, Duration::MAX);
        for (free, until) in &mut self.free {
            let part = (*free).min(tokens - taken);
            if part > 0 {
                valid_until = valid_until.min(*until);
            }
            taken += part;
            *free -= part;
        }
        self.free.retain(|(tokens, _)| *tokens > 0);
        (taken, valid_until)
    }
}
