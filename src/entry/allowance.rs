use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use tokio::sync::Notify;

use crate::{
    allowance::{AllowanceShare, ReservationId, ReservationOutcome, ShareGrant, ShareReport},
    ids::TeamId,
};

/// Waiting time that makes up for one step of priority. The lowest of ten priorities waits at most
/// nine such steps longer than its turn, so that none starves.
const PRIORITY_STEP: Duration = Duration::from_secs(2);

/// Place in a team's line: the virtual arrival, and a number that tells equal ones apart.
type LinePlace = (i128, u64);

#[derive(Debug, Default)]
struct AllowanceTables {
    share: AllowanceShare,
    lines: HashMap<TeamId, BTreeMap<LinePlace, u64>>,
    last_number: u64,
    last_report: Duration,
    /// Teams for which a sync is under way that asks for the tokens a request waits for.
    asking: HashSet<TeamId>,
}

/// The entry's share of every team's allowance, with the requests that wait for it.
#[derive(Debug)]
pub struct SharedAllowance {
    started: Instant,
    tables: Mutex<AllowanceTables>,
    /// Wakes waiting requests when tokens arrive or the first in line leaves.
    arrived: Notify,
    /// Wakes the sync when a request lacks tokens.
    lacking: Notify,
    is_leaving: AtomicBool,
}

impl SharedAllowance {
    /// Returns the share of a process that has just started, which holds nothing.
    #[must_use]
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            tables: Mutex::default(),
            arrived: Notify::new(),
            lacking: Notify::new(),
            is_leaving: AtomicBool::new(false),
        }
    }

    fn tables(&self) -> MutexGuard<'_, AllowanceTables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reserves tokens for a request, and waits for them until `deadline`.
    ///
    /// Requests of one team are served by priority and age. `None` means that the deadline passed;
    /// nothing is reserved then.
    pub async fn reserve(
        self: &Arc<Self>,
        team: &TeamId,
        tokens: u64,
        priority: u8,
        deadline: Instant,
    ) -> Option<ReservedTokens> {
        let place = self.join(team, tokens, priority);
        loop {
            let arrived = self.arrived.notified();
            if let Some(id) = self.try_first(team, &place, tokens) {
                return Some(ReservedTokens {
                    allowance: Arc::clone(self),
                    id,
                    rest: tokens,
                });
            }
            self.lacking.notify_one();
            let until = tokio::time::Instant::from_std(deadline);
            tokio::time::timeout_at(until, arrived).await.ok()?;
        }
    }

    fn join(self: &Arc<Self>, team: &TeamId, tokens: u64, priority: u8) -> WaitingPlace {
        let mut tables = self.tables();
        tables.last_number += 1;
        let arrival = i128::try_from(self.started.elapsed().as_millis()).unwrap_or(i128::MAX);
        let advance = i128::from(priority) * PRIORITY_STEP.as_millis().cast_signed();
        let place = (arrival - advance, tables.last_number);
        tables
            .lines
            .entry(team.clone())
            .or_default()
            .insert(place, tokens);
        WaitingPlace {
            allowance: Arc::clone(self),
            team: team.clone(),
            place,
        }
    }

    fn try_first(
        &self,
        team: &TeamId,
        waiting: &WaitingPlace,
        tokens: u64,
    ) -> Option<ReservationId> {
        let mut tables = self.tables();
        let first = tables
            .lines
            .get(team)?
            .first_key_value()
            .map(|(place, _)| *place);
        let now = self.started.elapsed();
        let reservation = match first {
            Some(place) if place == waiting.place => tables.share.reserve(team, tokens, now),
            _ => return None,
        };
        match reservation {
            ReservationOutcome::Granted(id) => Some(id),
            ReservationOutcome::Insufficient { .. } => {
                tables.state_waiting(team);
                None
            }
        }
    }

    /// Returns the reports of the teams whose requests lack tokens that no sync under way asks for;
    /// `None` when there is no such team. [`Self::finish_urgent_reports`] follows each report.
    #[must_use]
    pub fn make_urgent_reports(&self) -> Option<(Vec<ShareReport>, Duration)> {
        let mut tables = self.tables();
        let now = tables.next_report(self.started.elapsed());
        let mut shares = tables.share.make_urgent_reports(now);
        shares.retain(|share| !tables.asking.contains(&share.team));
        tables
            .asking
            .extend(shares.iter().map(|share| share.team.clone()));
        (!shares.is_empty()).then_some((shares, now))
    }

    /// Ends a sync that carried urgent reports, and asks again for what is still lacking.
    pub fn finish_urgent_reports(&self, teams: &[TeamId]) {
        let mut tables = self.tables();
        let now = self.started.elapsed();
        let mut is_lacking = false;
        for team in teams {
            tables.asking.remove(team);
            is_lacking |= tables.share.needs_urgent_report(team, now);
        }
        drop(tables);
        if is_lacking {
            self.lacking.notify_one();
        }
    }

    /// Returns the reports for the next sync and the time that names them.
    #[must_use]
    pub fn make_reports(&self) -> (Vec<ShareReport>, Duration) {
        let mut tables = self.tables();
        if self.is_leaving.load(Ordering::Relaxed) {
            tables.share.begin_shutdown();
        }
        let now = tables.next_report(self.started.elapsed());
        (tables.share.make_reports(now), now)
    }

    /// Applies the leader's answer to the report of `asked_at`.
    pub fn apply_grants(&self, grants: &[ShareGrant], asked_at: Duration) {
        self.tables().share.apply_grants(grants, asked_at);
        self.arrived.notify_waiters();
    }

    /// Hands everything back with the next reports.
    pub fn begin_shutdown(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Waits until a request lacks tokens.
    pub async fn wait_for_shortage(&self) {
        self.lacking.notified().await;
    }
}

impl Default for SharedAllowance {
    fn default() -> Self {
        Self::new()
    }
}

impl AllowanceTables {
    /// Replies are matched to reports by their time, so that no two reports may share it.
    fn next_report(&mut self, now: Duration) -> Duration {
        self.last_report = now.max(self.last_report + Duration::from_nanos(1));
        self.last_report
    }

    fn state_waiting(&mut self, team: &TeamId) {
        let line = self.lines.get(team);
        let first = line
            .and_then(|line| line.values().next())
            .copied()
            .unwrap_or_default();
        let all = line.map_or(0, |line| line.values().sum());
        self.share.set_waiting(team, first, all);
    }
}

/// A request's place in its team's line, given up when dropped.
struct WaitingPlace {
    allowance: Arc<SharedAllowance>,
    team: TeamId,
    place: LinePlace,
}

impl Drop for WaitingPlace {
    fn drop(&mut self) {
        let mut tables = self.allowance.tables();
        if let Some(line) = tables.lines.get_mut(&self.team) {
            line.remove(&self.place);
            if line.is_empty() {
                tables.lines.remove(&self.team);
            }
        }
        tables.state_waiting(&self.team);
        drop(tables);
        self.allowance.arrived.notify_waiters();
    }
}

/// Tokens reserved for a running request. Dropped without [`ReservedTokens::settle`], the rest
/// counts as used, since a request that was broken off may have used it.
#[derive(Debug)]
pub struct ReservedTokens {
    allowance: Arc<SharedAllowance>,
    id: ReservationId,
    rest: u64,
}

impl ReservedTokens {
    /// Counts tokens as used while the request runs.
    pub fn consume(&mut self, tokens: u64) {
        let tokens = tokens.min(self.rest);
        self.rest -= tokens;
        self.allowance.tables().share.consume(self.id, tokens);
    }

    /// Ends the reservation; what is not used besides the consumed tokens can be used again.
    pub fn settle(mut self, used: u64) {
        self.rest = used.min(self.rest);
    }

    /// Ends the reservation of a request that did not run.
    pub fn release(self) {
        self.settle(0);
    }
}

impl Drop for ReservedTokens {
    fn drop(&mut self) {
        self.allowance.tables().share.settle(self.id, self.rest);
        self.allowance.arrived.notify_waiters();
    }
}
