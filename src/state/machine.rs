use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

use super::{ApplyOutcome, ApplyRequest, Command, Outcome, StampedCommand};
use crate::{
    border::FleetConfig,
    error::{Error, Result},
    ids::{LogIndex, RequestId, Revision},
};

/// State that every voter builds from the log.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ControlState {
    applied: LogIndex,
    now_ms: u64,
    revision: Revision,
    config: Option<Arc<FleetConfig>>,
    requests: BTreeMap<RequestId, (Arc<FleetConfig>, ApplyOutcome)>,
}

impl ControlState {
    /// Applies one log entry.
    pub fn apply(&mut self, index: LogIndex, stamped: &StampedCommand) -> Outcome {
        self.applied = index;
        // A new leader's clock may be behind; time in the state never goes back.
        self.now_ms = self.now_ms.max(stamped.at_ms);
        match &stamped.command {
            Command::Apply(request) => Outcome::Applied(self.apply_config(request)),
            // The tables behind these commands follow; nothing proposes them yet.
            _ => Outcome::Done,
        }
    }

    fn apply_config(&mut self, request: &ApplyRequest) -> ApplyOutcome {
        match self.requests.get(&request.request_id) {
            Some((config, outcome)) if **config == request.config => return outcome.clone(),
            Some(_) => return ApplyOutcome::RequestIdReused,
            None => {}
        }
        let config = Arc::new(request.config.clone());
        let outcome = if request.expected == self.revision {
            self.revision += 1;
            self.config = Some(Arc::clone(&config));
            ApplyOutcome::Accepted(self.revision)
        } else {
            ApplyOutcome::Conflict(self.revision)
        };
        self.requests
            .insert(request.request_id.clone(), (config, outcome.clone()));
        outcome
    }

    /// Returns the index of the last applied entry.
    #[must_use]
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Returns the revision in force and its configuration; `None` before the first one.
    #[must_use]
    pub fn config(&self) -> (Revision, Option<Arc<FleetConfig>>) {
        (self.revision, self.config.clone())
    }

    /// Encodes the whole state.
    ///
    /// # Errors
    /// [`Error::Decode`] when the state cannot be encoded.
    pub fn snapshot(&self) -> Result<Vec<u8>> {
        rmp_serde::to_vec_named(self).map_err(|error| Error::Decode {
            what: "snapshot",
            reason: error.to_string(),
        })
    }

    /// Decodes a state that [`ControlState::snapshot`] encoded.
    ///
    /// # Errors
    /// [`Error::Decode`] when the bytes are not a snapshot.
    pub fn restore(bytes: &[u8]) -> Result<Self> {
        rmp_serde::from_slice(bytes).map_err(|error| Error::Decode {
            what: "snapshot",
            reason: error.to_string(),
        })
    }
}
