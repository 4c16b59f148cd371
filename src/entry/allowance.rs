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
    allowance::{
        AllowanceShare, ReservationId, ReservationOutcome, ShareGrant, ShareReport, ShareShortage,
    },
    ids::TeamId,
};

use super::token_wait::{RequestStanding, TokenPatience, TokenRefusal, WaitingRequest};

/// Head start in the queue for each level of priority. A request of the lowest of ten priorities
/// is overtaken only by requests whose patience ends within nine such steps after its own, so none starves.
const PRIORITY_STEP: Duration = Duration::from_secs(2);

/// Sort key in a team's queue: the virtual end of the patience in milliseconds, then a sequence number that
/// breaks ties and names the request to the leader.
type QueuePosition = (i128, u64);

#[derive(Debug, Default)]
struct AllowanceTables {
    share: AllowanceShare,
    queues: HashMap<TeamId, BTreeMap<QueuePosition, WaitingRequest>>,
    last_sequence: u64,
    last_report: Duration,
    /// Teams whose shortage is reported by an urgent sync in flight.
    urgent_teams: HashSet<TeamId>,
    /// Teams that have used tokens since the last report.
    used_teams: HashSet<TeamId>,
}

/// The entry's share of every team's allowance, with the requests that wait for tokens.
#[derive(Debug)]
pub struct SharedAllowance {
    started: Instant,
    tables: Mutex<AllowanceTables>,
    /// Wakes waiting requests when tokens become available or the head of a queue leaves.
    changed: Notify,
    /// Wakes the urgent sync when the share does not cover a request.
    shortage: Notify,
    /// Wakes the report of used tokens.
    usage: Notify,
    is_shutting_down: AtomicBool,
}

impl SharedAllowance {
    /// Creates the share of a process that has just started, which holds no tokens.
    #[must_use]
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            tables: Mutex::default(),
            changed: Notify::new(),
            shortage: Notify::new(),
            usage: Notify::new(),
            is_shutting_down: AtomicBool::new(false),
        }
    }

    fn tables(&self) -> MutexGuard<'_, AllowanceTables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reserves tokens for a request, waiting for them as long as `patience` says.
    ///
    /// Requests of one team are served by priority and by the end of their patience.
    ///
    /// # Errors
    /// A [`TokenRefusal`], with nothing reserved.
    pub async fn reserve(
        self: &Arc<Self>,
        team: &TeamId,
        tokens: u64,
        priority: u8,
        patience: TokenPatience,
    ) -> Result<ReservedTokens, TokenRefusal> {
        let until = patience.shortage.saturating_duration_since(self.started);
        let request = WaitingRequest {
            tokens,
            until,
            patience: until.saturating_sub(self.started.elapsed()),
            standing: RequestStanding::Unanswered,
        };
        let position = self.enqueue(team, request, priority);
        loop {
            let changed = self.changed.notified();
            if let Some(id) = self.try_reserve(team, &position, tokens) {
                return Ok(ReservedTokens {
                    allowance: Arc::clone(self),
                    team: team.clone(),
                    id,
                    remaining: tokens,
                });
            }
            let standing = position.standing();
            let deadline = match standing {
                RequestStanding::Refused => Instant::now(),
                RequestStanding::Queued { until } => self.started + until,
                RequestStanding::Unanswered => patience.answer.max(patience.shortage),
            };
            if Instant::now() < deadline {
                self.shortage.notify_one();
                let deadline = tokio::time::Instant::from_std(deadline);
                // After a timeout, the request is checked once more.
                let _ = tokio::time::timeout_at(deadline, changed).await;
                continue;
            }
            drop(position);
            // The leader keeps tokens for a request that waits, so it is told when it is gone.
            self.tables().used_teams.insert(team.clone());
            self.usage.notify_one();
            return Err(match standing {
                RequestStanding::Unanswered => TokenRefusal::Unanswered,
                RequestStanding::Queued { .. } | RequestStanding::Refused => {
                    TokenRefusal::OverLimit
                }
            });
        }
    }

    fn enqueue(
        self: &Arc<Self>,
        team: &TeamId,
        request: WaitingRequest,
        priority: u8,
    ) -> QueueEntry {
        let mut tables = self.tables();
        tables.last_sequence += 1;
        let until = i128::try_from(request.until.as_millis()).unwrap_or(i128::MAX);
        let advance = i128::from(priority) * PRIORITY_STEP.as_millis().cast_signed();
        let position = (until - advance, tables.last_sequence);
        tables
            .queues
            .entry(team.clone())
            .or_default()
            .insert(position, request);
        QueueEntry {
            allowance: Arc::clone(self),
            team: team.clone(),
            position,
        }
    }

    fn try_reserve(&self, team: &TeamId, entry: &QueueEntry, tokens: u64) -> Option<ReservationId> {
        let mut tables = self.tables();
        let first = tables
            .queues
            .get(team)?
            .first_key_value()
            .map(|(position, _)| *position);
        let now = self.started.elapsed();
        let reservation = match first {
            Some(position) if position == entry.position => tables.share.reserve(team, tokens, now),
            _ => return None,
        };
        match reservation {
            ReservationOutcome::Granted(id) => Some(id),
            ReservationOutcome::Insufficient { .. } => {
                tables.update_waiting(team, now);
                None
            }
        }
    }

    /// Returns the reports of the teams with a shortage that no urgent sync in flight covers;
    /// `None` when there is no such team. [`Self::finish_urgent_reports`] follows each report.
    #[must_use]
    pub fn make_urgent_reports(&self) -> Option<(Vec<ShareReport>, Duration)> {
        let mut tables = self.tables();
        let now = tables.next_report_time(self.started.elapsed());
        let mut shares = tables.share.make_urgent_reports(now);
        shares.retain(|share| !tables.urgent_teams.contains(&share.team));
        tables
            .urgent_teams
            .extend(shares.iter().map(|share| share.team.clone()));
        (!shares.is_empty()).then_some((shares, now))
    }

    /// Ends a sync that carried urgent reports, and triggers another one if a shortage remains.
    pub fn finish_urgent_reports(&self, teams: &[TeamId]) {
        let mut tables = self.tables();
        let now = self.started.elapsed();
        let mut has_shortage = false;
        for team in teams {
            tables.urgent_teams.remove(team);
            has_shortage |= tables.share.needs_urgent_report(team, now);
        }
        drop(tables);
        if has_shortage {
            self.shortage.notify_one();
        }
    }

    /// Ends a sync with urgent reports that was not answered in time, so that its shortages are
    /// reported again.
    pub fn retry_urgent_reports(&self, teams: &[TeamId]) {
        self.tables().share.forget_urgent_reports(teams);
        self.finish_urgent_reports(teams);
    }

    /// Returns those of some teams whose first request waits in the leader's queue.
    #[must_use]
    pub fn queued_teams(&self, teams: &[TeamId]) -> Vec<TeamId> {
        let tables = self.tables();
        let queued = teams.iter().filter(|team| {
            let queue = tables.queues.get(*team);
            let first = queue.and_then(|queue| queue.values().next());
            first.is_some_and(|first| matches!(first.standing, RequestStanding::Queued { .. }))
        });
        queued.cloned().collect()
    }

    /// Waits until tokens were used that no report tells the leader.
    pub async fn wait_for_usage(&self) {
        self.usage.notified().await;
    }

    /// Returns the reports of the teams that have used tokens since their last report.
    #[must_use]
    pub fn make_usage_reports(&self) -> Vec<ShareReport> {
        let mut tables = self.tables();
        let teams: Vec<TeamId> = std::mem::take(&mut tables.used_teams).into_iter().collect();
        let now = tables.next_report_time(self.started.elapsed());
        tables.share.make_usage_reports(&teams, now)
    }

    /// Returns the time of this process, by which reports are identified.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns the reports for the next sync and the time that identifies them.
    #[must_use]
    pub fn make_reports(&self) -> (Vec<ShareReport>, Duration) {
        let mut tables = self.tables();
        if self.is_shutting_down.load(Ordering::Relaxed) {
            tables.share.begin_shutdown();
        }
        let now = tables.next_report_time(self.started.elapsed());
        (tables.share.make_reports(now), now)
    }

    /// Applies the leader's grants in reply to the reports of `reported_at`.
    pub fn apply_grants(&self, grants: &[ShareGrant], reported_at: Duration) {
        let mut tables = self.tables();
        tables.share.apply_grants(grants, reported_at);
        let now = self.started.elapsed();
        for grant in grants {
            if let Some(shortage) = grant.shortage {
                // A grant takes as long as this answer, at most.
                let travel_time = now.saturating_sub(reported_at);
                tables.record_shortage(&grant.team, shortage, now + travel_time);
            }
        }
        // The request that these tokens were granted for has given up. Others need them.
        let idle: Vec<TeamId> = grants
            .iter()
            .filter(|grant| tables.share.has_idle_tokens(&grant.team, now))
            .map(|grant| grant.team.clone())
            .collect();
        if !idle.is_empty() {
            tables.used_teams.extend(idle);
            self.usage.notify_one();
        }
        drop(tables);
        self.changed.notify_waiters();
    }

    /// Returns all tokens to the leader with the next reports.
    pub fn begin_shutdown(&self) {
        self.is_shutting_down.store(true, Ordering::Relaxed);
    }

    /// Waits until the share does not cover a waiting request.
    pub async fn wait_for_shortage(&self) {
        self.shortage.notified().await;
    }
}

impl Default for SharedAllowance {
    fn default() -> Self {
        Self::new()
    }
}

impl AllowanceTables {
    /// Returns a time that is unique to a report, since replies are matched to reports by it.
    fn next_report_time(&mut self, now: Duration) -> Duration {
        self.last_report = now.max(self.last_report + Duration::from_nanos(1));
        self.last_report
    }

    /// Records what the leader has said about a request. One in its queue waits for its patience from
    /// `patient_from`.
    fn record_shortage(&mut self, team: &TeamId, shortage: ShareShortage, patient_from: Duration) {
        let queue = self.queues.get_mut(team);
        let mut waiting = queue.into_iter().flatten();
        if let Some((_, request)) = waiting.find(|(position, _)| position.1 == shortage.request) {
            request.standing = match request.standing {
                _ if shortage.is_refused => RequestStanding::Refused,
                RequestStanding::Unanswered => RequestStanding::Queued {
                    until: request.until.max(patient_from + request.patience),
                },
                standing => standing,
            };
        }
    }

    fn update_waiting(&mut self, team: &TeamId, now: Duration) {
        let queue = self.queues.get(team);
        let first = queue.and_then(|queue| queue.first_key_value());
        let first = first.map(|(position, request)| (position.1, *request));
        let all = queue.map_or(0, |queue| {
            queue.values().map(|request| request.tokens).sum()
        });
        let tokens = first.map_or(0, |(_, first)| first.tokens);
        self.share.set_waiting(team, tokens, all);
        let waits_until = first.map(|(_, first)| first.waits_until(now));
        self.share.set_waits_until(team, waits_until);
        self.share
            .set_first_request(team, first.map_or(0, |(request, _)| request));
    }
}

/// A request's entry in its team's queue, removed when dropped.
struct QueueEntry {
    allowance: Arc<SharedAllowance>,
    team: TeamId,
    position: QueuePosition,
}

impl QueueEntry {
    fn standing(&self) -> RequestStanding {
        let tables = self.allowance.tables();
        let queue = tables.queues.get(&self.team);
        let request = queue.and_then(|queue| queue.get(&self.position));
        request.map_or(RequestStanding::Unanswered, |request| request.standing)
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        let mut tables = self.allowance.tables();
        if let Some(queue) = tables.queues.get_mut(&self.team) {
            queue.remove(&self.position);
            if queue.is_empty() {
                tables.queues.remove(&self.team);
            }
        }
        let now = self.allowance.started.elapsed();
        tables.update_waiting(&self.team, now);
        drop(tables);
        self.allowance.changed.notify_waiters();
    }
}

/// Tokens reserved for a running request. When this is dropped without [`ReservedTokens::settle`],
/// the remaining tokens count as used, since an aborted request may have used them.
#[derive(Debug)]
pub struct ReservedTokens {
    allowance: Arc<SharedAllowance>,
    team: TeamId,
    id: ReservationId,
    remaining: u64,
}

impl ReservedTokens {
    /// Counts tokens as used while the request runs.
    pub fn consume(&mut self, tokens: u64) {
        let tokens = tokens.min(self.remaining);
        self.remaining -= tokens;
        let mut tables = self.allowance.tables();
        tables.share.consume(self.id, tokens);
        tables.used_teams.insert(self.team.clone());
        drop(tables);
        self.allowance.usage.notify_one();
    }

    /// Ends the reservation; tokens beyond the consumed and the `used` ones become available again.
    pub fn settle(mut self, used: u64) {
        self.remaining = used.min(self.remaining);
    }

    /// Ends the reservation of a request that did not run.
    pub fn release(self) {
        self.settle(0);
    }
}

impl Drop for ReservedTokens {
    fn drop(&mut self) {
        let mut tables = self.allowance.tables();
        tables.share.settle(self.id, self.remaining);
        let has_used = self.remaining > 0;
        if has_used {
            tables.used_teams.insert(self.team.clone());
        }
        drop(tables);
        if has_used {
            self.allowance.usage.notify_one();
        }
        self.allowance.changed.notify_waiters();
    }
}
