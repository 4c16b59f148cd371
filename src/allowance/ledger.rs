use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

use smallvec::SmallVec;

use super::{
    GRANT_OUTSTANDING, RateLimit, ShareGrant, ShareReport, URGENT_OUTSTANDING, bucket::TeamBucket,
};
use crate::ids::{EntryKey, TeamId, Term};

/// Position of the term in an epoch. 40 bits remain for the epochs of one term, which is enough for
/// 10,000 per second over three years.
const TERM_SHIFT: u32 = 40;

/// Divisor of the burst that gives the maximum reserve for a change of leader.
const RESERVE_DIVISOR: u64 = 4;

/// Whether a new leader can grant tokens at once. While grants of earlier terms may be in use, the
/// sum of these and the new grants must not exceed the burst. The new grants are therefore made
/// from a reserve that is not granted from at any other time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TakeoverReserve {
    /// There is no reserve. The whole burst can be granted, and a new leader waits until earlier
    /// grants to waiting requests have expired.
    None,
    /// A part of the burst is reserved, from which a new leader grants until then.
    Kept,
}

/// Which grants of earlier terms may be in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LedgerPhase {
    /// Any.
    Closed,
    /// Only grants in advance, which are limited to a part of the burst. No others are made before these
    /// have expired, since the next leader takes one such part for granted.
    WithoutAdvance,
    /// None.
    Open,
}

/// The leader's record of every team's allowance.
///
/// A ledger belongs to one term. A daemon that becomes leader again creates a new one, and uses it
/// only while its lease is valid.
#[derive(Debug)]
pub struct AllowanceLedger {
    term: Term,
    last_epoch: u64,
    elected_at: Duration,
    phase: LedgerPhase,
    /// Reserve of each burst from which a new leader grants while it is closed.
    reserve: TakeoverReserve,
    limits: HashMap<TeamId, RateLimit>,
    teams: HashMap<TeamId, TeamBucket>,
    expiries: BinaryHeap<Reverse<(Duration, u64, TeamId, EntryKey)>>,
}

impl AllowanceLedger {
    /// Creates the ledger of a leader that was elected in `term` at `now`.
    #[must_use]
    pub fn new(term: Term, now: Duration) -> Self {
        Self {
            term,
            last_epoch: 0,
            elected_at: now,
            phase: LedgerPhase::Closed,
            reserve: TakeoverReserve::None,
            limits: HashMap::new(),
            teams: HashMap::new(),
            expiries: BinaryHeap::new(),
        }
    }

    /// Reserves a part of each burst, so that the leader can grant from the start of its term.
    /// Either all leaders of a fleet must do this or none.
    #[must_use]
    pub fn with_takeover_reserve(mut self) -> Self {
        self.reserve = TakeoverReserve::Kept;
        self
    }

    /// Returns the part of a limit from which grants are made at present, and the part of it that may be
    /// granted in advance.
    fn effective_limit(&self, limit: RateLimit) -> (RateLimit, u64) {
        // Half a second of the rate covers the syncs during a takeover.
        let reserve = (limit.rate / 2).min(limit.burst / RESERVE_DIVISOR);
        let advance_limit = match self.reserve {
            TakeoverReserve::None => limit.burst / 2,
            TakeoverReserve::Kept => reserve,
        };
        let burst = match (self.reserve, self.phase) {
            (TakeoverReserve::Kept, LedgerPhase::Closed) => reserve,
            (TakeoverReserve::Kept, _) => limit.burst - reserve,
            (TakeoverReserve::None, LedgerPhase::Open) => limit.burst,
            (TakeoverReserve::None, _) => limit.burst - advance_limit,
        };
        let advance_limit = match self.phase {
            LedgerPhase::Open => advance_limit,
            LedgerPhase::Closed | LedgerPhase::WithoutAdvance => 0,
        };
        (RateLimit { burst, ..limit }, advance_limit)
    }

    fn grants_nothing(&self, now: Duration) -> bool {
        self.reserve == TakeoverReserve::None && now < self.elected_at + URGENT_OUTSTANDING
    }

    /// Sets a team's limit. A removed team must be set to the limit 0 and stays in the ledger, so
    /// that adding it again does not grant a second burst.
    ///
    /// A team that is new to an open ledger starts with its whole burst. Before, the previous leader may
    /// have granted any team its whole burst. Teams then start without tokens. Their refill starts at
    /// once from the reserve, or once earlier grants to waiting requests have expired if there is none.
    pub fn set_limit(&mut self, team: &TeamId, limit: RateLimit, now: Duration) {
        self.change_phase(now);
        self.limits.insert(team.clone(), limit);
        let (limit, advance_limit) = self.effective_limit(limit);
        if let Some(bucket) = self.teams.get_mut(team) {
            bucket.set_limit(limit, advance_limit, now);
            return;
        }
        let level = match self.phase {
            LedgerPhase::Open => limit.burst,
            LedgerPhase::Closed | LedgerPhase::WithoutAdvance => 0,
        };
        let refilled_at = if self.grants_nothing(now) {
            self.elected_at + URGENT_OUTSTANDING
        } else {
            now
        };
        let bucket = TeamBucket::new(limit, advance_limit, level, refilled_at);
        self.teams.insert(team.clone(), bucket);
    }

    /// Returns whether a limit was set, be it 0.
    #[must_use]
    pub fn has_limit(&self, team: &TeamId) -> bool {
        self.limits.contains_key(team)
    }

    /// Applies an entry's reports and returns the grants. Each grant extends the validity of the
    /// entry's tokens. A closed ledger without a reserve returns no grants, so that entries use the
    /// tokens that they still hold.
    ///
    /// The entry's last reports may be passed again, for example to answer a held sync at
    /// [`Self::next_answer_at`].
    pub fn answer_reports(
        &mut self,
        entry: &EntryKey,
        reports: &[ShareReport],
        now: Duration,
    ) -> SmallVec<[ShareGrant; 4]> {
        if self.grants_nothing(now) {
            return SmallVec::new();
        }
        self.change_phase(now);
        let mut grants = SmallVec::with_capacity(reports.len());
        for report in reports {
            let (term, last_epoch) = (self.term, &mut self.last_epoch);
            let mut next_epoch = || {
                *last_epoch += 1;
                (term << TERM_SHIFT) | *last_epoch
            };
            let Some(bucket) = self.teams.get_mut(&report.team) else {
                grants.push(ShareGrant::empty(&report.team, next_epoch()));
                continue;
            };
            let known = bucket.share_expiry(entry).map(|(epoch, _)| epoch);
            let grant = bucket.answer_report(entry, report, now, next_epoch);
            // A part of the burst says nothing about the team's limit.
            let shortage = grant.shortage.filter(|_| self.phase != LedgerPhase::Closed);
            grants.push(ShareGrant { shortage, ..grant });
            match bucket.share_expiry(entry) {
                Some((epoch, at)) if known != Some(epoch) => {
                    let expiry = (at, epoch, report.team.clone(), entry.clone());
                    self.expiries.push(Reverse(expiry));
                }
                _ => {}
            }
        }
        grants
    }

    /// Returns the time at which a held sync with these reports should be answered, if no other
    /// event occurs. Reports of other entries can make it earlier.
    #[must_use]
    pub fn next_answer_at(
        &self,
        entry: &EntryKey,
        reports: &[ShareReport],
        now: Duration,
    ) -> Option<Duration> {
        if self.grants_nothing(now) {
            return None;
        }
        reports
            .iter()
            .filter_map(|report| self.teams.get(&report.team)?.next_answer_at(entry, now))
            .min()
    }

    /// Returns teams for whose longest waiting request there are tokens by now, with its entry. The
    /// entry's last report about the team should be passed to [`Self::answer_reports`] again.
    #[must_use]
    pub fn due_waiters(&mut self, now: Duration) -> Vec<(EntryKey, TeamId)> {
        if self.grants_nothing(now) {
            return Vec::new();
        }
        let buckets = self.teams.iter_mut();
        let due =
            buckets.filter_map(|(team, bucket)| Some((bucket.due_waiter(now)?, team.clone())));
        due.collect()
    }

    /// Counts expired grants as used. Takes amortised O(log n) per grant.
    pub fn expire_grants(&mut self, now: Duration) {
        self.change_phase(now);
        while let Some(Reverse((at, ..))) = self.expiries.peek()
            && *at <= now
        {
            let Some(Reverse((_, epoch, team, entry))) = self.expiries.pop() else {
                return;
            };
            let Some(bucket) = self.teams.get_mut(&team) else {
                continue;
            };
            bucket.advance_to(now);
            bucket.expire_share(&entry, now);
            match bucket.share_expiry(&entry) {
                Some((current, at)) if current == epoch => {
                    self.expiries.push(Reverse((at, epoch, team, entry)));
                }
                _ => {}
            }
        }
    }

    /// Grants from larger parts of the bursts as earlier grants expire.
    fn change_phase(&mut self, now: Duration) {
        let phase = match now.saturating_sub(self.elected_at) {
            age if age >= GRANT_OUTSTANDING => LedgerPhase::Open,
            age if age >= URGENT_OUTSTANDING => LedgerPhase::WithoutAdvance,
            _ => LedgerPhase::Closed,
        };
        if phase == self.phase {
            return;
        }
        self.phase = phase;
        for (team, limit) in &self.limits {
            let (limit, advance_limit) = self.effective_limit(*limit);
            if let Some(bucket) = self.teams.get_mut(team) {
                bucket.set_limit(limit, advance_limit, now);
            }
        }
    }

    /// Returns the free and the outstanding tokens of all teams.
    #[must_use]
    pub fn totals(&self) -> (u64, u64) {
        let buckets = self.teams.values();
        buckets.fold((0, 0), |(free, outstanding), bucket| {
            (free + bucket.level(), outstanding + bucket.outstanding())
        })
    }

    /// Returns a team's level plus its outstanding tokens, which never exceed the burst.
    #[must_use]
    pub fn committed(&self, team: &TeamId) -> u64 {
        self.teams.get(team).map_or(0, TeamBucket::committed)
    }
}
