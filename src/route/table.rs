use std::{collections::HashMap, time::Duration};

use smallvec::SmallVec;

use super::{
    Availability, ExchangeOutcome, HealthState, LoadEstimate, LoadReport, PoolId, PrefixBlock,
    PrefixIndex, ReplicaSpec, RouteChoice, RouteTuning, health::TargetHealth,
    prefix_index::PrefixHolder, prefix_share::PrefixShare, replica::Replica,
    replica_pool::ReplicaPool,
};
use crate::ids::{DataCentreId, TargetId};

/// Prefixes of a prompt that are looked up; bounds the time of a choice.
pub(super) const LONGEST_PREFIX: usize = 16;
/// Expectation before the first answer.
const FIRST_HOME_HITS: f32 = 0.5;
/// Weight of a new sample in the average.
const HOME_SAMPLE_WEIGHT: f32 = 0.05;
/// Distance to a data centre that the settings do not name.
const UNKNOWN_DISTANCE_MS: f32 = 2.0;

/// What an entry knows of the targets, and the choice between them.
#[derive(Debug)]
pub struct ReplicaTable {
    pub(super) tuning: RouteTuning,
    distances: HashMap<DataCentreId, f32>,
    pub(super) replicas: Vec<Option<Replica>>,
    vacant: Vec<u32>,
    places: HashMap<TargetId, u32>,
    pub(super) pools: HashMap<PoolId, ReplicaPool>,
    pub(super) belief: PrefixIndex,
    /// Requests of all entries that one send of this entry stands for.
    pub(super) scale: f32,
    /// Share of the load that other entries cause.
    pub(super) others_share: f32,
    pub(super) popularity: PrefixShare,
    /// Part of a prompt's prefixes that targets were found to have without evidence, because other
    /// entries sent them there.
    pub(super) home_hits: f32,
    last_generation: u32,
}

impl ReplicaTable {
    /// Returns an empty table. `distances` are round trips from this entry to data centres.
    #[must_use]
    pub fn new(tuning: RouteTuning, distances: &[(DataCentreId, Duration)]) -> Self {
        let in_ms =
            |(name, time): &(DataCentreId, Duration)| (name.clone(), time.as_secs_f32() * 1000.0);
        Self {
            distances: distances.iter().map(in_ms).collect(),
            belief: PrefixIndex::new(tuning.prefix_capacity),
            tuning,
            replicas: Vec::new(),
            vacant: Vec::new(),
            places: HashMap::new(),
            pools: HashMap::new(),
            scale: 1.0,
            others_share: 0.0,
            popularity: PrefixShare::default(),
            home_hits: FIRST_HOME_HITS,
            last_generation: 0,
        }
    }

    /// Sets the number of live entries that share the targets.
    #[allow(clippy::cast_precision_loss)] // Counts are far below 2^24.
    pub fn set_entry_count(&mut self, entries: usize) {
        let entries = entries.max(1) as f32;
        self.scale = entries.powf(self.tuning.peer_load_exponent);
        self.others_share = 1.0 - 1.0 / entries;
    }

    /// Adds a target or changes its slots, data centre and pools; load and health stay.
    #[allow(clippy::cast_precision_loss)] // Slots are far below 2^24.
    pub fn upsert(&mut self, spec: &ReplicaSpec) {
        let distance_ms = *self
            .distances
            .get(&spec.data_centre)
            .unwrap_or(&UNKNOWN_DISTANCE_MS);
        let index = self.place_of(&spec.target);
        let slots = spec.slots.max(1) as f32;
        let former = match &mut self.replicas[index as usize] {
            Some(replica) => {
                replica.slots = slots;
                replica.distance_ms = distance_ms;
                std::mem::replace(&mut replica.pools, spec.pools.iter().cloned().collect())
            }
            vacant @ None => {
                self.last_generation += 1;
                *vacant = Some(Replica {
                    target: spec.target.clone(),
                    slots,
                    distance_ms,
                    availability: Availability::Up,
                    cache_horizon: None,
                    load: LoadEstimate::default(),
                    health: TargetHealth::new(),
                    pools: spec.pools.iter().cloned().collect(),
                    generation: self.last_generation,
                });
                SmallVec::new()
            }
        };
        for (pool, _) in &former {
            self.leave_pool(pool, index);
        }
        for (pool, _) in &spec.pools {
            let pool = self.pools.entry(pool.clone()).or_default();
            pool.insert(index, &spec.target);
        }
    }

    /// Removes a target.
    pub fn remove(&mut self, target: &TargetId) {
        let Some(index) = self.places.remove(target) else {
            return;
        };
        if let Some(replica) = self.replicas[index as usize].take() {
            for (pool, _) in &replica.pools {
                self.leave_pool(pool, index);
            }
        }
        self.vacant.push(index);
    }

    /// Sets whether a target takes new requests.
    pub fn set_availability(&mut self, target: &TargetId, availability: Availability) {
        if let Some(replica) = self.replica_mut(target) {
            replica.availability = availability;
        }
    }

    /// Takes over a load report of a target.
    pub fn apply_report(&mut self, target: &TargetId, report: LoadReport) {
        if let Some(replica) = self.replica_mut(target) {
            replica.load.apply_report(report);
        }
    }

    /// Takes over how many prompt tokens of other entries a target has not read.
    pub fn set_peer_prefill_tokens(&mut self, target: &TargetId, tokens: u32) {
        if let Some(replica) = self.replica_mut(target) {
            replica.load.set_peer_prefill_tokens(tokens);
        }
    }

    /// Returns the prompt tokens that a target has not read, as far as entries tell.
    #[must_use]
    pub fn pending_prefill_tokens(&self, target: &TargetId) -> u32 {
        let replica = self.places.get(target);
        let replica = replica.and_then(|index| self.replicas[*index as usize].as_ref());
        replica.map_or(0, |replica| replica.load.pending_prefill_tokens())
    }

    /// Counts a request that is sent to the chosen target. Every call is followed by one of
    /// [`Self::record_outcome`] and one of [`Self::record_end`].
    pub fn record_send(&mut self, choice: &RouteChoice, now: Duration) {
        if let Some(replica) = self.replica_mut(&choice.target) {
            replica.load.record_send(choice.prefill_tokens, now);
            replica.health.record_send(now);
        }
    }

    /// Notes how the start of an exchange went. A target that fails or is slow is ejected, unless
    /// a third of one of its pools is ejected already.
    pub fn record_outcome(
        &mut self,
        choice: &RouteChoice,
        exchange: ExchangeOutcome,
        now: Duration,
    ) {
        let Some(index) = self.places.get(&choice.target).copied() else {
            return;
        };
        if let Some(replica) = &mut self.replicas[index as usize] {
            replica.load.record_first_byte(choice.prefill_tokens);
            replica
                .health
                .record_outcome(exchange, choice.baseline_ms, now);
        }
        self.eject_outlier(index, now);
    }

    /// Counts a request that has ended.
    pub fn record_end(&mut self, target: &TargetId, now: Duration) {
        if let Some(replica) = self.replica_mut(target) {
            replica.load.record_end(now);
        }
    }

    /// Notes that a prompt was sent to a target, which will have its prefixes in the cache.
    pub fn record_prefixes(&mut self, target: &TargetId, prefix: &[PrefixBlock], now: Duration) {
        let Some(index) = self.places.get(target).copied() else {
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
        for block in prefix.iter().take(LONGEST_PREFIX) {
            self.belief.add(block.hash, holder);
        }
    }

    /// Takes over how many prompt tokens a target found in its cache. Caches drop what was not
    /// used for longest: if less than half of what was believed is there, the target has dropped
    /// everything last used before the evidence for it.
    #[allow(clippy::cast_precision_loss)] // Token counts are far below 2^24.
    pub fn record_cached_tokens(&mut self, choice: &RouteChoice, cached_tokens: u32) {
        if let Some(tokens) = choice.ring_tokens {
            let found = (cached_tokens as f32 / tokens.max(1) as f32).min(1.0);
            self.home_hits += (found - self.home_hits) * HOME_SAMPLE_WEIGHT;
        }
        let Some((believed, seen_at)) = choice.evidence else {
            return;
        };
        if cached_tokens >= believed / 2 {
            return;
        }
        if let Some(replica) = self.replica_mut(&choice.target) {
            replica.cache_horizon = replica.cache_horizon.max(Some(seen_at));
        }
    }

    /// Notes that a target has dropped a prefix from its cache, or turned out not to have it.
    pub fn remove_prefix(&mut self, target: &TargetId, hash: u64) {
        if let Some(index) = self.places.get(target) {
            self.belief.remove(hash, *index);
        }
    }

    /// Returns the health of a target.
    #[must_use]
    pub fn health(&self, target: &TargetId) -> Option<HealthState> {
        let index = self.places.get(target)?;
        Some(self.replicas[*index as usize].as_ref()?.health.state)
    }

    fn place_of(&mut self, target: &TargetId) -> u32 {
        if let Some(index) = self.places.get(target) {
            return *index;
        }
        let index = self.vacant.pop().unwrap_or_else(|| {
            self.replicas.push(None);
            u32::try_from(self.replicas.len() - 1).unwrap_or(u32::MAX)
        });
        self.places.insert(target.clone(), index);
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

    fn replica_mut(&mut self, target: &TargetId) -> Option<&mut Replica> {
        let index = self.places.get(target)?;
        self.replicas[*index as usize].as_mut()
    }
}
