//! Choice of a target for a request while targets are brittle; see docs/design/brittle.md.

use super::{
    cold_choice::{AdmittedTarget, RefusedTargets},
    proxy::GatewayProxy,
    rejection_permit::RejectionPermit,
    request::GatewayRequest,
    send_permit::SendPermit,
    targets::ChosenTarget,
};
use crate::{
    brittle::{RejectionLimit, SendAdmission},
    ids::TargetId,
    route::{PoolId, Warmth},
};

/// Maximum number of targets that are tried for one request at a time.
const MAX_TRIED_TARGETS: usize = 8;

impl GatewayProxy {
    /// Admits a request to a chosen target or, if that is brittle and could turn the request away, to another one.
    pub(super) async fn admit_brittle(
        &self,
        request: &GatewayRequest,
        pool: &PoolId,
        tried: &[TargetId],
        first: ChosenTarget,
    ) -> Option<AdmittedTarget> {
        let mut excluded: RefusedTargets = tried.into();
        let mut permitted = None;
        let mut next = Some(first);
        for _ in 0..MAX_TRIED_TARGETS {
            let Some(chosen) = next.take() else {
                break;
            };
            let target = chosen.choice.target.clone();
            let max_gap = request.route.event_gap_target;
            let admission = if self.targets.has_room(&chosen, max_gap) {
                self.targets.admit(&target)
            } else {
                SendAdmission::Full
            };
            match admission {
                SendAdmission::Admitted => return Some(AdmittedTarget::warm(chosen)),
                SendAdmission::NeedsPermit(limit) => {
                    permitted.get_or_insert((chosen, limit));
                }
                SendAdmission::Full => {}
            }
            excluded.push(target);
            next = self.choose(request, pool, &excluded, Some(Warmth::Warm));
        }
        let (chosen, limit) = permitted?;
        self.admit_with_permit(request, chosen, limit).await
    }

    async fn admit_with_permit(
        &self,
        request: &GatewayRequest,
        chosen: ChosenTarget,
        limit: RejectionLimit,
    ) -> Option<AdmittedTarget> {
        let target = &chosen.choice.target;
        let limit_id = limit.ledger_id(target);
        let tokens = self.reserve_send(request, &limit_id).await?;
        let permit = RejectionPermit::new(tokens);
        // The target may have been filled since.
        let is_admitted = self.targets.admit_with_permit(target);
        is_admitted.then_some(AdmittedTarget {
            chosen,
            permit: Some(SendPermit::Rejection(permit)),
        })
    }
}
