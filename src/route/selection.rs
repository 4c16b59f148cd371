use std::time::Duration;

use rand::Rng;
use smallvec::SmallVec;

use super::{
    Availability, PoolId, ReplicaTable, RouteChoice, RouteRequest, prefix_index::PrefixHolder,
    replica::Replica, replica_pool::ReplicaPool, table::MAX_PREFIX_BLOCKS,
};
use crate::ids::VersionId;

/// Maximum number of prefix holders that are scored; bounds the time of a selection.
const MAX_SCORED_HOLDERS: usize = 8;

/// Delay of the first byte by a full batch, as a fraction of the time in a slot.
const FULL_BATCH_DELAY: f32 = 0.03;

/// Maximum number of ring targets of a prefix, however frequent the prefix is.
const MAX_RING_TARGETS: usize = 8;

#[derive(Clone, Copy)]
struct Candidate {
    index: u32,
    cost_ms: f32,
    baseline_ms: f32,
    load: f32,
    cached_tokens: u32,
    evidence: Option<(u32, Duration)>,
    ring_tokens: Option<u32>,
}

/// A replica that is expected to have a prefix of the prompt in its cache.
#[derive(Clone, Copy)]
struct CachedPrefix {
    index: u32,
    /// Expected cached tokens, discounted for the age of the evidence.
    expected_tokens: u32,
    evidence: Option<(u32, Duration)>,
    ring_tokens: Option<u32>,
}

impl ReplicaTable {
    /// Selects a target for a request, or returns `None` when no target of the pool can take it.
    /// Ejections are ignored when no healthy target of the pool can take the request.
    #[must_use]
    pub fn choose(
        &self,
        request: &RouteRequest,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<RouteChoice> {
        let pool = self.pools.get(request.pool)?;
        let members = &pool.members;
        let mut candidates: SmallVec<[Candidate; 24]> = SmallVec::new();
        let mut prefixes = self.cached_prefixes(request, now);
        self.add_ring_targets(pool, request, &mut prefixes);
        for prefix in &prefixes {
            if self.is_candidate(prefix.index, request, Some(now)) {
                candidates.push(self.candidate(prefix.index, Some(prefix)));
            }
        }
        self.sample(members, request, Some(now), &mut candidates, rng);
        if candidates.is_empty() {
            self.sample(members, request, None, &mut candidates, rng);
        }
        self.score(&mut candidates, request, now);
        let chosen = self.draw_cheapest(&candidates, rng)?;
        Some(RouteChoice {
            target: self.replicas[chosen.index as usize]
                .as_ref()?
                .target
                .clone(),
            cost_ms: chosen.cost_ms,
            baseline_ms: chosen.baseline_ms,
            load: chosen.load,
            cached_tokens: chosen.cached_tokens,
            prefill_tokens: request.prompt_tokens.saturating_sub(chosen.cached_tokens),
            evidence: chosen.evidence,
            ring_tokens: chosen.ring_tokens,
        })
    }

    /// Samples pool members as candidates. All members of a small pool are considered, starting at
    /// a random position.
    fn sample(
        &self,
        members: &[u32],
        request: &RouteRequest,
        healthy_at: Option<Duration>,
        candidates: &mut SmallVec<[Candidate; 24]>,
        rng: &mut impl Rng,
    ) {
        let max_candidates = candidates.len() + self.tuning.sample_size;
        let is_small = members.len() <= self.tuning.sample_size;
        // A large pool is probed at random. If no probe finds a candidate, a pass in order finds
        // the few members that can take the request.
        let random_probes = if is_small {
            0
        } else {
            self.tuning.sample_size * 2
        };
        let start = if members.is_empty() {
            0
        } else {
            rng.random_range(0..members.len())
        };
        let ordered_positions = (0..members.len()).map(|step| (start + step) % members.len());
        let random_positions: SmallVec<[usize; 32]> = (0..random_probes)
            .map(|_| rng.random_range(0..members.len()))
            .collect();
        let mut found = 0;
        for (step, position) in random_positions
            .iter()
            .copied()
            .chain(ordered_positions)
            .enumerate()
        {
            if candidates.len() >= max_candidates
                || (step >= random_probes && !is_small && found > 0)
            {
                return;
            }
            let index = members[position];
            let is_new = candidates.iter().all(|candidate| candidate.index != index);
            if is_new && self.is_candidate(index, request, healthy_at) {
                candidates.push(self.candidate(index, None));
                found += 1;
            }
        }
    }

    /// Draws candidates at random, weighted by cost, and returns the cheapest of those drawn.
    fn draw_cheapest(&self, candidates: &[Candidate], rng: &mut impl Rng) -> Option<Candidate> {
        let min_cost_ms = candidates
            .iter()
            .map(|candidate| candidate.cost_ms)
            .min_by(f32::total_cmp)?;
        let weight = |candidate: &Candidate| {
            (-(candidate.cost_ms - min_cost_ms) / self.tuning.temperature_ms).exp()
        };
        let weights: SmallVec<[f32; 24]> = candidates.iter().map(weight).collect();
        let total: f32 = weights.iter().sum();
        let draw_candidate = |rng: &mut dyn rand::RngCore| {
            let mut remaining = rng.random_range(0.0..1.0_f32) * total;
            for (candidate, weight) in candidates.iter().zip(&weights) {
                remaining -= weight;
                if remaining <= 0.0 {
                    return *candidate;
                }
            }
            candidates[candidates.len() - 1]
        };
        (0..self.tuning.draws.max(1))
            .map(|_| draw_candidate(rng))
            .min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms))
    }

    fn candidate(&self, index: u32, prefix: Option<&CachedPrefix>) -> Candidate {
        let replica = self.replicas[index as usize].as_ref();
        Candidate {
            index,
            cost_ms: f32::INFINITY,
            baseline_ms: f32::INFINITY,
            load: replica.map_or(0.0, |replica| {
                replica.load.expected_requests(self.send_weight)
            }),
            cached_tokens: prefix.map_or(0, |prefix| prefix.expected_tokens),
            evidence: prefix.and_then(|prefix| prefix.evidence),
            ring_tokens: prefix.and_then(|prefix| prefix.ring_tokens),
        }
    }

    /// Sets the costs of all candidates. The weight of a load difference from the mean decays with
    /// the age of the report, because other entries have acted on the report and the load has
    /// changed since.
    #[allow(clippy::cast_precision_loss)] // There are at most 24 candidates.
    fn score(&self, candidates: &mut [Candidate], request: &RouteRequest, now: Duration) {
        let sum: f32 = candidates.iter().map(|candidate| candidate.load).sum();
        let mean = sum / candidates.len().max(1) as f32;
        let half_life = self.tuning.load_half_life.as_secs_f32();
        for candidate in candidates {
            let Some(replica) = &self.replicas[candidate.index as usize] else {
                continue;
            };
            let age = now.saturating_sub(replica.load.reported_at()).as_secs_f32();
            let confidence = (-age * self.peer_share / half_life).exp2();
            let load = mean + (candidate.load - mean) * confidence;
            // The requests of this entry are known exactly, however old the report is.
            let load = load.max(replica.load.in_flight() as f32);
            let baseline_ms = self.baseline_ms(replica, load, candidate.cached_tokens, request);
            candidate.load = load;
            candidate.baseline_ms = baseline_ms;
            candidate.cost_ms = replica.distance_ms + replica.time_factor(now) * baseline_ms;
        }
    }

    /// Returns the expected time to the first byte at a target of normal speed, without the network
    /// distance.
    #[allow(clippy::cast_precision_loss)] // Token counts are far below 2^24.
    fn baseline_ms(
        &self,
        replica: &Replica,
        load: f32,
        cached: u32,
        request: &RouteRequest,
    ) -> f32 {
        let occupancy = (load + 1.0) / replica.slots;
        // A request with a free slot is only slowed down by the batch; others wait for a slot.
        let slot_delay = if occupancy <= 1.0 {
            FULL_BATCH_DELAY * occupancy
        } else {
            FULL_BATCH_DELAY + (occupancy - 1.0)
        };
        // An engine serves requests of higher priority before the others in its queue.
        let priority_factor = 1.0 - 0.05 * f32::from(request.priority.min(9));
        let prefill = request.prompt_tokens.saturating_sub(cached) as f32
            + replica.load.pending_prefill_tokens() as f32;
        slot_delay * priority_factor * self.tuning.slot_ms
            + prefill * self.tuning.prefill_ms_per_token
    }

    /// Returns the replicas that are expected to have a prefix of the prompt, with the expected
    /// number of cached tokens.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    fn cached_prefixes(
        &self,
        request: &RouteRequest,
        now: Duration,
    ) -> SmallVec<[CachedPrefix; 16]> {
        let mut prefixes: SmallVec<[CachedPrefix; 16]> = SmallVec::new();
        let half_life = self.tuning.prefix_half_life.as_secs_f32();
        for block in request.prefix.iter().take(MAX_PREFIX_BLOCKS).rev() {
            for holder in self.prefix_index.holders(block.hash) {
                let is_known = prefixes.iter().any(|prefix| prefix.index == holder.replica);
                if is_known || prefixes.len() == MAX_SCORED_HOLDERS || !self.is_current(holder) {
                    continue;
                }
                let age = now.saturating_sub(holder.seen_at).as_secs_f32();
                prefixes.push(CachedPrefix {
                    index: holder.replica,
                    expected_tokens: (block.tokens as f32 * (-age / half_life).exp2()) as u32,
                    evidence: Some((block.tokens, holder.seen_at)),
                    ring_tokens: None,
                });
            }
        }
        prefixes
    }

    /// Adds the ring targets of the prompt's first prefix, to which other entries send it too. The
    /// first prefix is the one that is shared by most prompts.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    fn add_ring_targets(
        &self,
        pool: &ReplicaPool,
        request: &RouteRequest,
        prefixes: &mut SmallVec<[CachedPrefix; 16]>,
    ) {
        let blocks = &request.prefix[..request.prefix.len().min(MAX_PREFIX_BLOCKS)];
        let (Some(first), Some(last)) = (blocks.first(), blocks.last()) else {
            return;
        };
        // A prefix needs targets in proportion to its share of the load, plus half as many.
        let share = self.popularity.share(first.hash) * pool.members.len() as f32 * 1.5;
        let count = (self.tuning.ring_targets + share as usize).min(MAX_RING_TARGETS);
        let count = if self.tuning.ring_targets == 0 {
            0
        } else {
            count
        };
        for index in pool.ring_targets(first.hash, count) {
            if prefixes.iter().all(|prefix| prefix.index != index) {
                prefixes.push(CachedPrefix {
                    index,
                    expected_tokens: (last.tokens as f32 * self.ring_hit_rate) as u32,
                    evidence: None,
                    ring_tokens: Some(last.tokens),
                });
            }
        }
    }

    fn is_current(&self, holder: &PrefixHolder) -> bool {
        let replica = self
            .replicas
            .get(holder.replica as usize)
            .and_then(Option::as_ref);
        replica.is_some_and(|replica| {
            let is_cached = replica
                .cache_horizon
                .is_none_or(|horizon| holder.seen_at > horizon);
            is_cached && replica.generation == holder.generation
        })
    }

    fn is_candidate(
        &self,
        index: u32,
        request: &RouteRequest,
        healthy_at: Option<Duration>,
    ) -> bool {
        let Some(replica) = &self.replicas[index as usize] else {
            return false;
        };
        let is_matching_pool = |(pool, version): &(PoolId, Option<VersionId>)| {
            pool == request.pool
                && request
                    .version
                    .is_none_or(|required| version.as_ref() == Some(required))
        };
        let has_warmth = |required| replica.warmth == required;
        replica.availability == Availability::Up
            && request.warmth.is_none_or(has_warmth)
            && healthy_at.is_none_or(|now| replica.health.accepts_request(now))
            && replica.pools.iter().any(is_matching_pool)
            && !request.tried.contains(&replica.target)
            && request.data_centres.allows(&replica.data_centre)
    }
}
