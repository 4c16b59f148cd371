use super::{Availability, PoolId, ReplicaTable};

impl ReplicaTable {
    /// Returns the slots and the expected requests of each available target of a pool.
    pub fn pool_slots(&self, pool: &PoolId) -> impl Iterator<Item = (f32, f32)> {
        let members = self.pools.get(pool).map_or(&[][..], |pool| &pool.members);
        let replicas = members
            .iter()
            .filter_map(|index| self.replicas[*index as usize].as_ref());
        let available = replicas.filter(|replica| replica.availability == Availability::Up);
        available.map(|replica| {
            let load = replica.load.expected_requests(self.send_weight);
            (replica.slots, load)
        })
    }
}
