use std::sync::Arc;

use serde_bytes::ByteBuf;
use spdlog::prelude::*;

use super::state::CoordinatorState;
use crate::{
    adapter::PlatformAdapter,
    error::Result,
    plan::PlanVersion,
    state::{Command, ControlState},
    sync::{PublishedPlan, ServingState},
    voter::VoterHandle,
};

/// Replicated store of the plans that operators publish.
pub struct PlanStore {
    state: Arc<CoordinatorState>,
    voter: VoterHandle,
    adapter: Arc<dyn PlatformAdapter>,
}

impl PlanStore {
    /// Returns a store that writes to the log of a coordinator.
    #[must_use]
    pub fn new(state: Arc<CoordinatorState>) -> Self {
        Self {
            voter: state.voter.clone(),
            adapter: Arc::clone(&state.adapter),
            state,
        }
    }

    /// Publishes a plan, which comes into force if its version is higher than that of the plan in
    /// force. Otherwise the call has no effect, so that a plan can be published again after a lost
    /// answer. The call succeeds once each gateway has the plan or a newer one in force, or has no
    /// lease on an older one.
    ///
    /// # Errors
    /// [`crate::error::Error::Decode`] when the document is not a valid plan,
    /// [`crate::error::Error::NotLeader`] when another daemon leads and the log does not contain the plan,
    /// [`crate::error::Error::Unconfirmed`] when the plan is not committed or not confirmed yet and may
    /// come into force later. Once the log may contain the plan, all errors are of this kind.
    pub async fn publish(&self, document: &[u8]) -> Result<()> {
        let version = self.adapter.decode_plan(document)?.version;
        let in_force = self.voter.read(ControlState::plan_version).await?;
        if version <= in_force {
            info!("plan: overtaken", kv: { plan = version, in_force = in_force });
            return self.await_gateways(version).await;
        }
        let plan = PublishedPlan {
            version,
            document: ByteBuf::from(document),
        };
        self.voter.propose(Command::Publish(plan)).await?;
        info!("plan: accepted", kv: { plan = version, before = in_force });
        self.await_gateways(version).await
    }

    /// Waits until all gateways have a plan or a newer one in force.
    async fn await_gateways(&self, version: PlanVersion) -> Result<()> {
        let needed = ServingState::with_plan(version);
        let basis = self.state.await_confirmation(needed).await?;
        info!("plan: confirmed", kv: {
            plan = version,
            waited_ms = basis.waited.as_millis(),
            leased = basis.leased,
            unleased = basis.unleased,
            unleased_vms = basis.unleased_vms.as_str(),
        });
        Ok(())
    }

    /// Returns the newest plan, taking into account every plan accepted before the call.
    ///
    /// # Errors
    /// [`crate::error::Error::NotLeader`] when this daemon cannot prove that it leads.
    pub async fn newest(&self) -> Result<Option<Arc<PublishedPlan>>> {
        self.voter.read(ControlState::plan).await
    }
}
