use std::time::Duration;

use spdlog::prelude::*;

use super::{
    gateway_table::GatewayTable, plan_confirmations::PlanConfirmations,
    plan_pusher::LaggingGateway, state::CoordinatorState,
};
use crate::{
    error::{Error, Result},
    ids::EntryKey,
    plan::PlanVersion,
    sync::{PlanConfirmation, PlanNews},
};

/// Interval at which a publication checks whether leases have ended.
const CONFIRMATION_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time after the longest lease after which a publication counts as unconfirmed.
const CONFIRMATION_MARGIN: Duration = Duration::from_millis(500);

/// Acknowledgement of plans by the leader; see docs/design.md, section 18.
impl CoordinatorState {
    /// Waits until each gateway has a plan of the log or a newer one in force, or has no lease on an older one.
    ///
    /// # Errors
    /// [`Error::Unconfirmed`] when this daemon does not lead or gateways renew their leases without the plan. The
    /// plan is in the log, so the operator must never be sent on as if nothing had happened.
    pub(super) async fn await_confirmation(&self, version: PlanVersion) -> Result<()> {
        let began_at = self.now();
        let deadline = began_at + self.plan_lease + CONFIRMATION_MARGIN;
        loop {
            let confirmed = self.confirmed.notified();
            let now = self.now();
            let lease = self.lease().map_err(|_| Error::Unconfirmed {
                reason: format!("leadership ended before gateways confirmed plan {version}"),
            })?;
            let behind = {
                let mut tables = self.tables(lease);
                tables.confirmations.expire(now);
                if tables.confirmations.is_confirmed(version, now) {
                    break;
                }
                tables.confirmations.count_behind(version, now)
            };
            if now >= deadline {
                let reason = format!("{behind} gateways do not have plan {version}");
                return Err(Error::Unconfirmed { reason });
            }
            // Leases end without a notification.
            let _ = tokio::time::timeout(CONFIRMATION_CHECK_INTERVAL, confirmed).await;
        }
        info!("plan: confirmed", kv: {
            plan = version,
            waited_ms = self.now().saturating_sub(began_at).as_millis(),
        });
        Ok(())
    }

    /// Records that a gateway has put a plan in force.
    pub(super) fn confirm_plan(&self, confirmation: &PlanConfirmation) {
        let Ok(lease) = self.lease() else {
            if self.delegate().confirm(confirmation) {
                self.delegate_due.notify_one();
            }
            return;
        };
        let (gateway, version) = (&confirmation.gateway, confirmation.version);
        if self.tables(lease).confirmations.confirm(gateway, version) {
            self.confirmed.notify_waiters();
        }
    }

    /// Returns at most `count` gateways that lack the newest plan and are due to be told of it, of
    /// those that sync with this coordinator.
    pub(super) fn lagging_gateways(
        &self,
        count: usize,
        is_due: impl Fn(&EntryKey, PlanVersion) -> bool,
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

    fn lagging_of(
        &self,
        gateways: &GatewayTable,
        confirmations: &PlanConfirmations,
        count: usize,
        is_due: impl Fn(&EntryKey, PlanVersion) -> bool,
    ) -> Vec<LaggingGateway> {
        let mut plans = self.plans();
        let Some(newest) = plans.newest_version() else {
            return Vec::new();
        };
        let gateways = gateways.news_addresses();
        let lagging = gateways.filter_map(|(gateway, address)| {
            let held = confirmations.version(gateway)?;
            (held < newest && is_due(gateway, newest)).then_some((gateway, address, held))
        });
        let lagging = lagging.take(count).filter_map(|(gateway, address, held)| {
            let news = plans.news_since(held).unwrap_or_else(|error| {
                spdlog::error!("plan: encoding the news for {} failed: {error}", gateway.vm);
                None
            });
            Some(LaggingGateway {
                gateway: gateway.clone(),
                address,
                news: PlanNews { update: news? },
                version: newest,
            })
        });
        lagging.collect()
    }
}
