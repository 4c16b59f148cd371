use std::time::Duration;

use super::ReplicaTable;

/// At most one in this many targets of a pool is ejected at once.
const EJECTED_SHARE: usize = 3;

impl ReplicaTable {
    /// Compares the targets of each pool and ejects slow ones; called about once a second.
    pub fn evaluate_outliers(&mut self, now: Duration) {
        let mut worst = vec![f32::INFINITY; self.replicas.len()];
        for pool in self.pools.values() {
            let members = &pool.members;
            let mut times: Vec<f32> = members
                .iter()
                .filter_map(|index| {
                    self.replicas[*index as usize]
                        .as_ref()?
                        .health
                        .relative_time()
                })
                .collect();
            // Two targets do not tell which of them is the odd one.
            if times.len() < EJECTED_SHARE {
                continue;
            }
            times.sort_by(f32::total_cmp);
            let median = times[times.len() / 2];
            for index in members {
                let place = *index as usize;
                let Some(replica) = &self.replicas[place] else {
                    continue;
                };
                if let Some(time) = replica.health.relative_time() {
                    worst[place] = worst[place].min(time / median);
                }
            }
        }
        for (place, slowness) in worst.into_iter().enumerate() {
            if let Some(replica) = &mut self.replicas[place] {
                replica.health.slowness = if slowness.is_finite() {
                    slowness.max(1.0)
                } else {
                    1.0
                };
            }
            self.eject_outlier(u32::try_from(place).unwrap_or(u32::MAX), now);
        }
    }

    pub(super) fn eject_outlier(&mut self, index: u32, now: Duration) {
        let Some(replica) = &self.replicas[index as usize] else {
            return;
        };
        if replica.health.is_ejected() || !replica.health.is_outlier() {
            return;
        }
        let has_room = replica.pools.iter().all(|(pool, _)| {
            let members = self.pools.get(pool).map_or(&[][..], |pool| &pool.members);
            let is_ejected = |index: &&u32| {
                let other = self.replicas[**index as usize].as_ref();
                other.is_some_and(|other| other.health.is_ejected())
            };
            members.iter().filter(is_ejected).count() < members.len() / EJECTED_SHARE
        });
        if let (true, Some(replica)) = (has_room, &mut self.replicas[index as usize]) {
            replica.health.eject(now);
        }
    }
}
