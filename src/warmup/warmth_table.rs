use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use crate::ids::TargetId;

/// Time by which the platform's list is behind.
const LIST_LAG: Duration = Duration::from_millis(800);
/// Interval at which the leader reads the platform's list.
const LIST_READ_INTERVAL: Duration = Duration::from_millis(600);

/// Why a target counts as cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdSource {
    /// The platform's list says so.
    List,
    /// It started a short time ago and is new to the list.
    Start,
    /// It accepted no connection.
    Refusal,
    /// It was silent while it ran requests.
    Silence,
    /// It broke a connection while it ran requests.
    Break,
}

impl ColdSource {
    /// Returns the name in log lines.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::List => "list",
            Self::Start => "start",
            Self::Refusal => "refused connection",
            Self::Silence => "silence",
            Self::Break => "broken connection",
        }
    }
}

/// A change of a target's warmth.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WarmthChange {
    /// Target that has changed.
    pub target: TargetId,
    /// Why it counts as cold now; `None` when it is warm.
    pub source: Option<ColdSource>,
    /// Why it was cold before; `None` when it was warm.
    pub former: Option<ColdSource>,
}

#[derive(Clone, Debug, Default)]
struct TargetWarmth {
    is_listed_cold: bool,
    /// End of the cold time of a target that was new to the list a short time after its start.
    cold_until: Option<Duration>,
    /// Latest sign that the target may have restarted.
    suspected: Option<(Duration, ColdSource)>,
}

/// A gateway's view of which targets are cold. It contains only targets of services with a limit.
///
/// The list shows a restart late, so a target that may have restarted counts as cold until the list in use
/// was read so long after the sign that it would show a cold target.
#[derive(Debug, Default)]
pub struct WarmthTable {
    list_read_at: Option<Duration>,
    /// Interval between syncs, which is part of the delay of the list.
    sync_interval: Duration,
    targets: HashMap<TargetId, TargetWarmth>,
    /// Targets that were last reported as cold.
    reported: BTreeMap<TargetId, ColdSource>,
    /// Targets whose warmth may have changed since the last call of [`Self::take_changes`].
    changed: BTreeSet<TargetId>,
}

impl WarmthTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records when the list in use was read from the platform. An earlier time is ignored.
    pub fn record_list_read(&mut self, read_at: Duration, sync_interval: Duration) {
        self.list_read_at = self.list_read_at.max(Some(read_at));
        self.sync_interval = sync_interval;
    }

    /// Adds a listed target or updates it.
    pub fn set_listed(&mut self, target: &TargetId, is_cold: bool) {
        self.targets
            .entry(target.clone())
            .or_default()
            .is_listed_cold = is_cold;
        self.changed.insert(target.clone());
    }

    /// Makes a listed target that is new to the list count as cold for the rest of its cold time.
    pub fn record_start(&mut self, target: &TargetId, cold_until: Duration) {
        if let Some(warmth) = self.targets.get_mut(target) {
            warmth.cold_until = warmth.cold_until.max(Some(cold_until));
            self.changed.insert(target.clone());
        }
    }

    /// Removes a target that is not listed any more or has no limit.
    pub fn remove(&mut self, target: &TargetId) {
        self.targets.remove(target);
        self.changed.remove(target);
        self.reported.remove(target);
    }

    /// Records a sign that a target may have restarted.
    pub fn record_sign(&mut self, target: &TargetId, sign: ColdSource, now: Duration) {
        if let Some(warmth) = self.targets.get_mut(target) {
            warmth.suspected = Some((now, sign));
            self.changed.insert(target.clone());
        }
    }

    /// Returns why a target counts as cold; `None` when it is warm or has no limit.
    #[must_use]
    pub fn cold_source(&self, target: &TargetId, now: Duration) -> Option<ColdSource> {
        let warmth = self.targets.get(target)?;
        self.source(warmth, now)
    }

    fn source(&self, warmth: &TargetWarmth, now: Duration) -> Option<ColdSource> {
        let delay = LIST_LAG + LIST_READ_INTERVAL + self.sync_interval;
        let is_shown = |at: Duration| self.list_read_at.is_some_and(|read| read >= at + delay);
        match (warmth.cold_until, warmth.suspected) {
            _ if warmth.is_listed_cold => Some(ColdSource::List),
            (Some(until), _) if now < until => Some(ColdSource::Start),
            (_, Some((at, sign))) if !is_shown(at) => Some(sign),
            _ => None,
        }
    }

    /// Returns whether any target is cold, as of the last call of [`Self::take_changes`].
    #[must_use]
    pub fn has_cold(&self) -> bool {
        !self.reported.is_empty()
    }

    /// Returns the targets whose warmth has changed since the last call. Targets turn warm by the passage of
    /// time too, so this should be called regularly.
    pub fn take_changes(&mut self, now: Duration) -> Vec<WarmthChange> {
        let mut due = std::mem::take(&mut self.changed);
        due.extend(self.reported.keys().cloned());
        let mut changes = Vec::new();
        for target in due {
            let source = self.cold_source(&target, now);
            let former = match source {
                Some(source) => self.reported.insert(target.clone(), source),
                None => self.reported.remove(&target),
            };
            if former.is_some() != source.is_some() {
                changes.push(WarmthChange {
                    target,
                    source,
                    former,
                });
            }
        }
        changes
    }
}
