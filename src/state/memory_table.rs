use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{ReserveOutcome, SettleResult, TargetMemory};
use crate::{
    border::{FleetConfig, TargetConfig, TargetKind},
    ids::{FencingNumber, Incarnation, TargetId},
    order::OrderAction,
    sync::ResidentCopy,
};

/// Accelerator memory of all engines; see docs/design.md, section 12.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MemoryTable {
    targets: BTreeMap<TargetId, TargetMemory>,
    version: u64,
}

impl MemoryTable {
    pub(super) fn reserve(
        &mut self,
        config: Option<&FleetConfig>,
        target: &TargetId,
        fencing: FencingNumber,
        action: &OrderAction,
    ) -> ReserveOutcome {
        let Some(settings) = config.and_then(|config| engine(config, target)) else {
            return ReserveOutcome::NoMemory;
        };
        let Some(memory) = self.targets.get_mut(target) else {
            return ReserveOutcome::Busy;
        };
        self.version += 1;
        memory.reserve(settings, fencing, action)
    }

    pub(super) fn settle(
        &mut self,
        target: &TargetId,
        fencing: FencingNumber,
        result: SettleResult,
    ) {
        if let Some(memory) = self.targets.get_mut(target) {
            memory.settle(fencing, result);
            self.version += 1;
        }
    }

    pub(super) fn confirm(
        &mut self,
        config: Option<&FleetConfig>,
        target: &TargetId,
        incarnation: Incarnation,
        last_fencing: FencingNumber,
        copies: &[ResidentCopy],
    ) {
        let is_known = config.is_some_and(|config| engine(config, target).is_some());
        if is_known || self.targets.contains_key(target) {
            let memory = self.targets.entry(target.clone()).or_default();
            memory.confirm(incarnation, last_fencing, copies);
            self.version += 1;
        }
    }

    /// Returns the incarnation of an engine that reported last.
    #[must_use]
    pub fn incarnation(&self, target: &TargetId) -> Option<Incarnation> {
        self.targets.get(target)?.incarnation()
    }

    /// Updates the table for a new configuration. The memory of unsettled orders stays reserved.
    pub(super) fn update_config(&mut self, old: Option<&FleetConfig>, new: &FleetConfig) {
        let new_engines: BTreeMap<&TargetId, &TargetConfig> = engines(new).collect();
        self.targets
            .retain(|id, memory| new_engines.contains_key(id) || !memory.is_settled());
        for (id, target) in old.into_iter().flat_map(collect_engines) {
            // Another process may listen on the new address.
            if new_engines
                .get(id)
                .is_none_or(|engine| engine.address != target.address)
                && let Some(memory) = self.targets.get_mut(id)
            {
                memory.clear_incarnation();
            }
        }
        self.version += 1;
    }

    /// Returns the memory of an engine; `None` before its first report.
    #[must_use]
    pub fn target(&self, id: &TargetId) -> Option<&TargetMemory> {
        self.targets.get(id)
    }

    /// Returns the memory of all engines that have reported.
    pub fn iter(&self) -> impl Iterator<Item = (&TargetId, &TargetMemory)> {
        self.targets.iter()
    }

    /// Returns a version number that is incremented with each change.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }
}

fn engines(config: &FleetConfig) -> impl Iterator<Item = (&TargetId, &TargetConfig)> {
    config
        .targets
        .iter()
        .filter(|target| target.kind == TargetKind::Engine)
        .map(|target| (&target.id, target))
}

fn collect_engines(config: &FleetConfig) -> Vec<(&TargetId, &TargetConfig)> {
    engines(config).collect()
}

fn engine<'c>(config: &'c FleetConfig, id: &TargetId) -> Option<&'c TargetConfig> {
    engines(config)
        .find(|(target, _)| *target == id)
        .map(|(_, target)| target)
}
