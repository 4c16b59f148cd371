use std::time::Duration;

use compact_str::CompactString;

use super::{
    gateway_table::GatewayTable,
    plan_confirmations::PlanConfirmations,
    plan_pusher::LaggingGateway,
    state::{CoordinatorState, LeaderTables},
};
use crate::{
    error::{Error, Result},
    ids::{EntryKey, Revision},
    state::ControlState,
    sync::{self, EvacuationSection, PlanConfirmation, PlanNews, PlanUpdate, ServingState},
};

/// Interval at which a publication checks whether leases have ended.
const CONFIRMATION_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time after the longest lease after which a publication counts as unconfirmed.
const CONFIRMATION_MARGIN: Duration = Duration::from_millis(500);

/// Maximum number of VMs that the line of an acknowledgement names.
const MAX_NAMED_VMS: usize = 8;

/// Maximum size of news. A datagram of this size fits one packet, whose other bytes are headers.
const MAX_NEWS_BYTES: usize = 1_350;

/// What an acknowledgement rests on, for its log line.
#[derive(Clone, Debug)]
pub(super) struct AcknowledgementBasis {
    /// How long gateways took.
    pub waited: Duration,
    /// Number of gateways and delegates with a lease, all of which have the plan or evacuation.
    pub leased: usize,
    /// Number of gateways that have lately synced and have no lease.
    pub unleased: usize,
    /// Some of their VMs, separated by commas.
    pub unleased_vms: CompactString,
}

/// Acknowledgement of plans and evacuations by the leader; see docs/design.md, section 18.
impl CoordinatorState {
    /// Waits until each gateway has what the log contains or newer in force, or has no lease on older, and returns
    /// who was counted.
    ///
    /// # Errors
    /// [`Error::Unconfirmed`] when this daemon does not lead or gateways renew their leases without the plan. The
    /// change is in the log, so the operator must never be sent on as if nothing had happened.
    pub(super) async fn await_confirmation(
        &self,
        needed: ServingState,
    ) -> Result<AcknowledgementBasis> {
        let began_at = self.now();
        let deadline = began_at + self.plan_lease + CONFIRMATION_MARGIN;
        loop {
            let confirmed = self.confirmed.notified();
            let now = self.now();
            let lease = self.lease().map_err(|_| Error::Unconfirmed {
                reason: format!("leadership ended before gateways confirmed {needed}"),
            })?;
            let behind = {
                let mut tables = self.tables(lease);
                tables.confirmations.expire(now);
                if tables.confirmations.is_confirmed(needed, now) {
                    let waited = self.now().saturating_sub(began_at);
                    return Ok(acknowledgement_basis(&tables, waited, now));
                }
                tables.confirmations.count_behind(needed, now)
            };
            if now >= deadline {
                let reason = format!("{behind} gateways do not have {needed}");
                return Err(Error::Unconfirmed { reason });
            }
            // Leases end without a notification.
            let _ = tokio::time::timeout(CONFIRMATION_CHECK_INTERVAL, confirmed).await;
        }
    }

    /// Records that a gateway has put a plan in force and evacuations in effect.
    pub(super) fn confirm_plan(&self, confirmation: &PlanConfirmation) {
        let Ok(lease) = self.lease() else {
            if self.delegate().confirm(confirmation) {
                self.delegate_due.notify_one();
            }
            return;
        };
        let (gateway, state) = (&confirmation.gateway, confirmation.serving_state());
        if self.tables(lease).confirmations.confirm(gateway, state) {
            self.confirmed.notify_waiters();
        }
    }

    /// Returns at most `count` gateways that lack the newest plan or evacuation and are due to be told of it, of
    /// those that sync with this coordinator.
    pub(super) fn lagging_gateways(
        &self,
        count: usize,
        is_due: impl Fn(&EntryKey, ServingState) -> bool,
    ) -> Vec<LaggingGateway> {
        let Ok(lease) = self.lease() else {
            let delegate = self.delegate();
            if !delegate.is_needed() {
                return Vec::new();
            }
            return self.lagging_of(&delegate.gateways, &delegate.confirmations, count, is_due);
        };
        let tables = self.tables(lease);
        self.lagging_of(&tables.gateways, &tables.confirmations, count, is_due)
    }

    /// Returns the evacuated data centres of the log for a receiver that has those of an earlier revision.
    pub(super) fn evacuations_since(&self, held: Revision) -> Option<EvacuationSection> {
        let section = |state: &ControlState| state.evacuations().section_since(held);
        self.voter.read_local(section)
    }

    /// Returns the newest plan and the latest revision that the log has brought.
    pub(super) fn newest_state(&self) -> ServingState {
        let revision = |state: &ControlState| state.evacuations().revision();
        let version = self.plans().newest_version().unwrap_or(0);
        ServingState::new(version, self.voter.read_local(revision))
    }

    fn lagging_of(
        &self,
        gateways: &GatewayTable,
        confirmations: &PlanConfirmations,
        count: usize,
        is_due: impl Fn(&EntryKey, ServingState) -> bool,
    ) -> Vec<LaggingGateway> {
        let mut plans = self.plans();
        let Some(version) = plans.newest_version() else {
            return Vec::new();
        };
        let section = self.evacuations_since(0).unwrap_or_default();
        let newest = ServingState::new(version, section.revision);
        let gateways = gateways.news_addresses();
        let lagging = gateways.filter_map(|(gateway, address)| {
            let held = confirmations.state(gateway)?;
            (!held.covers(newest) && is_due(gateway, newest)).then_some((gateway, address, held))
        });
        let lagging = lagging.take(count).filter_map(|(gateway, address, held)| {
            let news = plans.news_since(held.plan_version).unwrap_or_else(|error| {
                spdlog::error!("plan: encoding the news for {} failed: {error}", gateway.vm);
                None
            });
            let lacks_evacuations = held.evacuation_revision < section.revision;
            Some(LaggingGateway {
                gateway: gateway.clone(),
                address,
                news: make_news(news, lacks_evacuations.then_some(&section))?,
                state: newest,
            })
        });
        lagging.collect()
    }
}

fn acknowledgement_basis(
    tables: &LeaderTables,
    waited: Duration,
    now: Duration,
) -> AcknowledgementBasis {
    let confirmations = &tables.confirmations;
    let gateways = tables.gateways.keys();
    let unleased = gateways.filter(|gateway| !confirmations.is_leased(gateway, now));
    let unleased: Vec<&str> = unleased.map(|gateway| gateway.vm.as_str()).collect();
    let named = &unleased[..unleased.len().min(MAX_NAMED_VMS)];
    AcknowledgementBasis {
        waited,
        leased: confirmations.count_leased(now),
        unleased: unleased.len(),
        unleased_vms: named.join(",").into(),
    }
}

/// Returns the news for a gateway; `None` if there is nothing to tell. What does not fit into a datagram is left to a
/// sync, evacuations last, since those are in effect only once all gateways have them.
fn make_news(
    update: Option<PlanUpdate>,
    evacuations: Option<&EvacuationSection>,
) -> Option<PlanNews> {
    let Some(section) = evacuations else {
        return update.map(|update| PlanNews {
            update: Some(update),
            evacuation_revision: 0,
            evacuations: None,
        });
    };
    let deferred = update.as_ref().map(|update| PlanUpdate::Deferred {
        version: update.version(),
    });
    let mut news = PlanNews {
        update,
        evacuation_revision: section.revision,
        evacuations: Some(section.clone()),
    };
    let fits = |news: &PlanNews| {
        sync::encode_compact(news).is_ok_and(|bytes| bytes.len() <= MAX_NEWS_BYTES)
    };
    if !fits(&news) {
        news.update = deferred;
    }
    if !fits(&news) {
        news.evacuations = None;
    }
    Some(news)
}
