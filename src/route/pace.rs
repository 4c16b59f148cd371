use std::time::Duration;

use super::ReplicaTable;
use crate::{
    ids::TargetId,
    pace::{TargetPace, WorkPace},
};

impl ReplicaTable {
    /// Records the pace that a target states. From then on its expected times follow its pace instead of
    /// its slowdown against the pool.
    pub fn record_pace(&mut self, target: &TargetId, stated: WorkPace, now: Duration) {
        let Some(replica) = self.replica_mut(target) else {
            return;
        };
        match &mut replica.pace {
            Some(pace) => pace.record_stated(stated, now),
            empty @ None => *empty = Some(TargetPace::new(stated, now)),
        }
    }

    /// Records the gap between two events of a target that had no prompts to process.
    pub fn record_gap(&mut self, target: &TargetId, gap: Duration, now: Duration) {
        let replica = self.replica_mut(target);
        if let Some(pace) = replica.and_then(|replica| replica.pace.as_mut()) {
            pace.record_gap(gap, now);
        }
    }

    /// Returns the pace of a target; `None` for one that states none.
    #[must_use]
    pub fn pace(&self, target: &TargetId) -> Option<&TargetPace> {
        self.replica(target)?.pace.as_ref()
    }

    /// Returns the estimated number of requests that a target runs or queues.
    #[must_use]
    pub fn expected_requests(&self, target: &TargetId) -> f32 {
        self.replica(target).map_or(0.0, |replica| {
            replica.load.expected_requests(self.send_weight)
        })
    }
}
