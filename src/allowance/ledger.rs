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
            teams: HashMap::new(),
            expiries: BinaryHeap::new(),
        }
    }

    /// Sets a team's limit. A team that is removed gets the limit 0 and stays known, so that
    /// adding it again does not give it a second burst.
    ///
    /// A team that is new to an open ledger starts with its whole burst. While the ledger is
    /// closed, the previous leader may have granted any team its whole burst, so teams start with
    /// nothing and their refill starts when the ledger opens.
    pub fn set_limit(&mut self, team: &TeamId, limit: RateLimit, now: Duration) {
        if let Some(bucket) = self.teams.get_mut(team) {
            bucket.set_limit(limit, now);
            return;
        }
        let level = if now >= self.opens_at { limit.burst } else { 0 };
        let bucket = TeamBucket::new(limit, level, now.max(self.opens_at));
        self.teams.insert(team.clone(), bucket);
    }

    /// Takes over an entry's reports and answers them. Each answer extends the entry's grants; a
    /// closed ledger answers nothing, so that entries spend what they still hold.
    ///
    /// The entry's last report may be given again, for example to answer a held sync when
    /// [`Self::due`] says so.
    pub fn exchange(
        &mut self,
        entry: &EntryKey,
        report: &[ShareReport],
        now: Duration,
    ) -> SmallVec<[ShareGrant; 4]> {
        if now < self.opens_at {
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
            grants.push(bucket.exchange(entry, report, now, next_epoch));
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
    pub fn due(&self, entry: &EntryKey, report: &[ShareReport], now: Duration) -> Option<Duration> {
        if now < self.opens_at {
            return None;
        }
        report
            .iter()
            .filter_map(|report| self.teams.get(&report.team)?.due(entry, now))
            .min()
    }

    /// Counts grants that have expired as used. Amortised O(log n) per grant.
    pub fn expire(&mut self, now: Duration) {
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
            bucket.expire(&entry, now);
            match bucket.expiry(&entry) {
                Some((current, at)) if current == epoch => {
                    self.expiries.push(Reverse((at, epoch, team, entry)));
                }
                _ => {}
            }
        }
    }

    /// Returns a team's level plus its outstanding tokens, which never exceeds the burst.
    #[must_use]
    pub fn committed(&self, team: &TeamId) -> u64 {
        self.teams.get(team).map_or(0, TeamBucket::committed)
    }
}
