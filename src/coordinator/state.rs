use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use tokio::sync::{Notify, watch};

use super::{
    engines::EngineTable, gateways::GatewayTable, plan_history::PlanHistory,
    target_history::TargetHistory,
};
use crate::{
    adapter::{PlatformAdapter, TargetEntry},
    allowance::{AllowanceLedger, RateLimit, ShareGrant},
    error::{Error, Result},
    ids::Term,
    plan::PlanIndex,
    state::ControlState,
    sync::{GatewayReply, GatewayReport, GrantReply, GrantRequest},
    voter::{LeaderLease, VoterHandle},
};

/// Longest time that a sync is held for a model that requests wait for: the way of an order to an
/// engine, and an adapter's load.
const HOLD_LIMIT: Duration = Duration::from_millis(60);

/// The leader's tables about gateways and engines. They belong to one term and are made anew by
/// each leader from what gateways and engines tell.
pub struct CoordinatorState {
    pub(super) voter: VoterHandle,
    pub(super) adapter: Arc<dyn PlatformAdapter>,
    started: Instant,
    tables: Mutex<LeaderTables>,
    changed: watch::Sender<u64>,
    /// Wakes the duty that gives orders.
    pub(super) wanted: Notify,
}

/// Tables of one term.
pub(super) struct LeaderTables {
    pub term: Term,
    pub begun_at: Duration,
    pub ledger: AllowanceLedger,
    pub gateways: GatewayTable,
    pub engines: EngineTable,
    pub plan: Option<Arc<PlanIndex>>,
    plans: PlanHistory,
    pub listed_at: Option<Duration>,
    list: TargetHistory,
}

impl LeaderTables {
    fn new(term: Term, now: Duration) -> Self {
        Self {
            term,
            begun_at: now,
            ledger: AllowanceLedger::new(term, now).with_takeover_reserve(),
            gateways: GatewayTable::default(),
            engines: EngineTable::default(),
            plan: None,
            plans: PlanHistory::new(),
            listed_at: None,
            list: TargetHistory::new(),
        }
    }
}

impl CoordinatorState {
    /// Returns a desk with empty tables.
    #[must_use]
    pub fn new(voter: VoterHandle, adapter: Arc<dyn PlatformAdapter>) -> Self {
        Self {
            voter,
            adapter,
            started: Instant::now(),
            tables: Mutex::new(LeaderTables::new(0, Duration::ZERO)),
            changed: watch::channel(0).0,
            wanted: Notify::new(),
        }
    }

    /// Time of this process.
    pub(super) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns the tables of the term that a lease proves.
    pub(super) fn tables(&self, lease: LeaderLease) -> MutexGuard<'_, LeaderTables> {
        let mut tables = self.tables.lock().unwrap_or_else(PoisonError::into_inner);
        if tables.term != lease.term {
            *tables = LeaderTables::new(lease.term, self.now());
        }
        tables
    }

    /// Returns the proof that this daemon leads.
    ///
    /// # Errors
    /// [`Error::NotLeader`] with the system address of the leader, when it is known.
    pub(super) fn lease(&self) -> Result<LeaderLease> {
        let lease = self.voter.lease().filter(LeaderLease::holds);
        lease.ok_or_else(|| {
            let leader = self.voter.status().leader;
            let address = leader.and_then(|leader| self.voter.addresses().system(&leader.vm));
            Error::NotLeader {
                leader: address.map(|address| address.to_string()),
            }
        })
    }

    /// Tells gateways what changed at targets.
    pub(super) fn publish_targets(&self, tables: &mut LeaderTables) {
        if tables.engines.take_change() && tables.list.update(tables.engines.targets()) {
            self.changed.send_modify(|number| *number += 1);
        }
    }

    /// Brings the decoded plan up to the log.
    pub(super) fn follow_plan(&self, tables: &mut LeaderTables) {
        let Some(published) = self.voter.local(ControlState::plan) else {
            return;
        };
        let held = tables.plan.as_ref().map_or(0, |plan| plan.plan().version);
        if held >= published.version {
            return;
        }
        tables.plans.add(&published);
        match self.adapter.decode_plan(&published.document) {
            Ok(plan) => {
                let now = self.now();
                let former = tables.plan.iter().flat_map(|plan| &plan.plan().teams);
                let gone = former.filter(|team| !plan.teams.iter().any(|new| new.id == team.id));
                for team in gone {
                    let none = RateLimit::default();
                    tables.ledger.set_limit(&team.id, none, now);
                }
                for team in &plan.teams {
                    if let Some(limit) = team.limit {
                        tables.ledger.set_limit(&team.id, limit, now);
                    }
                }
                tables.plan = Some(Arc::new(PlanIndex::new(plan)));
            }
            Err(error) => {
                spdlog::error!("plan: {} cannot be read: {error}", published.version);
            }
        }
    }

    /// Answers a gateway's report.
    ///
    /// # Errors
    /// [`Error::NotLeader`] when this daemon does not lead.
    pub async fn sync(&self, report: GatewayReport) -> Result<GatewayReply> {
        let lease = self.lease()?;
        let mut changed = self.changed.subscribe();
        let grants = self.record(&report, lease);
        if !report.missing_models.is_empty() {
            self.wanted.notify_one();
            if self.tables(lease).list.version(lease.term) == report.list_version {
                // A reply without news is as good as one at the limit.
                let _ = tokio::time::timeout(HOLD_LIMIT, changed.changed()).await;
            }
        }
        let reply = self.reply(&report, grants, lease);
        if lease.holds() {
            Ok(reply)
        } else {
            Err(Error::NotLeader { leader: None })
        }
    }

    /// Answers a gateway whose requests lack tokens.
    ///
    /// # Errors
    /// [`Error::NotLeader`] when this daemon does not lead.
    pub fn grant(&self, question: &GrantRequest) -> Result<GrantReply> {
        let lease = self.lease()?;
        let now = self.now();
        let grants = {
            let mut tables = self.tables(lease);
            self.follow_plan(&mut tables);
            tables.ledger.expire_grants(now);
            let ledger = &mut tables.ledger;
            ledger.answer_reports(&question.gateway, &question.shares, now)
        };
        // The lease may have ended meanwhile; another leader grants then.
        if lease.holds() {
            Ok(GrantReply {
                serial: question.serial,
                grants: grants.into_vec(),
            })
        } else {
            Err(Error::NotLeader { leader: None })
        }
    }

    fn record(&self, report: &GatewayReport, lease: LeaderLease) -> Vec<ShareGrant> {
        let now = self.now();
        let mut tables = self.tables(lease);
        self.follow_plan(&mut tables);
        let tables = &mut *tables;
        tables.gateways.record(report, now);
        for requests in &report.demand {
            tables.engines.note_adapter_use(&requests.model.model, now);
        }
        for target in &report.unresponsive {
            tables.engines.suspect(target);
        }
        tables.ledger.expire_grants(now);
        let grants = tables
            .ledger
            .answer_reports(&report.gateway, &report.shares, now);
        grants.into_vec()
    }

    fn reply(
        &self,
        report: &GatewayReport,
        grants: Vec<ShareGrant>,
        lease: LeaderLease,
    ) -> GatewayReply {
        let now = self.now();
        let mut tables = self.tables(lease);
        let plan = tables
            .plans
            .update_since(report.plan_version, now)
            .unwrap_or_else(|error| {
                spdlog::error!("plan: no news for {}: {error}", report.gateway.vm);
                None
            });
        let is_listed = tables.listed_at.is_some();
        let lacking = || tables.list.changes_since(report.list_version, tables.term);
        let targets = is_listed.then(lacking).flatten();
        let age = tables.listed_at.map(|at| now.saturating_sub(at));
        let own = self.voter.addresses().own().system;
        let others = self.voter.addresses().others();
        let others = others.into_iter().map(|address| address.system);
        GatewayReply {
            term: tables.term,
            plan,
            grants,
            targets,
            list_age_ms: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            load_topology: tables.gateways.load_topology(&report.gateway),
            sync_interval_ms: u64::try_from(tables.gateways.sync_period().as_millis())
                .unwrap_or(u64::MAX),
            coordinators: std::iter::once(own).chain(others).collect(),
        }
    }

    /// Takes over the platform's list.
    pub(super) fn accept_list(&self, lease: LeaderLease, list: Vec<TargetEntry>, asked: Duration) {
        let mut tables = self.tables(lease);
        let Some(plan) = tables.plan.clone() else {
            return;
        };
        tables.listed_at = Some(asked);
        tables.engines.apply_list(&plan, list);
        self.publish_targets(&mut tables);
    }
}
