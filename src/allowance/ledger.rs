use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

use smallvec::SmallVec;

use super::{GRANT_OUTSTANDING, RateLimit, ShareGrant, ShareReport, bucket::TeamBucket};
use crate::ids::{EntryKey, TeamId, Term};

/// Leaves 40 bits for the epochs of one term: 10,000 a second for three years.
const TERM_SHIFT: u32 = 40;

/// Largest part of a burst that is set aside for a change of leader, as a divisor.
const RESERVE_DIVISOR: u64 = 4;

/// Whether a new leader can grant at once. While grants of earlier terms may be in use, their sum
/// and the new ones must not exceed the burst, so the latter come from a part that no leader grants
/// from otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TakeoverReserve {
    /// The whole burst is granted, and a new leader waits.
    None,
    /// A part of the burst is set aside, and a new leader grants from it. The ledger is closed while
    /// earlier grants may be in use.
    Kept { is_closed: bool },
}

/// The leader's account of every team's allowance.
///
/// A ledger serves one term. A control daemon that leads again makes a new one, and it asks the
/// ledger only while its lease holds.
#[derive(Debug)]
pub struct AllowanceLedger {
    term: Term,
    last_epoch: u64,
    /// Until then, grants of earlier terms may be in use and this ledger grants nothing.
    opens_at: Duration,
    /// Part of each burst that only a new leader grants from while earlier grants may be in use.
    reserve: TakeoverReserve,
    limits: HashMap<TeamId, RateLimit>,
    teams: HashMap<TeamId, TeamBucket>,
    expiries: BinaryHeap<Reverse<(Duration, u64, TeamId, EntryKey)>>,
}

impl AllowanceLedger {
    /// Returns the ledger of a leader that was elected in `term` at `now`.
    #[must_use]
    pub fn new(term: Term, now: Duration) -> Self {
        Self {
            term,
            last_epoch: 0,
            opens_at: now + GRANT_OUTSTANDING,
            reserve: TakeoverReserve::None,
            limits: HashMap::new(),
            teams: HashMap::new(),
            expiries: BinaryHeap::new(),
        }
    }

    /// Sets a part of each burst aside, so that the leader can grant from the start of its term. All
    /// leaders of a fleet must do so or none.
    #[must_use]
    pub fn with_takeover_reserve(mut self) -> Self {
        self.reserve = TakeoverReserve::Kept { is_closed: true };
        self
    }

    /// Limit within which grants are made now.
    fn granted_limit(&self, limit: RateLimit) -> RateLimit {
        // Half a second of the rate bridges the syncs of a takeover.
        let reserve = (limit.rate / 2).min(limit.burst / RESERVE_DIVISOR);
        let burst = match self.reserve {
            TakeoverReserve::None => limit.burst,
            TakeoverReserve::Kept { is_closed: true } => reserve,
            TakeoverReserve::Kept { is_closed: false } => limit.burst - reserve,
        };
        RateLimit { burst, ..limit }
    }

    fn is_waiting(&self, now: Duration) -> bool {
        self.reserve == TakeoverReserve::None && now < self.opens_at
    }

    /// Sets a team's limit. A team that is removed gets the limit 0 and stays known, so that
    /// adding it again does not give it a second burst.
    ///
    /// A team that is new to an open ledger starts with its whole burst. While the ledger is
    /// closed, the previous leader may have granted any team its whole burst, so teams start with
    /// nothing and their refill starts when the ledger opens.
    pub fn set_limit(&mut self, team: &TeamId, limit: RateLimit, now: Duration) {
        self.limits.insert(team.clone(), limit);
        let limit = self.granted_limit(limit);
        if let Some(bucket) = self.teams.get_mut(team) {
            bucket.set_limit(limit, now);
            return;
        }
        let level = if now >= self.opens_at { limit.burst } else { 0 };
        let begun_at = if self.is_waiting(now) {
            self.opens_at
        } else {
            now
        };
        let bucket = TeamBucket::new(limit, level, begun_at);
        self.teams.insert(team.clone(), bucket);
    }

    /// Takes over an entry's reports and answers them. Each answer extends the entry's grants; a
    /// closed ledger answers nothing, so that entries spend what they still hold.
    ///
    /// The entry's last report may be given again, for example to answer a held sync when
    /// [`Self::next_answer_at`] says so.
    pub fn answer_reports(
        &mut self,
        entry: &EntryKey,
        report: &[ShareReport],
        now: Duration,
    ) -> SmallVec<[ShareGrant; 4]> {
        if self.is_waiting(now) {
            return SmallVec::new();
        }
        let mut grants = SmallVec::with_capacity(report.len());
        for report in report {
            let (term, last_epoch) = (self.term, &mut self.last_epoch);
            let mut next_epoch = || {
                *last_epoch += 1;
                (term << TERM_SHIFT) | *last_epoch
            };
            let Some(bucket) = self.teams.get_mut(&report.team) else {
                grants.push(ShareGrant {
                    team: report.team.clone(),
                    epoch: next_epoch(),
                    granted: 0,
                    recall: 0,
                });
                continue;
            };
            let known = bucket.expiry(entry).map(|(epoch, _)| epoch);
            grants.push(bucket.answer_report(entry, report, now, next_epoch));
            match bucket.expiry(entry) {
                Some((epoch, at)) if known != Some(epoch) => {
                    let expiry = (at, epoch, report.team.clone(), entry.clone());
                    self.expiries.push(Reverse(expiry));
                }
                _ => {}
            }
        }
        grants
    }

    /// Returns when a held sync with these reports should be answered, if nothing else happens.
    /// Other exchanges can make it earlier.
    #[must_use]
    pub fn next_answer_at(
        &self,
        entry: &EntryKey,
        report: &[ShareReport],
        now: Duration,
    ) -> Option<Duration> {
        if self.is_waiting(now) {
            return None;
        }
        report
            .iter()
            .filter_map(|report| self.teams.get(&report.team)?.next_answer_at(entry, now))
            .min()
    }

    /// Counts grants that have expired as used. Amortised O(log n) per grant.
    pub fn expire_grants(&mut self, now: Duration) {
        self.open(now);
        while let Some(Reverse((at, ..))) = self.expiries.peek()
            && *at <= now
        {
            let Some(Reverse((_, epoch, team, entry))) = self.expiries.pop() else {
                return;
            };
            let Some(bucket) = self.teams.get_mut(&team) else {
                continue;
            };
            bucket.refill(now);
            bucket.expire_share(&entry, now);
            match bucket.expiry(&entry) {
                Some((current, at)) if current == epoch => {
                    self.expiries.push(Reverse((at, epoch, team, entry)));
                }
                _ => {}
            }
        }
    }

    /// Grants from the whole burst but the reserve once no earlier grant can be in use.
    fn open(&mut self, now: Duration) {
        if self.reserve != (TakeoverReserve::Kept { is_closed: true }) || now < self.opens_at {
            return;
        }
        self.reserve = TakeoverReserve::Kept { is_closed: false };
        for (team, limit) in &self.limits {
            let limit = self.granted_limit(*limit);
            if let Some(bucket) = self.teams.get_mut(team) {
                bucket.set_limit(limit, now);
            }
        }
    }

    /// Returns a team's level plus its outstanding tokens, which never exceeds the burst.
    #[must_use]
    pub fn committed(&self, team: &TeamId) -> u64 {
        self.teams.get(team).map_or(0, TeamBucket::committed)
    }
}
