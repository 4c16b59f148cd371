use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::{
    ids::CommandLevel,
    raft::{Membership, VoterId},
};

/// Age at which a report is ignored, because the voter may have been restarted with an older
/// release.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);

/// Command levels that the members have reported.
#[derive(Default)]
pub struct LevelReports {
    reports: BTreeMap<VoterId, (CommandLevel, Instant)>,
}

impl LevelReports {
    /// Records the report of a member.
    pub fn record(&mut self, id: VoterId, level: CommandLevel, now: Instant) {
        self.reports
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < MAX_REPORT_AGE);
        self.reports.insert(id, (level, now));
    }

    /// Returns the highest level that all members support, or `None` while a report is missing or
    /// too old. Learners are included, because they apply the log as well.
    pub fn common_level(&self, membership: &Membership, now: Instant) -> Option<CommandLevel> {
        let levels = membership.members().map(|member| {
            let (level, at) = self.reports.get(member)?;
            (now.saturating_duration_since(*at) < MAX_REPORT_AGE).then_some(*level)
        });
        levels.collect::<Option<Vec<_>>>()?.into_iter().min()
    }
}
