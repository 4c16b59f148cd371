//! Pace and activity of targets, from what they state and from the streams of this gateway.

use std::time::Duration;

use super::targets::TargetTable;
use crate::{
    ids::TargetId,
    pace::{TargetActivity, WorkPace},
};

impl TargetTable {
    /// Records the pace that a target stated with an answer.
    pub fn record_pace(&self, target: &TargetId, stated: WorkPace) {
        let now = self.now();
        self.state().replicas.record_pace(target, stated, now);
    }

    /// Records an event of a stream and returns what its target does. The gap to the event before it shows
    /// the target's pace, but only while the target has no prompts to process.
    pub fn record_event(&self, target: &TargetId, gap: Option<Duration>) -> TargetActivity {
        let now = self.now();
        let mut state = self.state();
        let prompt_tokens = state.replicas.pending_prefill_tokens(target);
        if let Some(gap) = gap.filter(|_| prompt_tokens == 0) {
            state.replicas.record_gap(target, gap, now);
        }
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Counts of requests.
        let running = state.replicas.expected_requests(target).round() as u32;
        TargetActivity {
            running,
            prompt_tokens,
            pace: state.replicas.pace(target).map(|pace| pace.factor(now)),
        }
    }
}
