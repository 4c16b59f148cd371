use std::{collections::HashMap, time::Duration};

use smallvec::SmallVec;

use super::{
    Availability, ExchangeOutcome, HealthState, LoadEstimate, LoadReport, PoolId, PrefixBlock,
    PrefixIndex, ReplicaSpec, RouteChoice, RouteTuning, Warmth, health::TargetHealth,
    prefix_index::PrefixHolder, prefix_popularity::PrefixPopularity, replica::Replica,
    replica_pool::ReplicaPool,
};
use crate::ids::{DataCentreId, TargetId};

/// Maximum number of prefixes of a prompt that are looked up; bounds the time of a selection.
pub(super) const MAX_PREFIX_BLOCKS: usize = 16;
/// Hit rate that is assumed before the first answer.
const INITIAL_RING_HIT_RATE: f32 = 0.5;
/// Weight of a new sample in the average hit rate.
const RING_SAMPLE_WEIGHT: f32 = 0.05;
/// Round trip to a data centre that is not in the settings.
const DEFAULT_DISTANCE_MS: f32 = 2.0;

/// State of the targets, as known to this entry, and the selection among them.
#[derive(Debug)]
pub struct ReplicaTable {
    pub(super) tuning: RouteTuning,
    distances: HashMap<DataCentreId, f32>,
    pub(super) replicas: Vec<Option<Replica>>,
    free_indices: Vec<u32>,
    indices: HashMap<TargetId, u32>,
    pub(super) pools: HashMap<PoolId, ReplicaPool>,
    pub(super) prefix_index: PrefixIndex,
    /// Number of requests of all entries that one send of this entry represents.
    pub(super) send_weight: f32,
    /// Share of the load that is caused by other entries.
    pub(super) peer_share: f32,
    pub(super) popularity: PrefixPopularity,
    /// Average share of a prompt's prefix tokens that were in the cache of a ring target without
    /// evidence, because other entries had sent them to it.
    pub(super) ring_hit_rate: f32,
    last_generation: u32,
}

impl ReplicaTable {
    /// Returns an empty table. `distances` are the round trips from this entry to the data centres.
    #[must_use]
    pub fn new(tuning: RouteTuning, distances: &[(DataCentreId, Duration)]) -> Self {
        let as_ms =
            |(name, time): &(DataCentreId, Duration)| (name.clone(), time.as_secs_f32() * 1000.0);
        Self {
            distances: distances.iter().map(as_ms).collect(),
            prefix_index: PrefixIndex::new(tuning.prefix_capacity),
            tuning,
            replicas: Vec::new(),
            free_indices: Vec::new(),
            indices: HashMap::new(),
            pools: HashMap::new(),
            send_weight: 1.0,
            peer_share: 0.0,
            popularity: PrefixPopularity::default(),
            ring_hit_rate: INITIAL_RING_HIT_RATE,
            last_generation: 0,
        }
    }

    /// Sets the number of live entries that send requests to the same targets.
    #[allow(clippy::cast_precision_loss)] // Counts are far below 2^24.
    pub fn set_entry_count(&mut self, entries: usize) {
        let entries = entries.max(1) as f32;
        self.send_weight = entries.powf(self.tuning.peer_load_exponent);
        self.peer_share = 1.0 - 1.0 / entries;
    }

    /// Adds a target or updates its slots, data centre and pools. Load and health are kept.
    #[allow(clippy::cast_precision_loss)] // Slots are far below 2^24.
    pub fn upsert(&mut self, spec: &ReplicaSpec) {
        let distance_ms = *self
            .distances
            .get(&spec.data_centre)
            .unwrap_or(&DEFAULT_DISTANCE_MS);
        let index = self.index_or_new(&spec.target);
        let slots = spec.slots.max(1) as f32;
        let old_pools = match &mut self.replicas[index as usize] {
            Some(replica) => {
                replica.slots = slots;
                replica.data_centre.clone_from(&spec.data_centre);
                replica.distance_ms = distance_ms;
                std::mem::replace(&mut replica.pools, spec.pools.iter().cloned().collect())
            }
            empty @ None => {
                self.last_generation += 1;
                *empty = Some(Replica {
                    target: spec.target.clone(),
                    data_centre: spec.data_centre.clone(),
                    slots,
                    distance_ms,
                    availability: Availability::Up,
                    warmth: Warmth::Warm,
                    cache_horizon: None,
                    load: LoadEstimate::default(),
                    health: TargetHealth::new(),
                    pace: None,
                    pools: spec.pools.iter().cloned().collect(),
                    generation: self.last_generation,
                });
                SmallVec::new()
            }
        };
        for (pool, _) in &old_pools {
            self.leave_pool(pool, index);
        }
        for (pool, _) in &spec.pools {
            let pool = self.pools.entry(pool.clone()).or_default();
            pool.insert(index, &spec.target);
        }
    }

    /// Removes a target.
    pub fn remove(&mut self, target: &TargetId) {
        let Some(index) = self.indices.remove(target) else {
            return;
        };
        if let Some(replica) = self.replicas[index as usize].take() {
            for (pool, _) in &replica.pools {
                self.leave_pool(pool, index);
            }
        }
        self.free_indices.push(index);
    }

    /// Sets whether a target accepts new requests.
    pub fn set_availability(&mut self, target: &TargetId, availability: Availability) {
        if let Some(replica) = self.replica_mut(target) {
            replica.availability = availability;
        }
    }

    /// Sets whether a target has warmed up.
    pub fn set_warmth(&mut self, target: &TargetId, warmth: Warmth) {
        if let Some(replica) = self.replica_mut(target) {
            replica.warmth = warmth;
        }
    }

    /// Applies a load report of a target.
    pub fn apply_report(&mut self, target: &TargetId, report: LoadReport) {
        if let Some(replica) = self.replica_mut(target) {
            replica.load.apply_report(report);
        }
    }

    /// Sets the number of prompt tokens of other entries that a target has not processed.
    pub fn set_peer_prefill_tokens(&mut self, target: &TargetId, tokens: u32) {
        if let Some(replica) = self.replica_mut(target) {
            replica.load.set_peer_prefill_tokens(tokens);
        }
    }

    /// Returns the number of prompt tokens that a target has not processed, as reported by the
    /// entries.
    #[must_use]
    pub fn pending_prefill_tokens(&self, target: &TargetId) -> u32 {
        let replica = self.replica(target);
        replica.map_or(0, |replica| replica.load.pending_prefill_tokens())
    }

    /// Records a request that is sent to the chosen target. Every call must be followed by one call
    /// of [`Self::record_outcome`] and one of [`Self::record_end`].
    pub fn record_send(&mut self, choice: &RouteChoice, now: Duration) {
        if let Some(replica) = self.replica_mut(&choice.target) {
            replica.load.record_send(choice.prefill_tokens, now);
            replica.health.record_send(now);
        }
    }

    /// Records the outcome of the start of an exchange. A failing or slow target is ejected, unless
    /// a third of one of its pools is already ejected.
    pub fn record_outcome(
        &mut self,
        choice: &RouteChoice,
        outcome: ExchangeOutcome,
        now: Duration,
    ) {
        let Some(index) = self.indices.get(&choice.target).copied() else {
            return;
        };
        if let Some(replica) = &mut self.replicas[index as usize] {
            replica.load.record_first_byte(choice.prefill_tokens);
            replica
                .health
                .record_outcome(outcome, choice.baseline_ms, now);
            if let (Some(pace), ExchangeOutcome::Answered { first_byte }) =
                (&mut replica.pace, outcome)
            {
                pace.record_first_byte(first_byte, choice.baseline_ms, now);
            }
        }
        self.eject_outlier(index, now);
    }

    /// Records the end of a request.
    pub fn record_end(&mut self, target: &TargetId, now: Duration) {
        if let Some(replica) = self.replica_mut(target) {
            replica.load.record_end(now);
        }
    }

    /// Records that a prompt was sent to a target, which will have its prefixes in the cache.
    pub fn record_prefixes(&mut self, target: &TargetId, prefix: &[PrefixBlock], now: Duration) {
        let Some(index) = self.indices.get(target).copied() else {
            return;
        };
        if let Some(first) = prefix.first() {
            self.popularity.record(first.hash);
        }
        let Some(replica) = &self.replicas[index as usize] else {
            return;
        };
        let holder = PrefixHolder {
            replica: index,
            generation: replica.generation,
            seen_at: now,
        };
        for block in prefix.iter().take(MAX_PREFIX_BLOCKS) {
            self.prefix_index.add(block.hash, holder);
        }
    }

    /// Records the number of prompt tokens that a target found in its cache. Caches evict the least
    /// recently used prefixes: when less than half of the expected tokens are cached, the target
    /// has evicted everything that was last used before the evidence for them.
    #[allow(clippy::cast_precision_loss)] // Token counts are far below 2^24.
    pub fn record_cached_tokens(&mut self, choice: &RouteChoice, cached_tokens: u32) {
        if let Some(tokens) = choice.ring_tokens {
            let hit_rate = (cached_tokens as f32 / tokens.max(1) as f32).min(1.0);
            self.ring_hit_rate += (hit_rate - self.ring_hit_rate) * RING_SAMPLE_WEIGHT;
        }
        let Some((expected_tokens, seen_at)) = choice.evidence else {
            return;
        };
        if cached_tokens >= expected_tokens / 2 {
            return;
        }
        if let Some(replica) = self.replica_mut(&choice.target) {
            replica.cache_horizon = replica.cache_horizon.max(Some(seen_at));
        }
    }

    /// Records that a target has evicted a prefix from its cache or does not have it.
    pub fn remove_prefix(&mut self, target: &TargetId, hash: u64) {
        if let Some(index) = self.indices.get(target) {
            self.prefix_index.remove(hash, *index);
        }
    }

    /// Returns the health of a target.
    #[must_use]
    pub fn health(&self, target: &TargetId) -> Option<HealthState> {
        let index = self.indices.get(target)?;
        Some(self.replicas[*index as usize].as_ref()?.health.state)
    }

    fn index_or_new(&mut self, target: &TargetId) -> u32 {
        if let Some(index) = self.indices.get(target) {
            return *index;
        }
        let index = self.free_indices.pop().unwrap_or_else(|| {
            self.replicas.push(None);
            u32::try_from(self.replicas.len() - 1).unwrap_or(u32::MAX)
        });
        self.indices.insert(target.clone(), index);
        index
    }

    fn leave_pool(&mut self, pool: &PoolId, index: u32) {
        if let Some(members) = self.pools.get_mut(pool) {
            members.remove(index);
            if members.members.is_empty() {
                self.pools.remove(pool);
            }
        }
    }

    pub(super) fn replica(&self, target: &TargetId) -> Option<&Replica> {
        let index = self.indices.get(target)?;
        self.replicas[*index as usize].as_ref()
    }

    pub(super) fn replica_mut(&mut self, target: &TargetId) -> Option<&mut Replica> {
        let index = self.indices.get(target)?;
        self.replicas[*index as usize].as_mut()
    }
}
