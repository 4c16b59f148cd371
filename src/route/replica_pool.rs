use smallvec::SmallVec;

use crate::ids::TargetId;

/// Number of points of each member on the ring; enough to spread prefixes within about 30% of the
/// mean.
const POINTS_PER_TARGET: u64 = 16;

/// The targets of one pool and their points on a hash ring.
///
/// All entries build the same ring from the same targets. They send a prefix without evidence to
/// the same few targets, without coordination.
#[derive(Debug, Default)]
pub(super) struct ReplicaPool {
    pub members: Vec<u32>,
    /// Points sorted by hash.
    ring: Vec<(u64, u32)>,
}

impl ReplicaPool {
    pub fn insert(&mut self, index: u32, target: &TargetId) {
        self.members.push(index);
        self.ring
            .extend((0..POINTS_PER_TARGET).map(|point| (ring_hash(target, point), index)));
        self.ring.sort_unstable();
    }

    pub fn remove(&mut self, index: u32) {
        self.members.retain(|member| *member != index);
        self.ring.retain(|(_, member)| *member != index);
    }

    /// Returns the first `count` distinct members on the ring, starting at the position of `hash`.
    pub fn ring_targets(&self, hash: u64, count: usize) -> SmallVec<[u32; 8]> {
        let mut targets = SmallVec::new();
        // The engines' hashes may be weak in the upper bits, which determine the position.
        let start = self
            .ring
            .partition_point(|(point_hash, _)| *point_hash < mix(hash));
        let from_start = self.ring[start..].iter().chain(&self.ring[..start]);
        // One member can have many consecutive points, so the number of points visited is bounded.
        for (_, index) in from_start.take(count * 8) {
            if targets.len() == count {
                break;
            }
            if !targets.contains(index) {
                targets.push(*index);
            }
        }
        targets
    }
}

/// FNV-1a with a final mix. It is stable across releases and processes, unlike the standard hasher.
fn ring_hash(target: &TargetId, point: u64) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    let hash = target.as_bytes().iter().fold(0xcbf2_9ce4_8422_2325, step);
    mix(hash.wrapping_add(point.wrapping_mul(0x9e37_79b9_7f4a_7c15)))
}

/// The finaliser of splitmix64.
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
