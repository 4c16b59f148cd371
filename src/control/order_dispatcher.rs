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

/// Time that an engine has to answer an order or a report.
const ENGINE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time between two reports while an order is not settled.
const REPORT_PERIOD: Duration = Duration::from_millis(100);
/// Time between two deliveries of an order that may be lost.
const RESEND_PERIOD: Duration = Duration::from_millis(1_000);
/// Time between two reports of a new life of an engine that count as separate readings.
const SETTLING_TIME: Duration = Duration::from_secs(5);
/// Time after which an order that is not settled is logged again.
const SLOW_ORDER: Duration = Duration::from_secs(60);

/// Name of an order.
pub type OrderKey = (TargetId, FencingNumber);

/// Carries out orders: reserves their memory, delivers them and settles them by the engine's
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
    /// Loads that the weight store counts until their order ends.
    running_loads: HashMap<OrderKey, LoadKind>,
    ended_loads: Vec<LoadKind>,
}

impl OrderDispatcher {
    /// Returns a desk without orders.
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

    /// Waits until an order is settled.
    pub async fn settled(&self) {
        self.settled.notified().await;
    }

    /// Returns the loads that ended since the last call.
    #[must_use]
    pub fn take_ended_loads(&self) -> Vec<LoadKind> {
        std::mem::take(&mut self.tables().ended_loads)
    }

    /// Starts an order. `kind` is the load that the weight store counts, if any.
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
        let (desk, target) = (Arc::clone(self), target.clone());
        tokio::spawn(async move {
            if let Err(error) = desk.reserve_and_deliver(&target, fencing, &action).await {
                warn!("order: {fencing} to {} stops: {error}", target.id);
            }
            desk.end(&key);
        });
    }

    /// Takes up the orders that a former leader left unsettled.
    pub fn inherit(self: &Arc<Self>, config: &FleetConfig) {
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
            info!("order: {} to {} is taken up: {action:?}", key.1, key.0);
            let desk = Arc::clone(self);
            tokio::spawn(async move {
                let delivery = DeliveryRecord::inherited();
                if let Err(error) = desk.follow_up(&target, key.1, &action, delivery).await {
                    warn!("order: {} to {} stops: {error}", key.1, key.0);
                }
                desk.end(&key);
            });
        }
    }

    fn end(&self, key: &OrderKey) {
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
                    "order: {fencing} to {} is not reserved: {other:?}",
                    target.id
                );
                return Ok(());
            }
        }
        self.follow_up(target, fencing, action, DeliveryRecord::default())
            .await
    }

    /// Delivers an order until a report settles it, as long as this voter leads.
    async fn follow_up(
        &self,
        target: &TargetConfig,
        fencing: FencingNumber,
        action: &OrderAction,
        mut delivery: DeliveryRecord,
    ) -> Result<()> {
        let check = if target.checks_fencing {
            FencingMode::Enforced
        } else {
            FencingMode::Ignored
        };
        let term = fencing >> 32;
        let mut last_send = Instant::now().checked_sub(RESEND_PERIOD);
        let mut last_reading = Instant::now();
        let mut next_warning = Instant::now() + SLOW_ORDER;
        loop {
            // A leader that was cut off or paused must not deliver an order on an old lease.
            let leads = || self.voter.lease().filter(LeaderLease::is_valid);
            let Some(lease) = leads() else {
                return Err(Error::NotLeader { leader: None });
            };
            let report =
                match client::read_report(&self.client, &target.address, ENGINE_TIMEOUT).await {
                    Ok(report) => report,
                    Err(error) => {
                        debug!("order: {fencing} to {}: {error}", target.id);
                        tokio::time::sleep(REPORT_PERIOD).await;
                        continue;
                    }
                };
            let is_quiet = delivery
                .sent_to_incarnation
                .is_some_and(|life| life != report.incarnation);
            if is_quiet && last_reading.elapsed() >= SETTLING_TIME {
                delivery.reports_without_order += 1;
                last_reading = Instant::now();
            }
            match evaluate_order(action, fencing, check, &delivery, &report) {
                OrderDecision::Confirmed => {
                    self.record_life(target, &report).await?;
                    return self.settle(target, fencing, SettleResult::Confirmed).await;
                }
                OrderDecision::Dropped => {
                    self.record_life(target, &report).await?;
                    return self.settle(target, fencing, SettleResult::Dropped).await;
                }
                OrderDecision::Resend
                    if last_send.is_none_or(|sent| sent.elapsed() >= RESEND_PERIOD) =>
                {
                    last_send = Some(Instant::now());
                    delivery
                        .sent_to_incarnation
                        .get_or_insert(report.incarnation);
                    // The number of an earlier term would be refused, and must be, once a later
                    // one was accepted.
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
                    "order: {fencing} to {} is still not settled: {action:?}",
                    target.id
                );
                next_warning += SLOW_ORDER;
            }
            tokio::time::sleep(REPORT_PERIOD).await;
        }
    }

    /// Makes an engine that checks fencing numbers refuse all late copies of an order of an
    /// earlier term, by an unload of nothing with a number of this term.
    async fn supersede(&self, target: &TargetConfig, old: FencingNumber, lease: LeaderLease) {
        let fencing = self.next_fencing(lease.term);
        let nothing = ResidentCopy {
            model: "-".into(),
            version: "-".into(),
            first_accelerator: 0,
            span: 1,
            memory_mib: 0,
            is_ready: false,
        };
        info!("order: {fencing} to {} supersedes {old}", target.id);
        let mut delivery = DeliveryRecord::default();
        self.deliver(
            target,
            fencing,
            &OrderAction::Unload(nothing),
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
        // The last check before the effect.
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
                    info!("order: {fencing} to {}: {answer:?}", target.id);
                }
            }
            // Nothing was sent on a connection that was not made.
            Err(error) if error.is_connect() => {
                warn!("order: {fencing} to {} is not sent: {error}", target.id);
            }
            Err(error) => {
                delivery.attempts += 1;
                warn!("order: {fencing} to {} has no answer: {error}", target.id);
            }
        }
    }

    /// Records a new life of the engine before an order is settled by its report. Otherwise an
    /// older report of that life that arrives late would later count as news, and the copies that
    /// were loaded since would lose their reservations; see docs/model-checking.md.
    async fn record_life(&self, target: &TargetConfig, report: &EngineReport) -> Result<()> {
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
        // Settling twice has no effect, so that an unconfirmed outcome is simply repeated.
        while let Err(error) = self.voter.propose(settle.clone()).await {
            if !matches!(error, Error::Unconfirmed { .. }) {
                return Err(error);
            }
        }
        Ok(())
    }
}

/// Tells what a report adds to the state, as the command that records it.
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
    // While an order is under way, only its own follow-up reads reports.
    let is_news = is_settled && report.in_progress.is_none() && !is_known;
    is_news.then(|| Command::ConfirmReport {
        target: target.clone(),
        incarnation: report.incarnation,
        last_fencing: report.last_fencing,
        copies: report.copies.clone(),
    })
}
