use std::sync::Arc;

use serde_bytes::ByteBuf;
use spdlog::prelude::*;

use crate::{
    adapter::PlatformAdapter,
    error::Result,
    state::{Command, ControlState},
    sync::PublishedPlan,
    voter::VoterHandle,
};

/// Takes plans from operators and returns the newest.
pub struct PlanStore {
    voter: VoterHandle,
    adapter: Arc<dyn PlatformAdapter>,
}

impl PlanStore {
    /// Returns a desk that writes to a voter's log.
    #[must_use]
    pub fn new(voter: VoterHandle, adapter: Arc<dyn PlatformAdapter>) -> Self {
        Self { voter, adapter }
    }

    /// Puts a plan in force unless its version is not higher than that of the plan in force. A plan
    /// that was overtaken is accepted all the same, so that a resent one is never refused.
    ///
    /// # Errors
    /// [`crate::error::Error::Decode`] when the document is not a valid plan,
    /// [`crate::error::Error::NotLeader`] when another daemon leads,
    /// [`crate::error::Error::Unconfirmed`] when the plan may come into force later.
    pub async fn publish(&self, document: &[u8]) -> Result<()> {
        let version = self.adapter.decode_plan(document)?.version;
        let held = self.voter.read(ControlState::plan_version).await?;
        if version <= held {
            info!("plan: overtaken", kv: { plan = version, in_force = held });
            return Ok(());
        }
        let plan = PublishedPlan {
            version,
            document: ByteBuf::from(document),
        };
        self.voter.propose(Command::Publish(plan)).await?;
        info!("plan: accepted", kv: { plan = version, before = held });
        Ok(())
    }

    /// Returns the newest plan, including every one accepted before the call.
    ///
    /// # Errors
    /// [`crate::error::Error::NotLeader`] when this daemon cannot prove which one is the newest.
    pub async fn newest(&self) -> Result<Option<Arc<PublishedPlan>>> {
        self.voter.read(ControlState::plan).await
    }
}
