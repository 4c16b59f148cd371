use std::time::Duration;

use super::ReplicaTable;

/// Divisor of the pool size that gives the maximum number of ejected targets in a pool.
const MAX_EJECTED_DIVISOR: usize = 3;

impl ReplicaTable {
    /// Compares the targets of each pool and ejects the slow ones. Called about once a second.
    pub fn evaluate_outliers(&mut self, now: Duration) {
        let mut slowdowns = vec![f32::INFINITY; self.replicas.len()];
        for pool in self.pools.values() {
            let members = &pool.members;
            let mut latencies: Vec<f32> = members
                .iter()
                .filter_map(|member| {
                    self.replicas[*member as usize]
                        .as_ref()?
                        .health
                        .relative_latency()
                })
                .collect();
            // Two targets are not enough to identify which one is the outlier.
            if latencies.len() < MAX_EJECTED_DIVISOR {
                continue;
            }
            latencies.sort_by(f32::total_cmp);
            let median = latencies[latencies.len() / 2];
            for member in members {
                let index = *member as usize;
                let Some(replica) = &self.replicas[index] else {
                    continue;
                };
                if let Some(latency) = replica.health.relative_latency() {
                    slowdowns[index] = slowdowns[index].min(latency / median);
                }
            }
        }
        for (index, slowdown) in slowdowns.into_iter().enumerate() {
            if let Some(replica) = &mut self.replicas[index] {
                replica.health.slowdown = if slowdown.is_finite() {
                    slowdown.max(1.0)
                } else {
                    1.0
                };
            }
            self.eject_outlier(u32::try_from(index).unwrap_or(u32::MAX), now);
        }
    }

    pub(super) fn eject_outlier(&mut self, index: u32, now: Duration) {
        let Some(replica) = &self.replicas[index as usize] else {
            return;
        };
        if replica.health.is_ejected() || !replica.health.is_outlier() {
            return;
        }
        let can_eject = replica.pools.iter().all(|(pool, _)| {
            let members = self.pools.get(pool).map_or(&[][..], |pool| &pool.members);
            let is_ejected = |member: &&u32| {
                let other = self.replicas[**member as usize].as_ref();
                other.is_some_and(|other| other.health.is_ejected())
            };
            members.iter().filter(is_ejected).count() < members.len() / MAX_EJECTED_DIVISOR
        });
        if let (true, Some(replica)) = (can_eject, &mut self.replicas[index as usize]) {
            replica.health.eject(now);
        }
    }
}
