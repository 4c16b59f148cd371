use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::{
    ids::CommandLevel,
    raft::{Membership, VoterId},
};

/// Age at which a report no longer counts; the voter may have been restarted with an older release.
const REPORT_AGE: Duration = Duration::from_secs(2);

/// Command levels that the members have reported.
#[derive(Default)]
pub struct LevelReports {
    reports: BTreeMap<VoterId, (CommandLevel, Instant)>,
}

impl LevelReports {
    /// Records the report of a member.
    pub fn record(&mut self, id: VoterId, level: CommandLevel, now: Instant) {
        self.reports
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < REPORT_AGE);
        self.reports.insert(id, (level, now));
    }

    /// Returns the level that all members can apply, learners included, since each of them applies
    /// the log; `None` while a report is missing or old.
    pub fn common_level(&self, membership: &Membership, now: Instant) -> Option<CommandLevel> {
        let levels = membership.members().map(|member| {
            let (level, at) = self.reports.get(member)?;
            (now.saturating_duration_since(*at) < REPORT_AGE).then_some(*level)
        });
        levels.collect::<Option<Vec<_>>>()?.into_iter().min()
    }
}
