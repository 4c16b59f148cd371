use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{
    ApplyOutcome, ApplyRequest, ClaimTable, Command, ConfigHistory, CrashTable, DrainOutcome,
    DrainRequest, DrainTable, EvacuationTable, MemoryTable, Outcome, RequestTable, StampedCommand,
    StreamTable, request_table::RequestLookup,
};
use crate::{
    border::FleetConfig,
    error::{Error, Result},
    ids::{CommandLevel, LogIndex, Revision},
    plan::PlanVersion,
    sync::PublishedPlan,
};

/// Command level of a new fleet.
const INITIAL_LEVEL: CommandLevel = 1;

/// Replicated state that every voter derives from the log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlState {
    applied: LogIndex,
    now_ms: u64,
    level: CommandLevel,
    configs: ConfigHistory,
    requests: RequestTable,
    claims: ClaimTable,
    crashes: CrashTable,
    memory: MemoryTable,
    drains: DrainTable,
    #[serde(default)]
    plan: Option<Arc<PublishedPlan>>,
    #[serde(default)]
    streams: StreamTable,
    #[serde(default)]
    evacuations: EvacuationTable,
}

impl ControlState {
    /// Applies one log entry.
    pub fn apply(&mut self, index: LogIndex, stamped: &StampedCommand) -> Outcome {
        self.applied = index;
        // A new leader's clock may be behind that of its predecessor. The state's time is
        // monotonic.
        self.now_ms = self.now_ms.max(stamped.at_ms);
        let now_ms = self.now_ms;
        self.requests.expire(now_ms);
        self.claims.expire(now_ms);
        self.crashes.expire(now_ms);
        match &stamped.command {
            Command::Noop => return Outcome::Done,
            Command::Apply(request) => return self.apply_config(request),
            Command::Claim(request) => return Outcome::Claim(self.claims.claim(now_ms, request)),
            Command::Complete { ticket, response } => self.claims.complete(ticket, response),
            Command::Release(ticket) => self.claims.release(now_ms, ticket),
            Command::Abandon(ticket) => self.claims.abandon(ticket),
            Command::LoseClaimant { claimant } => {
                self.claims.abandon_all(claimant);
                self.crashes.end_all_turns(claimant);
            }
            Command::ReportCrash {
                fingerprint,
                target,
            } => return Outcome::Crash(self.crashes.report(now_ms, fingerprint, target)),
            Command::ReportParts(evidence) => {
                let parts = self.crashes.parts_mut();
                parts.report(now_ms, &evidence.crash, &evidence.parts);
            }
            Command::ClearParts(completed) => self.crashes.parts_mut().clear(now_ms, completed),
            Command::ObserveVersions(observation) => self.streams.observe(now_ms, observation),
            Command::RecordStreams { version, streams } => {
                self.streams.record(now_ms, version, streams);
            }
            Command::TakeTurn {
                fingerprint,
                holder,
                attempt,
            } => {
                let turn = self
                    .crashes
                    .take_turn(now_ms, fingerprint, holder, *attempt);
                return Outcome::Turn(turn);
            }
            Command::EndTurn {
                fingerprint,
                holder,
                attempt,
            } => self.crashes.end_turn(fingerprint, holder, *attempt),
            Command::Reserve {
                target,
                fencing,
                action,
            } => {
                let config = self.configs.current().map(AsRef::as_ref);
                return Outcome::Reserve(self.memory.reserve(config, target, *fencing, action));
            }
            Command::Settle {
                target,
                fencing,
                result,
            } => self.memory.settle(target, *fencing, *result),
            Command::ConfirmReport {
                target,
                incarnation,
                last_fencing,
                copies,
            } => {
                let config = self.configs.current().map(AsRef::as_ref);
                self.memory
                    .confirm(config, target, *incarnation, *last_fencing, copies);
            }
            Command::Drain(request) => return self.drain(request),
            Command::Publish(plan) if plan.version > self.plan_version() => {
                self.plan = Some(Arc::new(plan.clone()));
            }
            Command::Publish(_) => {}
            Command::Evacuate(change) => {
                return Outcome::Evacuate(self.evacuations.apply(change));
            }
            Command::RaiseLevel { level } => self.level = self.level.max(*level),
        }
        Outcome::Done
    }

    fn apply_config(&mut self, request: &ApplyRequest) -> Outcome {
        let digest = request.digest();
        match self.requests.find(&request.request_id, &digest) {
            RequestLookup::New => {}
            RequestLookup::Repeated(outcome) => return outcome,
            RequestLookup::Reused => return Outcome::Applied(ApplyOutcome::RequestIdReused),
        }
        let current = self.configs.revision();
        let outcome = if request.expected == current {
            let config = Arc::new(request.config.clone());
            let old = self.configs.current().cloned();
            self.memory.update_config(old.as_deref(), &config);
            let revision = self
                .configs
                .accept(self.now_ms, &request.request_id, &config);
            Outcome::Applied(ApplyOutcome::Accepted(revision))
        } else {
            Outcome::Applied(ApplyOutcome::Conflict(current))
        };
        if request.change.is_some() && request.expected != current {
            return outcome;
        }
        self.requests
            .record(self.now_ms, &request.request_id, digest, outcome.clone());
        outcome
    }

    fn drain(&mut self, request: &DrainRequest) -> Outcome {
        let digest = request.digest();
        match self.requests.find(&request.request_id, &digest) {
            RequestLookup::New => {}
            RequestLookup::Repeated(outcome) => return outcome,
            RequestLookup::Reused => return Outcome::Drain(DrainOutcome::RequestIdReused),
        }
        let outcome = self
            .drains
            .set(self.now_ms, &request.subject, request.state);
        let outcome = Outcome::Drain(outcome);
        self.requests
            .record(self.now_ms, &request.request_id, digest, outcome.clone());
        outcome
    }

    /// Returns the index of the last applied entry.
    #[must_use]
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Returns the latest time of any applied entry, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Returns the highest command level that may be proposed.
    #[must_use]
    pub fn level(&self) -> CommandLevel {
        self.level.max(INITIAL_LEVEL)
    }

    /// Returns the revision in force and its configuration; `None` before the first one.
    #[must_use]
    pub fn config(&self) -> (Revision, Option<Arc<FleetConfig>>) {
        (self.configs.revision(), self.configs.current().cloned())
    }

    /// Returns the configuration history.
    #[must_use]
    pub fn configs(&self) -> &ConfigHistory {
        &self.configs
    }

    /// Returns the recorded outcomes of operators' requests.
    #[must_use]
    pub fn requests(&self) -> &RequestTable {
        &self.requests
    }

    /// Returns the serving plan in force.
    #[must_use]
    pub fn plan(&self) -> Option<Arc<PublishedPlan>> {
        self.plan.clone()
    }

    /// Returns the version of the serving plan in force; 0 before the first plan.
    #[must_use]
    pub fn plan_version(&self) -> PlanVersion {
        self.plan.as_ref().map_or(0, |plan| plan.version)
    }

    /// Returns the claim table.
    #[must_use]
    pub fn claims(&self) -> &ClaimTable {
        &self.claims
    }

    /// Returns the table of suspects.
    #[must_use]
    pub fn crashes(&self) -> &CrashTable {
        &self.crashes
    }

    /// Returns the versions that began streams.
    #[must_use]
    pub fn streams(&self) -> &StreamTable {
        &self.streams
    }

    /// Returns the memory table of the engines.
    #[must_use]
    pub fn memory(&self) -> &MemoryTable {
        &self.memory
    }

    /// Returns the drain table.
    #[must_use]
    pub fn drains(&self) -> &DrainTable {
        &self.drains
    }

    /// Returns the evacuated data centres.
    #[must_use]
    pub fn evacuations(&self) -> &EvacuationTable {
        &self.evacuations
    }

    /// Encodes the state as a snapshot.
    ///
    /// # Errors
    /// [`Error::Decode`] when the state cannot be encoded.
    pub fn snapshot(&self) -> Result<Vec<u8>> {
        rmp_serde::to_vec_named(self).map_err(|error| Error::Decode {
            what: "snapshot",
            reason: error.to_string(),
        })
    }

    /// Decodes a snapshot that [`ControlState::snapshot`] encoded.
    ///
    /// # Errors
    /// [`Error::Decode`] when the bytes are not a valid snapshot.
    pub fn restore(bytes: &[u8]) -> Result<Self> {
        rmp_serde::from_slice(bytes).map_err(|error| Error::Decode {
            what: "snapshot",
            reason: error.to_string(),
        })
    }
}
