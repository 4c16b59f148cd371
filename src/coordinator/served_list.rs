use super::target_history::TargetHistory;
use crate::{
    adapter::TargetEntry,
    ids::Term,
    sync::{GatewayReport, ListVersion, TargetList},
};

/// The target list that this process serves, as the leader or in its place. It outlasts a change of role, so that
/// gateways get the changes only.
#[derive(Debug)]
pub struct ServedList {
    /// Identifies the list among those of all processes, in the place of the term.
    id: Term,
    history: TargetHistory,
    /// Version of the leader's list that this one is a copy of.
    source: ListVersion,
}

impl ServedList {
    /// Creates an empty list with an id that no other process has.
    #[must_use]
    pub fn new() -> Self {
        Self {
            id: rand::random::<Term>().max(1),
            history: TargetHistory::new(),
            source: ListVersion::default(),
        }
    }

    /// Replaces the targets by those of the leader that this process is.
    pub fn update(&mut self, targets: Vec<TargetEntry>) {
        self.source = ListVersion::default();
        self.history.update(targets);
    }

    /// Adds or replaces targets of the leader that this process is.
    pub fn upsert(&mut self, targets: Vec<TargetEntry>) {
        self.source = ListVersion::default();
        self.history.upsert(targets);
    }

    /// Applies an update of another leader's list.
    pub fn mirror(&mut self, list: TargetList) {
        match list.base {
            None => {
                self.history.update(list.targets);
            }
            Some(base) if base == self.source => {
                self.history.upsert(list.targets);
                self.history.remove(&list.removed);
            }
            // The full list follows.
            Some(_) => {
                self.source = ListVersion::default();
                return;
            }
        }
        self.source = list.version;
    }

    /// Returns the version of the leader's list that this one is a copy of.
    #[must_use]
    pub fn source(&self) -> ListVersion {
        self.source
    }

    /// Returns the list.
    #[must_use]
    pub fn history(&self) -> &TargetHistory {
        &self.history
    }

    /// Returns the changes for a delegate; `None` when it is up to date.
    #[must_use]
    pub fn changes_since(&self, held: ListVersion) -> Option<TargetList> {
        self.history.changes_since(held, self.id)
    }

    /// Returns the changes for a gateway; `None` when it is up to date.
    #[must_use]
    pub fn changes_for(&self, report: &GatewayReport) -> Option<TargetList> {
        let (held, digest) = (report.list_version, &report.list_digest);
        if digest.is_empty() || self.history.is_known(held, self.id) {
            self.history.changes_since(held, self.id)
        } else {
            Some(self.history.changes_from(digest, held, self.id))
        }
    }
}

impl Default for ServedList {
    fn default() -> Self {
        Self::new()
    }
}
