//! Choice of a cold target, for a request that no warm target has room for.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::{
    proxy::GatewayProxy, request::GatewayRequest, send_permit::SendPermit, targets::ChosenTarget,
    warmup_permit::WarmupPermit,
};
use crate::{
    entry::{ReservedTokens, TokenPatience},
    ids::{TargetId, TeamId},
    route::{PoolId, Warmth},
    warmup::{MAX_RESERVATION_WAIT, REQUEST_TOKENS, limit_id},
};

/// Part of the wait for a reservation by which the leader should have granted it. The rest covers the way of
/// the grant.
const GRANT_WAIT: Duration = Duration::from_millis(40);

/// A target that a request may be sent to.
pub struct AdmittedTarget {
    pub chosen: ChosenTarget,
    /// What the ledger has granted for a request that needs it.
    pub permit: Option<SendPermit>,
}

impl AdmittedTarget {
    /// Admits a request to a warm target.
    pub fn warm(chosen: ChosenTarget) -> Self {
        Self {
            chosen,
            permit: None,
        }
    }
}

/// Cold or brittle targets that a request could not be admitted to.
pub type RefusedTargets = SmallVec<[TargetId; 4]>;

impl GatewayProxy {
    /// Chooses a warm target, or else a cold one with a reservation, for another attempt of a request.
    pub(super) async fn choose_again(
        &self,
        request: &GatewayRequest,
        pool: &PoolId,
        tried: &[TargetId],
    ) -> Option<AdmittedTarget> {
        match self.choose(request, pool, tried, Some(Warmth::Warm)) {
            Some(chosen) if self.targets.is_brittle(&chosen.choice.target) => {
                let admitted = self.admit_brittle(request, pool, tried, chosen).await;
                if admitted.is_some() {
                    return admitted;
                }
            }
            Some(chosen) => return Some(AdmittedTarget::warm(chosen)),
            None => {}
        }
        let mut excluded = tried.into();
        self.reserve_cold(request, pool, &mut excluded).await
    }

    /// Reserves a request at a cold target with room. Adds the target to `excluded` if it gets no reservation,
    /// so that the next call tries another one; once all are excluded, none is.
    pub(super) async fn reserve_cold(
        &self,
        request: &GatewayRequest,
        pool: &PoolId,
        excluded: &mut RefusedTargets,
    ) -> Option<AdmittedTarget> {
        let Some(chosen) = self.choose(request, pool, excluded, Some(Warmth::Cold)) else {
            excluded.clear();
            return None;
        };
        let target = chosen.choice.target.clone();
        if !self
            .targets
            .has_room(&chosen, request.route.event_gap_target)
        {
            excluded.push(target);
            return None;
        }
        let Some(tokens) = self.reserve_send(request, &limit_id(&target)).await else {
            excluded.push(target);
            return None;
        };
        Some(AdmittedTarget {
            chosen,
            permit: Some(SendPermit::Warmup(WarmupPermit::new(tokens))),
        })
    }

    /// Reserves one request under a target's limit in the leader's ledger; `None` if it is not granted in time.
    pub(super) async fn reserve_send(
        &self,
        request: &GatewayRequest,
        limit: &TeamId,
    ) -> Option<ReservedTokens> {
        let now = Instant::now();
        let patience = TokenPatience {
            shortage: now + GRANT_WAIT,
            answer: now + MAX_RESERVATION_WAIT,
        };
        let priority = 9 - request.rank();
        let reserved = self
            .allowance
            .reserve(limit, REQUEST_TOKENS, priority, patience);
        let reserved = tokio::time::timeout(MAX_RESERVATION_WAIT, reserved).await;
        reserved.ok()?.ok()
    }
}
