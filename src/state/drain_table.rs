use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{DrainOutcome, DrainState, DrainSubject};
use crate::border::TargetConfig;

/// Maximum number of concurrent drains, well above the number of VMs and targets at the design
/// scale.
const MAX_DRAINS: usize = 8_192;

/// VMs and targets that operators have taken out of service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DrainTable {
    /// Start time of each drain, in milliseconds since the Unix epoch.
    since_ms: BTreeMap<DrainSubject, u64>,
    version: u64,
}

impl DrainTable {
    /// Sets the state of a subject.
    pub fn set(&mut self, now_ms: u64, subject: &DrainSubject, state: DrainState) -> DrainOutcome {
        let is_draining = self.since_ms.contains_key(subject);
        match state {
            DrainState::Draining if is_draining => {}
            DrainState::Draining if self.since_ms.len() >= MAX_DRAINS => {
                return DrainOutcome::TableFull;
            }
            DrainState::Draining => {
                self.since_ms.insert(subject.clone(), now_ms);
                self.version += 1;
            }
            DrainState::Active => {
                if self.since_ms.remove(subject).is_some() {
                    self.version += 1;
                }
            }
        }
        DrainOutcome::Done
    }

    /// Returns whether a subject is draining.
    #[must_use]
    pub fn contains(&self, subject: &DrainSubject) -> bool {
        self.since_ms.contains_key(subject)
    }

    /// Returns whether a target or its VM is draining.
    #[must_use]
    pub fn is_target_draining(&self, target: &TargetConfig) -> bool {
        self.contains(&DrainSubject::Target(target.id.clone()))
            || self.contains(&DrainSubject::Vm(target.vm.clone()))
    }

    /// Returns all draining subjects with the start time of the drain.
    pub fn iter(&self) -> impl Iterator<Item = (&DrainSubject, u64)> {
        self.since_ms
            .iter()
            .map(|(subject, since_ms)| (subject, *since_ms))
    }

    /// Returns a version number that is incremented with each change.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }
}
