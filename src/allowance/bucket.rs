use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use super::{RateLimit, ShareGrant, ShareReport, WAITER_TIMEOUT, granted_share::GrantedShare};
use crate::ids::EntryKey;

const NANOS_PER_SECOND: u128 = 1_000_000_000;

/// A deficit that refill covers within this time needs no recall; one hold time of a sync.
const REFILL_PATIENCE: Duration = Duration::from_millis(400);

/// The leader's bucket of one team. It keeps `level + outstanding <= burst`.
#[derive(Debug)]
pub(super) struct TeamBucket {
    limit: RateLimit,
    level: u64,
    outstanding: u64,
    /// Fraction of a token, in tokens times nanoseconds a second.
    fraction: u128,
    refilled_at: Duration,
    shares: HashMap<EntryKey, GrantedShare>,
    /// Entries with a waiting request, longest first.
    waiters: BTreeSet<(Duration, EntryKey)>,
    urgent_total: u64,
}

impl TeamBucket {
    pub fn new(limit: RateLimit, level: u64, now: Duration) -> Self {
        Self {
            limit,
            level: level.min(limit.burst),
            outstanding: 0,
            fraction: 0,
            refilled_at: now,
            shares: HashMap::new(),
            waiters: BTreeSet::new(),
            urgent_total: 0,
        }
    }

    /// Changes the limit. A smaller burst voids what was granted: every share gets a new epoch at
    /// its next sync, and what it held in the old one counts as used from now on. Otherwise tokens
    /// returned by requests that run at this moment could be admitted again beyond the new burst.
    pub fn set_limit(&mut self, limit: RateLimit, now: Duration) {
        self.refill(now);
        if limit.burst < self.limit.burst {
            self.shares.clear();
            self.waiters.clear();
            self.urgent_total = 0;
            self.outstanding = 0;
            self.level = self.level.min(limit.burst);
        }
        self.limit = limit;
    }

    /// Adds what the rate allows since the last call, up to `burst - outstanding`.
    pub fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let room = self.room();
        let earned = u128::from(self.limit.rate) * elapsed.as_nanos() + self.fraction;
        let tokens = u64::try_from(earned / NANOS_PER_SECOND).unwrap_or(u64::MAX);
        if tokens >= room {
            self.level += room;
            self.fraction = 0;
        } else {
            self.level += tokens;
            self.fraction = earned % NANOS_PER_SECOND;
        }
    }

    /// Drops the share of `entry` if it has expired. The whole rest then counts as used.
    pub fn expire_share(&mut self, entry: &EntryKey, now: Duration) {
        let is_expired = |share: &GrantedShare| now >= share.expires_at;
        if self.shares.get(entry).is_some_and(is_expired) {
            self.remove(entry);
        }
    }

    /// Returns the epoch of the share of `entry` and when it expires.
    pub fn expiry(&self, entry: &EntryKey) -> Option<(u64, Duration)> {
        let share = self.shares.get(entry)?;
        Some((share.epoch, share.expires_at))
    }

    /// Takes over a report and answers it. `next_epoch` yields an epoch that was never used.
    pub fn answer_report(
        &mut self,
        entry: &EntryKey,
        report: &ShareReport,
        now: Duration,
        mut next_epoch: impl FnMut() -> u64,
    ) -> ShareGrant {
        self.refill(now);
        self.expire_share(entry, now);
        self.drop_silent_waiters(now);
        let answer = |epoch: u64, granted: u64, recall: u64| ShareGrant {
            team: report.team.clone(),
            epoch,
            granted,
            recall,
        };
        if !self.shares.contains_key(entry) {
            let epoch = next_epoch();
            // A fresh epoch without a share tells the entry that it holds nothing.
            if report.requested == 0 {
                return answer(epoch, 0, 0);
            }
            self.shares
                .insert(entry.clone(), GrantedShare::new(epoch, now));
        }
        let Some(share) = self.shares.get_mut(entry) else {
            return answer(next_epoch(), 0, 0);
        };
        let (used, returned) = share.absorb(report);
        share.touch(now);
        self.outstanding -= used + returned;
        self.level += returned;
        if share.epoch == report.epoch && share.outstanding() == 0 && report.requested == 0 {
            let confirmed = answer(share.epoch, share.granted, 0);
            self.remove(entry);
            return confirmed;
        }
        let unseen = share.unseen_by(report);
        let urgent = self.set_urgent(entry, report.urgent.saturating_sub(unseen), now);
        let amount = self.affordable(entry, urgent, report.requested.saturating_sub(unseen));
        self.level -= amount;
        self.outstanding += amount;
        if amount >= urgent {
            self.set_urgent(entry, 0, now);
        }
        let recall = self.recall_from(entry);
        let Some(share) = self.shares.get_mut(entry) else {
            return answer(next_epoch(), 0, 0);
        };
        share.granted += amount;
        if recall > 0 {
            share.recalled_at = Some(now);
        }
        answer(share.epoch, share.granted, recall)
    }

    /// Returns when an answer to `entry` would bring it something, if nothing else happens.
    pub fn next_answer_at(&self, entry: &EntryKey, now: Duration) -> Option<Duration> {
        let share = self.shares.get(entry)?;
        if share.urgent > 0 && self.is_first(entry) {
            return self.time_to_refill(share.urgent, now);
        }
        let is_rested = share
            .recalled_at
            .is_none_or(|recalled| now >= recalled + REFILL_PATIENCE);
        (is_rested && self.recall_from(entry) > 0).then_some(now)
    }

    /// Level plus outstanding, which never exceeds the burst.
    pub fn committed(&self) -> u64 {
        self.level + self.outstanding
    }

    fn room(&self) -> u64 {
        self.limit
            .burst
            .saturating_sub(self.level + self.outstanding)
    }

    /// What `entry` gets now. The request that waits longest anywhere is served first and as a
    /// whole: parts given to several entries could each be too small to start anything. Tokens in
    /// advance come only from the upper half of the burst, so that requests at other entries find
    /// some.
    fn affordable(&self, entry: &EntryKey, urgent: u64, wanted: u64) -> u64 {
        let others = self.urgent_total - urgent;
        let is_covered = self.level >= urgent + others || self.is_first(entry);
        let urgent = match urgent {
            0 => 0,
            _ if is_covered && self.level >= urgent => urgent,
            _ => return 0,
        };
        let spare = self
            .level
            .saturating_sub(urgent + others)
            .saturating_sub(self.limit.burst / 2);
        urgent + spare.min(wanted.saturating_sub(urgent))
    }

    /// How much of the tokens of `entry` is needed for the request that waits longest elsewhere.
    fn recall_from(&self, entry: &EntryKey) -> u64 {
        let Some((_, first)) = self.waiters.first() else {
            return 0;
        };
        let held = self.shares.get(entry).map_or(0, GrantedShare::outstanding);
        if first == entry || held == 0 {
            return 0;
        }
        let urgent = self.shares.get(first).map_or(0, |share| share.urgent);
        let soon = u128::from(self.limit.rate) * REFILL_PATIENCE.as_nanos() / NANOS_PER_SECOND;
        let soon = u64::try_from(soon).unwrap_or(u64::MAX).min(self.room());
        let deficit = urgent.saturating_sub(self.level);
        if deficit > soon { deficit.min(held) } else { 0 }
    }

    fn time_to_refill(&self, tokens: u64, now: Duration) -> Option<Duration> {
        let deficit = tokens.saturating_sub(self.level);
        if deficit == 0 {
            return Some(now);
        }
        if deficit > self.room() || self.limit.rate == 0 {
            return None;
        }
        let nanos = (u128::from(deficit) * NANOS_PER_SECOND).saturating_sub(self.fraction);
        let nanos = nanos.div_ceil(u128::from(self.limit.rate));
        let wait = Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX));
        Some(self.refilled_at.saturating_add(wait).max(now))
    }

    fn is_first(&self, entry: &EntryKey) -> bool {
        self.waiters
            .first()
            .is_some_and(|(_, first)| first == entry)
    }

    /// Records what a waiting request of `entry` lacks and returns what is taken into account.
    fn set_urgent(&mut self, entry: &EntryKey, urgent: u64, now: Duration) -> u64 {
        let Some(share) = self.shares.get_mut(entry) else {
            return 0;
        };
        // A request beyond the burst can never be granted and must not hold up others.
        let urgent = if urgent > self.limit.burst { 0 } else { urgent };
        self.urgent_total = self.urgent_total - share.urgent + urgent;
        share.urgent = urgent;
        match (urgent, share.waiting_since) {
            (0, Some(since)) => {
                share.waiting_since = None;
                self.waiters.remove(&(since, entry.clone()));
            }
            (1.., None) => {
                share.waiting_since = Some(now);
                self.waiters.insert((now, entry.clone()));
            }
            _ => {}
        }
        urgent
    }

    fn drop_silent_waiters(&mut self, now: Duration) {
        while let Some((_, first)) = self.waiters.first() {
            let seen_at = self.shares.get(first).map(|share| share.seen_at);
            if seen_at.is_some_and(|seen| now < seen + WAITER_TIMEOUT) {
                return;
            }
            let silent = first.clone();
            self.set_urgent(&silent, 0, now);
        }
    }

    fn remove(&mut self, entry: &EntryKey) {
        self.set_urgent(entry, 0, Duration::ZERO);
        if let Some(share) = self.shares.remove(entry) {
            self.outstanding -= share.outstanding();
        }
    }
}
