use std::{
    collections::{BTreeMap, HashMap},
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use spdlog::prelude::*;
use tokio::sync::watch;

use super::{platform::LeavingVms, tables::TermTables};
use crate::{
    allowance::{RateLimit, ShareGrant},
    border::{FleetConfig, TargetConfig},
    ids::{EntryKey, Fingerprint, ModelId, Revision, TargetId, TeamId, Term, VmId},
    soft_state::{DemandTotals, EntryStatus, TargetHealth},
    state::{BlockState, ControlState},
    sync::{ConfigSection, CrashSection, EngineReport, SyncReply, SyncRequest},
    voter::{LeaderLease, VoterHandle},
};

/// Maximum freshness bound that an entry's settings allow. An entry whose last sync is older
/// rejects keyed requests.
const MAX_FRESHNESS_BOUND: Duration = Duration::from_millis(3_000);

/// Keeps the leader's soft state about entries and engines, and builds sync replies from it.
pub struct SyncService {
    voter: VoterHandle,
    leaving: LeavingVms,
    started: Instant,
    tables: Mutex<TermTables>,
    changes: watch::Sender<u64>,
}

impl SyncService {
    /// Creates a service with empty tables.
    #[must_use]
    pub fn new(voter: VoterHandle, leaving: LeavingVms) -> Self {
        Self {
            voter,
            leaving,
            started: Instant::now(),
            tables: Mutex::new(TermTables::new(0, Duration::ZERO)),
            changes: watch::channel(0).0,
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Locks the tables, which are emptied first if they belong to an earlier term.
    fn tables(&self, term: Term) -> MutexGuard<'_, TermTables> {
        let mut tables = self.tables.lock().unwrap_or_else(PoisonError::into_inner);
        if tables.term < term {
            *tables = TermTables::new(term, self.now());
        }
        tables
    }

    /// Records the contents of a sync request before its reply is held. Returns whether a grant is
    /// larger than the one that the entry holds.
    pub fn record(&self, request: &mut SyncRequest, lease: LeaderLease) -> bool {
        let now = self.now();
        let mut tables = self.tables(lease.term);
        let entry = tables.registry.record(request, now);
        tables.demand.record(&entry, &request.demand, now);
        tables.loads.record(&entry, &request.demand, now);
        tables.reports.record_observations(&request.observations);
        let reports = std::mem::take(&mut request.reports);
        let changes_copies = tables.reports.record(reports, now);
        tables.served_tokens.record(&entry, &request.shares);
        // Computing residency over all targets at each sync would take a core of the leader at 400
        // entries.
        if changes_copies || !request.observations.is_empty() {
            self.refresh_residency(&mut tables);
        }
        self.refresh_limits(&mut tables);
        let grants = tables.ledger.answer_reports(&entry, &request.shares, now);
        let held =
            |grant: &ShareGrant| request.shares.iter().find(|share| share.team == grant.team);
        grants
            .iter()
            .any(|grant| held(grant).is_some_and(|share| grant.granted > share.granted))
    }

    /// Applies the team limits of the current revision to the ledger.
    fn refresh_limits(&self, tables: &mut TermTables) {
        let (revision, Some(config)) = self.voter.read_local(ControlState::config) else {
            return;
        };
        if tables.limits_revision == revision {
            return;
        }
        let now = self.now();
        let limits: HashMap<&TeamId, RateLimit> = config
            .teams
            .iter()
            .map(|team| (&team.id, RateLimit::from(team)))
            .collect();
        let removed = tables
            .limited_teams
            .iter()
            .filter(|team| !limits.contains_key(team));
        for team in removed {
            tables.ledger.set_limit(team, RateLimit::default(), now);
        }
        for (team, limit) in &limits {
            tables.ledger.set_limit(team, *limit, now);
        }
        tables.limited_teams = limits.into_keys().cloned().collect();
        tables.limits_revision = revision;
    }

    /// Returns the time until a reply to `request` can contain a new grant.
    pub fn time_to_next_grant(
        &self,
        request: &SyncRequest,
        lease: LeaderLease,
    ) -> Option<Duration> {
        let now = self.now();
        let key = EntryKey {
            vm: request.vm.clone(),
            incarnation: request.incarnation,
        };
        let due_at = self
            .tables(lease.term)
            .ledger
            .next_answer_at(&key, &request.shares, now)?;
        Some(due_at.saturating_sub(now))
    }

    /// Builds the reply to an entry's sync; `lease` proves that this voter leads.
    pub fn reply(&self, request: &SyncRequest, lease: LeaderLease) -> SyncReply {
        let config = match self.voter.read_local(ControlState::config) {
            (revision, Some(config)) if revision != request.revision => {
                self.config_change(request.revision, revision, &config)
            }
            _ => ConfigSection::Current,
        };
        let now = self.now();
        let mut tables = self.tables(lease.term);
        let key = EntryKey {
            vm: request.vm.clone(),
            incarnation: request.incarnation,
        };
        self.refresh_limits(&mut tables);
        SyncReply {
            serial: request.serial,
            term: lease.term,
            config,
            residency: tables.residency.since(request.residency_version),
            avoided: tables.avoided_change(request.avoided_version),
            loads: tables.take_loads(&key, now),
            crashes: self.crash_change(request.crashes_version),
            parts: self.voter.part_section(request.parts_version),
            grants: tables
                .ledger
                .answer_reports(&key, &request.shares, now)
                .to_vec(),
            served_elsewhere: tables
                .served_tokens
                .served_by_others(&key, request.shares.iter().map(|share| &share.team)),
            assigned: tables.assignments.targets_of(&key).to_vec(),
        }
    }

    /// Returns the delta from the entry's revision, or the whole configuration when that revision
    /// is no longer kept or the delta is not smaller.
    fn config_change(&self, from: Revision, to: Revision, config: &FleetConfig) -> ConfigSection {
        let delta = self.voter.read_local(|state| match state.config() {
            (current, _) if current == to => state.configs().delta_since(from),
            _ => None,
        });
        match delta {
            Some(delta) => ConfigSection::Delta {
                from,
                to,
                delta: Box::new(delta),
            },
            None => ConfigSection::Snapshot(to, Box::new(config.clone())),
        }
    }

    /// Returns the table of crashing requests if the entry's version differs.
    fn crash_change(&self, version: u64) -> Option<CrashSection> {
        self.voter.read_local(|state| {
            let crashes = state.crashes();
            if crashes.version() == version {
                return None;
            }
            let (blocked, suspects): (Vec<_>, Vec<_>) = crashes
                .suspects(state.now_ms())
                .partition(|(_, block)| *block == BlockState::Blocked);
            let fingerprints = |rows: Vec<(&Fingerprint, BlockState)>| {
                rows.into_iter()
                    .map(|(fingerprint, _)| *fingerprint)
                    .collect()
            };
            Some(CrashSection {
                version: crashes.version(),
                suspects: fingerprints(suspects),
                blocked: fingerprints(blocked),
            })
        })
    }

    /// Recomputes the targets that get no new requests: draining ones, and engines that are leaving
    /// or down. Plain services send no reports; each entry determines their health from its own
    /// calls.
    fn refresh_avoided(&self, tables: &mut TermTables, config: &FleetConfig) {
        let now = self.now();
        let avoided = self.voter.read_local(|state| {
            let is_avoided = |target: &&TargetConfig| {
                let health = tables.reports.health(&target.id, now);
                self.is_draining(target, state)
                    || matches!(health, TargetHealth::Leaving | TargetHealth::Down)
            };
            let targets = config.targets.iter().filter(is_avoided);
            targets.map(|target| target.id.clone()).collect::<Vec<_>>()
        });
        if tables.avoided.targets != avoided {
            tables.avoided.targets = avoided;
            tables.avoided.version += 1;
            self.changes.send_replace(tables.avoided.version);
        }
    }

    /// Returns whether a reply to `request` would contain a change that must be sent at once.
    pub fn has_urgent_change(&self, request: &SyncRequest, lease: LeaderLease) -> bool {
        let revision = self.voter.read_local(|state| state.config().0);
        let tables = self.tables(lease.term);
        revision != request.revision
            || tables.residency.version() != request.residency_version
            || tables.avoided.version != request.avoided_version
            || self.voter.read_local(|state| {
                let crashes = state.crashes();
                crashes.version() != request.crashes_version
                    || crashes.parts().version() != request.parts_version
            })
    }

    /// Removes expired grants and entries, recomputes what depends on the health of engines, and
    /// returns the removed entries.
    pub fn expire(&self, lease: LeaderLease) -> Vec<EntryKey> {
        let now = self.now();
        let mut tables = self.tables(lease.term);
        self.refresh_limits(&mut tables);
        tables.ledger.expire_grants(now);
        let expired = tables.registry.expire(now);
        for entry in &expired {
            info!(
                "sync: entry {} ({:x}) stopped syncing and was removed",
                entry.vm, entry.incarnation
            );
            tables.served_tokens.remove_entry(entry);
            tables.loads.remove_entry(entry);
        }
        self.refresh_residency(&mut tables);
        if let (revision, Some(config)) = self.voter.read_local(ControlState::config) {
            let TermTables {
                assignments,
                registry,
                ..
            } = &mut *tables;
            assignments.refresh(registry, revision, &config);
            self.refresh_avoided(&mut tables, &config);
        }
        expired
    }

    fn refresh_residency(&self, tables: &mut TermTables) {
        let Some(config) = self.voter.read_local(ControlState::config).1 else {
            return;
        };
        let copies = tables.serving_copies(&config, self.now());
        if tables.residency.replace(copies) {
            self.changes.send_replace(tables.residency.version());
        }
    }

    /// Returns the latest report of each engine that is up.
    pub fn reports(&self, lease: LeaderLease) -> BTreeMap<TargetId, EngineReport> {
        let now = self.now();
        let tables = self.tables(lease.term);
        let is_up = |target: &TargetId| tables.reports.health(target, now) == TargetHealth::Up;
        tables
            .reports
            .iter()
            .filter(|(target, _, _)| is_up(target))
            .map(|(target, report, _)| (target.clone(), report.clone()))
            .collect()
    }

    /// Returns whether the configuration, an operator or the platform takes a target out of
    /// service.
    pub fn is_draining(&self, target: &TargetConfig, state: &ControlState) -> bool {
        target.draining
            || state.drains().is_target_draining(target)
            || self.leaving.contains(&target.vm)
    }

    /// Returns the health of each engine that has reported.
    pub fn health(&self, lease: LeaderLease) -> BTreeMap<TargetId, TargetHealth> {
        let now = self.now();
        let tables = self.tables(lease.term);
        let health = |target: &TargetId| (target.clone(), tables.reports.health(target, now));
        tables
            .reports
            .iter()
            .map(|(target, _, _)| health(target))
            .collect()
    }

    /// Returns the demand per model since the last call.
    pub fn take_demand(&self, lease: LeaderLease) -> BTreeMap<ModelId, DemandTotals> {
        let now = self.now();
        self.tables(lease.term).demand.take(now)
    }

    /// Returns the entries that sync with this leader, with the age of their last sync.
    pub fn entries(&self, lease: LeaderLease) -> Vec<(EntryKey, EntryStatus, Duration)> {
        let now = self.now();
        let tables = self.tables(lease.term);
        let entries = tables.registry.iter();
        entries
            .map(|(key, status)| {
                let age = now.saturating_sub(status.last_sync);
                (key.clone(), status.clone(), age)
            })
            .collect()
    }

    /// Returns the VMs whose entries may still serve with a revision before `revision`. `None`
    /// means that entries unknown to this leader may still serve on a sync with the previous one.
    pub fn vms_behind(&self, revision: Revision, lease: LeaderLease) -> Option<Vec<VmId>> {
        let now = self.now();
        let tables = self.tables(lease.term);
        let is_conclusive = now.saturating_sub(tables.started_at) > MAX_FRESHNESS_BOUND;
        is_conclusive.then(|| {
            tables
                .registry
                .vms_behind(revision, MAX_FRESHNESS_BOUND, now)
        })
    }

    /// Returns whether every entry that may serve has the crash table in the version applied here.
    pub fn all_have_crash_table(&self, lease: LeaderLease) -> bool {
        let version = self.voter.read_local(|state| state.crashes().version());
        let now = self.now();
        let tables = self.tables(lease.term);
        tables
            .registry
            .all_have_crash_table(version, MAX_FRESHNESS_BOUND, now)
    }

    /// Returns a receiver that is notified when residency or the avoided targets change.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}
