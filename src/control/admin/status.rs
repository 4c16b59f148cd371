use std::{sync::Arc, time::Duration};

use rocket::{State, get, serde::json::Json};

use super::{AdminError, Operator, drains::drain_views, error::AdminResult};
use crate::{
    border::{FleetConfig, TargetConfig},
    code::ResultCode,
    control::SyncService,
    ids::{EntryKey, TargetId},
    operator::{
        ClaimsStatus, EngineStatus, EntryFreshness, OrderStatus, RevisionStatus, StatusView,
        SuspectsStatus,
    },
    soft_state::EntryStatus,
    state::{BlockState, ControlState, TargetMemory},
    voter::{LeaderLease, VoterHandle},
};

/// Returns the status of the fleet as seen by the leader.
#[get("/status")]
pub async fn get_status(
    _operator: Operator,
    voter: &State<VoterHandle>,
    service: &State<Arc<SyncService>>,
) -> AdminResult<StatusView> {
    let mut view = voter.read(replicated_status).await?;
    let Some(lease) = voter.lease().filter(LeaderLease::is_valid) else {
        return Err(AdminError::new(
            ResultCode::NotLeader,
            "leadership was lost",
        ));
    };
    view.term = lease.term;
    let freshness = |(key, status, age): (EntryKey, EntryStatus, Duration)| EntryFreshness {
        vm: key.vm,
        incarnation: format!("{:016x}", key.incarnation),
        data_centre: status.data_centre,
        revision: status.revision,
        in_force: if status.revision == view.revision {
            RevisionStatus::Current
        } else {
            RevisionStatus::Behind
        },
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
    };
    view.entries = service.entries(lease).into_iter().map(freshness).collect();
    Ok(Json(view))
}

/// Builds the part of the status that comes from the replicated state.
fn replicated_status(state: &ControlState) -> StatusView {
    let (revision, config) = state.config();
    let engines = state.memory().iter();
    let suspects = state.crashes().suspects(state.now_ms());
    let claims = state.claims();
    StatusView {
        term: 0,
        applied: state.applied(),
        level: state.level(),
        revision,
        entries: Vec::new(),
        engines: engines
            .map(|(id, memory)| engine_status(config.as_deref(), id, memory))
            .collect(),
        drains: drain_views(state),
        claims: ClaimsStatus {
            total: claims.len(),
            open: claims.open_claim_counts().map(|(_, open)| open).sum(),
            recorded_bytes: claims.recorded_bytes(),
        },
        suspects: SuspectsStatus {
            total: state.crashes().len(),
            blocked: suspects
                .filter(|(_, block)| *block == BlockState::Blocked)
                .count(),
        },
    }
}

fn engine_status(
    config: Option<&FleetConfig>,
    id: &TargetId,
    memory: &TargetMemory,
) -> EngineStatus {
    let is_engine = |target: &&TargetConfig| target.id == *id;
    let target = config.and_then(|config| config.targets.iter().find(is_engine));
    let accelerators = target.map_or(0, |target| target.accelerators);
    EngineStatus {
        target: id.clone(),
        incarnation: memory
            .incarnation()
            .map(|incarnation| format!("{incarnation:016x}")),
        copies: memory.confirmed().to_vec(),
        reserved_mib: (0..accelerators)
            .map(|accelerator| memory.used_mib(accelerator))
            .collect(),
        memory_mib: target.map_or(0, |target| target.accelerator_memory_mib),
        orders: memory
            .orders()
            .map(|(fencing, order)| OrderStatus {
                fencing,
                action: order.action.clone(),
            })
            .collect(),
    }
}
