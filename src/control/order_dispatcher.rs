use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use reqwest::Client;
use spdlog::prelude::*;
use tokio::{sync::Notify, time::Instant};

use crate::{
    border::{FleetConfig, TargetConfig},
    client,
    error::{Error, Result},
    ids::{FencingNumber, TargetId, Term},
    order::{
        DeliveryRecord, EngineOrder, FencingMode, OrderAction, OrderAnswer, OrderDecision,
        evaluate_order,
    },
    placement::LoadKind,
    state::{Command, ControlState, Outcome, ReserveOutcome, SettleResult},
    sync::{EngineReport, ResidentCopy},
    voter::{LeaderLease, VoterHandle},
};

/// Timeout of an order or a report request to an engine.
const ENGINE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Interval of report requests while an order is not settled.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum interval between deliveries of an order that may be lost.
const RESEND_INTERVAL: Duration = Duration::from_millis(1_000);
/// Minimum interval between reports of a restarted engine that are counted separately.
const RESTART_REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// Interval of warnings about an order that is not settled.
const SLOW_ORDER_INTERVAL: Duration = Duration::from_secs(60);

/// Target and fencing number of an order, which identify it.
pub type OrderKey = (TargetId, FencingNumber);

/// Carries out orders: reserves their memory, delivers them to the engine and settles them by its
/// reports.
pub struct OrderDispatcher {
    voter: VoterHandle,
    client: Client,
    tables: Mutex<DispatchTables>,
    settled: Notify,
}

#[derive(Default)]
struct DispatchTables {
    term: Term,
    sequence: u32,
    running: HashSet<OrderKey>,
    /// Loads that occupy the weight store until their order ends.
    running_loads: HashMap<OrderKey, LoadKind>,
    ended_loads: Vec<LoadKind>,
}

impl OrderDispatcher {
    /// Creates a dispatcher without orders.
    #[must_use]
    pub fn new(voter: VoterHandle, client: Client) -> Self {
        Self {
            voter,
            client,
            tables: Mutex::default(),
            settled: Notify::new(),
        }
    }

    fn tables(&self) -> MutexGuard<'_, DispatchTables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the task of an order ends.
    pub async fn wait_settled(&self) {
        self.settled.notified().await;
    }

    /// Returns the loads whose orders ended since the last call.
    #[must_use]
    pub fn take_ended_loads(&self) -> Vec<LoadKind> {
        std::mem::take(&mut self.tables().ended_loads)
    }

    /// Starts an order in a task of its own. `kind` is the kind of load on the weight store, if
    /// any.
    pub fn start(
        self: &Arc<Self>,
        target: &TargetConfig,
        action: OrderAction,
        kind: Option<LoadKind>,
        lease: LeaderLease,
    ) {
        let fencing = self.next_fencing(lease.term);
        let key = (target.id.clone(), fencing);
        let mut tables = self.tables();
        tables.running.insert(key.clone());
        if let Some(kind) = kind {
            tables.running_loads.insert(key.clone(), kind);
        }
        drop(tables);
        let (dispatcher, target) = (Arc::clone(self), target.clone());
        tokio::spawn(async move {
            if let Err(error) = dispatcher
                .reserve_and_deliver(&target, fencing, &action)
                .await
            {
                warn!(
                    "order: stopped delivering {fencing} to {}: {error}",
                    target.id
                );
            }
            dispatcher.finish(&key);
        });
    }

    /// Resumes the orders that an earlier leader left unsettled.
    pub fn resume_orders(self: &Arc<Self>, config: &FleetConfig) {
        let unsettled = self.voter.read_local(|state| {
            let memory = state.memory().iter();
            let orders = memory.flat_map(|(target, memory)| {
                memory
                    .orders()
                    .map(|(fencing, order)| ((target.clone(), fencing), order.action.clone()))
            });
            orders.collect::<Vec<(OrderKey, OrderAction)>>()
        });
        for (key, action) in unsettled {
            let target = config.targets.iter().find(|target| target.id == key.0);
            let Some(target) = target.cloned() else {
                continue;
            };
            if !self.tables().running.insert(key.clone()) {
                continue;
            }
            info!(
                "order: resuming {} to {}, left unsettled by an earlier leader: {action:?}",
                key.1, key.0
            );
            let dispatcher = Arc::clone(self);
            tokio::spawn(async move {
                let delivery = DeliveryRecord::inherited();
                if let Err(error) = dispatcher
                    .deliver_until_settled(&target, key.1, &action, delivery)
                    .await
                {
                    warn!("order: stopped delivering {} to {}: {error}", key.1, key.0);
                }
                dispatcher.finish(&key);
            });
        }
    }

    fn finish(&self, key: &OrderKey) {
        let mut tables = self.tables();
        tables.running.remove(key);
        let ended = tables.running_loads.remove(key);
        tables.ended_loads.extend(ended);
        drop(tables);
        self.settled.notify_one();
    }

    fn next_fencing(&self, term: Term) -> FencingNumber {
        let mut tables = self.tables();
        if tables.term != term {
            tables.term = term;
            tables.sequence = 0;
        }
        tables.sequence += 1;
        (term << 32) | u64::from(tables.sequence)
    }

    async fn reserve_and_deliver(
        &self,
        target: &TargetConfig,
        fencing: FencingNumber,
        action: &OrderAction,
    ) -> Result<()> {
        let reserve = Command::Reserve {
            target: target.id.clone(),
            fencing,
            action: action.clone(),
        };
        match self.voter.propose(reserve).await? {
            Outcome::Reserve(ReserveOutcome::Granted) => {}
            other => {
                info!(
                    "order: {fencing} to {} could not be reserved and is not sent: {other:?}",
                    target.id
                );
                return Ok(());
            }
        }
        self.deliver_until_settled(target, fencing, action, DeliveryRecord::default())
            .await
    }

    /// Delivers an order, repeatedly if needed, until a report settles it or this voter no longer
    /// leads.
    async fn deliver_until_settled(
        &self,
        target: &TargetConfig,
        fencing: FencingNumber,
        action: &OrderAction,
        mut delivery: DeliveryRecord,
    ) -> Result<()> {
        let mode = if target.checks_fencing {
            FencingMode::Enforced
        } else {
            FencingMode::Ignored
        };
        let term = fencing >> 32;
        let mut last_send = Instant::now().checked_sub(RESEND_INTERVAL);
        let mut last_counted = Instant::now();
        let mut next_warning = Instant::now() + SLOW_ORDER_INTERVAL;
        loop {
            // A leader that was partitioned or paused must not deliver an order on an expired
            // lease.
            let valid_lease = || self.voter.lease().filter(LeaderLease::is_valid);
            let Some(lease) = valid_lease() else {
                return Err(Error::NotLeader { leader: None });
            };
            let report =
                match client::read_report(&self.client, &target.address, ENGINE_TIMEOUT).await {
                    Ok(report) => report,
                    Err(error) => {
                        debug!(
                            "order: report request for {fencing} to {} failed, retrying: {error}",
                            target.id
                        );
                        tokio::time::sleep(REPORT_INTERVAL).await;
                        continue;
                    }
                };
            let has_restarted = delivery
                .sent_to_incarnation
                .is_some_and(|incarnation| incarnation != report.incarnation);
            if has_restarted && last_counted.elapsed() >= RESTART_REPORT_INTERVAL {
                delivery.reports_without_order += 1;
                last_counted = Instant::now();
            }
            match evaluate_order(action, fencing, mode, &delivery, &report) {
                OrderDecision::Confirmed => {
                    self.record_incarnation(target, &report).await?;
                    return self.settle(target, fencing, SettleResult::Confirmed).await;
                }
                OrderDecision::Dropped => {
                    self.record_incarnation(target, &report).await?;
                    return self.settle(target, fencing, SettleResult::Dropped).await;
                }
                OrderDecision::Resend
                    if last_send.is_none_or(|sent| sent.elapsed() >= RESEND_INTERVAL) =>
                {
                    last_send = Some(Instant::now());
                    delivery
                        .sent_to_incarnation
                        .get_or_insert(report.incarnation);
                    // Once the engine has accepted a later number, it refuses numbers of an earlier
                    // term, and must do so.
                    if target.checks_fencing && lease.term != term {
                        self.supersede(target, fencing, lease).await;
                    } else {
                        self.deliver(target, fencing, action, &mut delivery).await;
                    }
                }
                OrderDecision::Resend | OrderDecision::Pending => {}
            }
            if Instant::now() >= next_warning {
                warn!(
                    "order: {fencing} to {} is still not settled, delivery continues: {action:?}",
                    target.id
                );
                next_warning += SLOW_ORDER_INTERVAL;
            }
            tokio::time::sleep(REPORT_INTERVAL).await;
        }
    }

    /// Makes an engine that checks fencing numbers refuse all delayed copies of an order of an
    /// earlier term, by unloading a model that does not exist with a number of this term.
    async fn supersede(
        &self,
        target: &TargetConfig,
        superseded: FencingNumber,
        lease: LeaderLease,
    ) {
        let fencing = self.next_fencing(lease.term);
        let placeholder = ResidentCopy {
            model: "-".into(),
            version: "-".into(),
            first_accelerator: 0,
            span: 1,
            memory_mib: 0,
            is_ready: false,
        };
        info!(
            "order: {fencing} to {} supersedes {superseded} of an earlier term",
            target.id
        );
        let mut delivery = DeliveryRecord::default();
        self.deliver(
            target,
            fencing,
            &OrderAction::Unload(placeholder),
            &mut delivery,
        )
        .await;
    }

    async fn deliver(
        &self,
        target: &TargetConfig,
        fencing: FencingNumber,
        action: &OrderAction,
        delivery: &mut DeliveryRecord,
    ) {
        // Checks the lease again just before the order is sent, as the last check before the
        // effect.
        if !self.voter.lease().is_some_and(|lease| lease.is_valid()) {
            return;
        }
        let url = format!("http://{}/engine/v1/order", target.address);
        let order = EngineOrder {
            fencing,
            action: action.clone(),
        };
        let call = self.client.post(url).timeout(ENGINE_TIMEOUT).json(&order);
        match call.send().await {
            Ok(answer) => {
                delivery.attempts += 1;
                if let Ok(answer) = answer.json::<OrderAnswer>().await {
                    delivery.answers += 1;
                    delivery.last_answer = Some(answer);
                    info!("order: answer to {fencing} from {}: {answer:?}", target.id);
                }
            }
            // Without a connection nothing was sent, so this is not an attempt.
            Err(error) if error.is_connect() => {
                warn!(
                    "order: connection for {fencing} to {} failed, nothing was sent: {error}",
                    target.id
                );
            }
            Err(error) => {
                delivery.attempts += 1;
                warn!(
                    "order: no answer to {fencing} from {}, its outcome is unknown: {error}",
                    target.id
                );
            }
        }
    }

    /// Records a new incarnation of the engine before an order is settled by its report. Otherwise
    /// a delayed older report of that incarnation would later be accepted as new, and copies loaded
    /// since then would lose their reservations; see docs/model-checking.md.
    async fn record_incarnation(&self, target: &TargetConfig, report: &EngineReport) -> Result<()> {
        let known = self.voter.read_local(|state| {
            let memory = state.memory().target(&target.id);
            memory.and_then(crate::state::TargetMemory::incarnation)
        });
        if known == Some(report.incarnation) {
            return Ok(());
        }
        let confirm = Command::ConfirmReport {
            target: target.id.clone(),
            incarnation: report.incarnation,
            last_fencing: report.last_fencing,
            copies: report.copies.clone(),
        };
        self.voter.propose(confirm).await.map(drop)
    }

    async fn settle(
        &self,
        target: &TargetConfig,
        fencing: FencingNumber,
        result: SettleResult,
    ) -> Result<()> {
        info!("order: {fencing} to {} is settled: {result:?}", target.id);
        let settle = Command::Settle {
            target: target.id.clone(),
            fencing,
            result,
        };
        // Settling is idempotent, so an unconfirmed proposal is repeated.
        while let Err(error) = self.voter.propose(settle.clone()).await {
            if !matches!(error, Error::Unconfirmed { .. }) {
                return Err(error);
            }
        }
        Ok(())
    }
}

/// Returns the command that records a report, or `None` if it adds nothing to the state.
#[must_use]
pub fn report_command(
    state: &ControlState,
    target: &TargetId,
    report: &EngineReport,
) -> Option<Command> {
    let memory = state.memory().target(target);
    let is_settled = memory.is_none_or(crate::state::TargetMemory::is_settled);
    let is_known = memory.is_some_and(|memory| {
        memory.incarnation() == Some(report.incarnation) && memory.confirmed() == report.copies
    });
    // While an order is unsettled, only the task that delivers it acts on reports.
    let is_new = is_settled && report.in_progress.is_none() && !is_known;
    is_new.then(|| Command::ConfirmReport {
        target: target.clone(),
        incarnation: report.incarnation,
        last_fencing: report.last_fencing,
        copies: report.copies.clone(),
    })
}
