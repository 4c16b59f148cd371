use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use super::{
    RateLimit, ShareGrant, ShareReport, ShareShortage, granted_share::GrantedShare,
    urgent_grants::UrgentGrants,
};
use crate::ids::EntryKey;

const NANOS_PER_SECOND: u128 = 1_000_000_000;

/// Maximum time for which refill is awaited before tokens are recalled; one hold time of a sync.
const MAX_REFILL_WAIT: Duration = Duration::from_millis(400);

/// The leader's token bucket of one team. Its invariant is `level + outstanding <= burst`.
#[derive(Debug)]
pub(super) struct TeamBucket {
    limit: RateLimit,
    level: u64,
    /// Granted tokens that may still be used, in advance and to waiting requests.
    outstanding: u64,
    /// Part of `outstanding` that was granted in advance.
    advance: u64,
    /// Maximum of `advance`, which a new leader takes for granted while grants in advance may be in use.
    advance_limit: u64,
    /// Fraction of a token left over from the last refill, in billionths of a token.
    fraction: u128,
    refilled_at: Duration,
    shares: HashMap<EntryKey, GrantedShare>,
    /// Entries with a waiting request, sorted by the time until which it waits. Small requests that have to be
    /// answered soon would otherwise give up behind large ones that can wait.
    waiters: BTreeSet<(Duration, EntryKey)>,
    urgent_total: u64,
    /// Entries with urgent grants, sorted by the time at which the first of these expires.
    urgent_expiries: BTreeSet<(Duration, EntryKey)>,
}

impl TeamBucket {
    pub fn new(limit: RateLimit, advance_limit: u64, level: u64, now: Duration) -> Self {
        Self {
            limit,
            level: level.min(limit.burst),
            outstanding: 0,
            advance: 0,
            advance_limit,
            fraction: 0,
            refilled_at: now,
            shares: HashMap::new(),
            waiters: BTreeSet::new(),
            urgent_total: 0,
            urgent_expiries: BTreeSet::new(),
        }
    }

    /// Changes the limit. A smaller burst invalidates all grants: every share gets a new epoch at
    /// its next sync, and its tokens of the old epoch count as used. Otherwise, tokens returned by
    /// requests that are running now could be admitted again in excess of the new burst.
    pub fn set_limit(&mut self, limit: RateLimit, advance_limit: u64, now: Duration) {
        self.advance_to(now);
        if limit.burst < self.limit.burst {
            self.shares.clear();
            self.waiters.clear();
            self.urgent_expiries.clear();
            self.urgent_total = 0;
            self.outstanding = 0;
            self.advance = 0;
            self.level = self.level.min(limit.burst);
        }
        self.limit = limit;
        self.advance_limit = advance_limit;
    }

    /// Expires urgent grants and refills the bucket, in the order of time.
    pub fn advance_to(&mut self, now: Duration) {
        while let Some((at, entry)) = self.urgent_expiries.first().cloned()
            && at <= now
        {
            self.refill(at);
            let expired = self.change_urgent_grants(&entry, |grants| grants.expire(at));
            self.outstanding -= expired.unwrap_or(0);
        }
        self.refill(now);
    }

    /// Changes the urgent grants of an entry, if it has a share, and updates the order of their expiry.
    fn change_urgent_grants<T>(
        &mut self,
        entry: &EntryKey,
        change: impl FnOnce(&mut UrgentGrants) -> T,
    ) -> Option<T> {
        let grants = &mut self.shares.get_mut(entry)?.urgent_grants;
        let before = grants.next_expiry();
        let result = change(grants);
        let after = grants.next_expiry();
        if before != after {
            if let Some(at) = before {
                self.urgent_expiries.remove(&(at, entry.clone()));
            }
            if let Some(at) = after {
                self.urgent_expiries.insert((at, entry.clone()));
            }
        }
        Some(result)
    }

    /// Adds the tokens earned at the rate since the last call, up to `burst - outstanding`.
    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let refill_capacity = self.refill_capacity();
        let earned = u128::from(self.limit.rate) * elapsed.as_nanos() + self.fraction;
        let tokens = u64::try_from(earned / NANOS_PER_SECOND).unwrap_or(u64::MAX);
        if tokens >= refill_capacity {
            self.level += refill_capacity;
            self.fraction = 0;
        } else {
            self.level += tokens;
            self.fraction = earned % NANOS_PER_SECOND;
        }
    }

    /// Removes the share of `entry` if it has expired. Its outstanding tokens then count as used.
    pub fn expire_share(&mut self, entry: &EntryKey, now: Duration) {
        let is_expired = |share: &GrantedShare| now >= share.expires_at;
        if self.shares.get(entry).is_some_and(is_expired) {
            self.remove(entry);
        }
    }

    /// Returns the epoch of the share of `entry` and the time at which the share expires.
    pub fn share_expiry(&self, entry: &EntryKey) -> Option<(u64, Duration)> {
        let share = self.shares.get(entry)?;
        Some((share.epoch, share.expires_at))
    }

    /// Applies a report and returns the grant. `next_epoch` returns an epoch that was never used.
    pub fn answer_report(
        &mut self,
        entry: &EntryKey,
        report: &ShareReport,
        now: Duration,
        mut next_epoch: impl FnMut() -> u64,
    ) -> ShareGrant {
        self.advance_to(now);
        self.expire_share(entry, now);
        self.remove_timed_out_waiters(now);
        let empty_grant = |epoch: u64| ShareGrant::empty(&report.team, epoch);
        if !self.shares.contains_key(entry) {
            let epoch = next_epoch();
            // A new epoch without tokens invalidates all earlier grants of the entry.
            if report.requested == 0 {
                return empty_grant(epoch);
            }
            self.shares
                .insert(entry.clone(), GrantedShare::new(epoch, now));
        }
        self.apply_report(entry, report, now);
        let Some(share) = self.shares.get(entry) else {
            return empty_grant(next_epoch());
        };
        let is_settled = share.outstanding() + share.urgent_grants.outstanding() == 0;
        if share.epoch == report.epoch && is_settled && report.requested == 0 {
            let confirmed = ShareGrant {
                granted: share.granted + share.urgent_grants.granted(),
                urgent_granted: share.urgent_grants.granted(),
                ..empty_grant(share.epoch)
            };
            self.remove(entry);
            return confirmed;
        }
        let seen = share.urgent_counters(report).granted;
        let unseen_advance = share.unseen_tokens(report);
        let unseen = self.change_urgent_grants(entry, |grants| grants.renew_unseen(seen, now));
        let unseen = unseen.unwrap_or(0);
        let urgent = self.set_urgent(entry, report.urgent.saturating_sub(unseen));
        let advance = report.requested.saturating_sub(report.urgent);
        let advance = advance.saturating_sub(unseen_advance);
        let (amount, advance) = self.grantable(entry, urgent, advance);
        self.level -= amount + advance;
        self.outstanding += amount + advance;
        self.advance += advance;
        let shortage = if report.urgent.saturating_sub(unseen) > self.limit.burst {
            Some(ShareShortage {
                request: report.request,
                wait_ms: u32::MAX,
                is_refused: true,
            })
        } else if amount >= urgent {
            self.set_urgent(entry, 0);
            None
        } else {
            Some(self.shortage(entry, report.request, now))
        };
        let valid = self.change_urgent_grants(entry, |grants| {
            grants.grant(amount, now);
            unseen + amount
        });
        let recall = self.recall_amount(entry);
        let Some(share) = self.shares.get_mut(entry) else {
            return empty_grant(next_epoch());
        };
        share.granted += advance;
        if recall > 0 {
            share.recalled_at = Some(now);
        }
        ShareGrant {
            granted: share.granted + share.urgent_grants.granted(),
            recall,
            urgent_granted: share.urgent_grants.granted(),
            urgent_valid: valid.unwrap_or(0),
            shortage,
            ..empty_grant(share.epoch)
        }
    }

    /// Returns how long the waiting request of `entry` has to wait for its tokens. It leaves the queue if
    /// that is longer than it waits, as far as the entry has said.
    fn shortage(&mut self, entry: &EntryKey, request: u64, now: Duration) -> ShareShortage {
        let mut needed = 0_u64;
        for (_, waiter) in &self.waiters {
            let share = self.shares.get(waiter);
            needed = needed.saturating_add(share.map_or(0, |share| share.urgent));
            if waiter == entry {
                break;
            }
        }
        // Tokens granted in advance are recalled for it.
        let deficit = u128::from(needed.saturating_sub(self.level + self.advance));
        let wait_ms = (deficit * 1_000).checked_div(u128::from(self.limit.rate));
        let wait_ms = wait_ms.and_then(|wait_ms| u32::try_from(wait_ms).ok());
        let wait_ms = wait_ms.unwrap_or(u32::MAX);
        let wait = Duration::from_millis(wait_ms.into());
        let share = self.shares.get(entry);
        let is_refused = share.is_some_and(|share| share.gives_up_before(now.saturating_add(wait)));
        if is_refused {
            self.set_urgent(entry, 0);
        }
        ShareShortage {
            request,
            wait_ms,
            is_refused,
        }
    }

    /// Applies the counters of a report and extends the expiry of the share.
    fn apply_report(&mut self, entry: &EntryKey, report: &ShareReport, now: Duration) {
        let Some(share) = self.shares.get_mut(entry) else {
            return;
        };
        let (used, returned) = share.apply_report(report);
        share.extend_expiry(now);
        share.set_patience(report.waits_ms, now);
        let counters = share.urgent_counters(report);
        self.advance -= used + returned;
        self.outstanding -= used + returned;
        self.level += returned;
        let urgent = self.change_urgent_grants(entry, |grants| grants.apply_report(counters));
        let (used, returned) = urgent.unwrap_or((0, 0));
        self.outstanding -= used + returned;
        self.level += returned;
    }

    /// Returns the earliest time at which an answer to `entry` would grant or recall tokens, if no
    /// other event occurs.
    pub fn next_answer_at(&self, entry: &EntryKey, now: Duration) -> Option<Duration> {
        let share = self.shares.get(entry)?;
        if share.urgent > 0 && self.is_first_waiter(entry) {
            return self.time_to_refill(share.urgent, now);
        }
        let may_recall = share
            .recalled_at
            .is_none_or(|recalled_at| now >= recalled_at + MAX_REFILL_WAIT);
        (may_recall && self.recall_amount(entry) > 0).then_some(now)
    }

    /// Returns the entry whose request gives up first, if there are tokens for it.
    pub fn due_waiter(&mut self, now: Duration) -> Option<EntryKey> {
        if self.waiters.is_empty() {
            return None;
        }
        self.advance_to(now);
        self.remove_timed_out_waiters(now);
        let (_, first) = self.waiters.first()?;
        let urgent = self.shares.get(first)?.urgent;
        (urgent <= self.level).then(|| first.clone())
    }

    /// Returns the tokens that can be granted.
    pub fn level(&self) -> u64 {
        self.level
    }

    /// Returns the granted tokens that are not known to be used or returned.
    pub fn outstanding(&self) -> u64 {
        self.outstanding
    }

    /// Returns the level plus the outstanding tokens, which never exceed the burst.
    pub fn committed(&self) -> u64 {
        self.level + self.outstanding
    }

    fn refill_capacity(&self) -> u64 {
        self.limit
            .burst
            .saturating_sub(self.level + self.outstanding)
    }

    /// Returns the number of tokens that can be granted to `entry` now, to its waiting request and in
    /// advance. The request of the fleet that gives up first is served first and completely, because
    /// parts granted to several entries could all be too small to start a request. Tokens in advance are
    /// only granted from the upper half of the burst, so that some remain for requests at other entries.
    fn grantable(&self, entry: &EntryKey, urgent: u64, advance: u64) -> (u64, u64) {
        let others_urgent = self.urgent_total - urgent;
        let can_serve = self.level >= urgent + others_urgent || self.is_first_waiter(entry);
        let urgent = match urgent {
            0 => 0,
            _ if can_serve && self.level >= urgent => urgent,
            _ => return (0, 0),
        };
        let free = self
            .level
            .saturating_sub(urgent + others_urgent)
            .saturating_sub(self.limit.burst / 2);
        let room = self.advance_limit.saturating_sub(self.advance);
        (urgent, advance.min(free).min(room))
    }

    /// Returns the number of tokens to recall from `entry`. They are needed by the request that gives up
    /// first, if it waits at another entry.
    fn recall_amount(&self, entry: &EntryKey) -> u64 {
        let Some((_, first)) = self.waiters.first() else {
            return 0;
        };
        let held = self.shares.get(entry).map_or(0, GrantedShare::outstanding);
        if first == entry || held == 0 {
            return 0;
        }
        let urgent = self.shares.get(first).map_or(0, |share| share.urgent);
        let refilled = u128::from(self.limit.rate) * MAX_REFILL_WAIT.as_nanos() / NANOS_PER_SECOND;
        let refilled = u64::try_from(refilled)
            .unwrap_or(u64::MAX)
            .min(self.refill_capacity());
        let deficit = urgent.saturating_sub(self.level);
        if deficit > refilled {
            deficit.min(held)
        } else {
            0
        }
    }

    fn time_to_refill(&self, tokens: u64, now: Duration) -> Option<Duration> {
        let deficit = tokens.saturating_sub(self.level);
        if deficit == 0 {
            return Some(now);
        }
        if deficit > self.refill_capacity() || self.limit.rate == 0 {
            return None;
        }
        let nanos = (u128::from(deficit) * NANOS_PER_SECOND).saturating_sub(self.fraction);
        let nanos = nanos.div_ceil(u128::from(self.limit.rate));
        let wait = Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX));
        Some(self.refilled_at.saturating_add(wait).max(now))
    }

    fn is_first_waiter(&self, entry: &EntryKey) -> bool {
        self.waiters
            .first()
            .is_some_and(|(_, first)| first == entry)
    }

    /// Sets the number of tokens that a waiting request of `entry` is missing. Returns the number
    /// that is taken into account.
    fn set_urgent(&mut self, entry: &EntryKey, urgent: u64) -> u64 {
        let Some(share) = self.shares.get_mut(entry) else {
            return 0;
        };
        // A request that exceeds the burst can never be granted and must not delay others.
        let urgent = if urgent > self.limit.burst { 0 } else { urgent };
        self.urgent_total = self.urgent_total - share.urgent + urgent;
        share.urgent = urgent;
        // A repeated report does not cost the place in the queue.
        let place = share.queued_until.unwrap_or(Duration::MAX);
        let place = (urgent > 0).then(|| share.waits_until().min(place));
        self.set_place(entry, place);
        urgent
    }

    /// Sets the place of an entry in the queue of waiting requests.
    fn set_place(&mut self, entry: &EntryKey, place: Option<Duration>) {
        let Some(share) = self.shares.get_mut(entry) else {
            return;
        };
        let former = std::mem::replace(&mut share.queued_until, place);
        if former == place {
            return;
        }
        if let Some(until) = former {
            self.waiters.remove(&(until, entry.clone()));
        }
        if let Some(until) = place {
            self.waiters.insert((until, entry.clone()));
        }
    }

    /// Removes the requests that have given up. Those that have said since that they wait longer go on in
    /// a later place.
    fn remove_timed_out_waiters(&mut self, now: Duration) {
        while let Some((until, first)) = self.waiters.first()
            && *until <= now
        {
            let first = first.clone();
            let waits_until = self.shares.get(&first).map(GrantedShare::waits_until);
            match waits_until {
                Some(until) if until > now => self.set_place(&first, Some(until)),
                Some(_) => {
                    self.set_urgent(&first, 0);
                }
                None => {
                    self.waiters.pop_first();
                }
            }
        }
    }

    fn remove(&mut self, entry: &EntryKey) {
        self.set_urgent(entry, 0);
        if let Some(share) = self.shares.remove(entry) {
            if let Some(at) = share.urgent_grants.next_expiry() {
                self.urgent_expiries.remove(&(at, entry.clone()));
            }
            self.advance -= share.outstanding();
            self.outstanding -= share.outstanding() + share.urgent_grants.outstanding();
        }
    }
}
