use std::time::Duration;

use rand::Rng;
use smallvec::SmallVec;

use super::{
    Availability, PoolId, ReplicaTable, RouteChoice, RouteRequest, prefix_index::PrefixHolder,
    replica::Replica, replica_pool::ReplicaPool, table::LONGEST_PREFIX,
};
use crate::ids::VersionId;

/// Holders of prefixes that are scored at most; bounds the time of a choice.
const MOST_HOLDERS: usize = 8;

/// Part of the time in a slot by which a full batch delays the first byte.
const BATCH_SHARE: f32 = 0.03;

/// Targets that even the most frequent prefix is sent to without evidence.
const MOST_HOMES: usize = 8;

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

/// A replica believed to have a prefix of the prompt.
#[derive(Clone, Copy)]
struct KnownPrefix {
    index: u32,
    /// Tokens discounted for the age of the evidence.
    expected: u32,
    evidence: Option<(u32, Duration)>,
    ring_tokens: Option<u32>,
}

impl ReplicaTable {
    /// Chooses a target for a request; `None` when no target of the pool can take it. A pool whose
    /// targets are all ejected is used as if none were.
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
        let mut known = self.known_prefixes(request, now);
        self.add_homes(pool, request, &mut known);
        for prefix in &known {
            if self.is_candidate(prefix.index, request, Some(now)) {
                candidates.push(self.candidate(prefix.index, Some(prefix)));
            }
        }
        self.sample(members, request, Some(now), &mut candidates, rng);
        if candidates.is_empty() {
            self.sample(members, request, None, &mut candidates, rng);
        }
        self.rate(&mut candidates, request, now);
        let chosen = self.draw(&candidates, rng)?;
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

    /// Adds members to the candidates, from a random place on; all of a small pool.
    fn sample(
        &self,
        members: &[u32],
        request: &RouteRequest,
        healthy_at: Option<Duration>,
        candidates: &mut SmallVec<[Candidate; 24]>,
        rng: &mut impl Rng,
    ) {
        let wanted = candidates.len() + self.tuning.sample_size;
        let is_small = members.len() <= self.tuning.sample_size;
        // A large pool is probed at random; a second pass in order finds what few can take it.
        let probes = if is_small {
            0
        } else {
            self.tuning.sample_size * 2
        };
        let start = if members.is_empty() {
            0
        } else {
            rng.random_range(0..members.len())
        };
        let ordered = (0..members.len()).map(|step| (start + step) % members.len());
        let random: SmallVec<[usize; 32]> = (0..probes)
            .map(|_| rng.random_range(0..members.len()))
            .collect();
        let mut found = 0;
        for (step, place) in random.iter().copied().chain(ordered).enumerate() {
            if candidates.len() >= wanted || (step >= probes && !is_small && found > 0) {
                return;
            }
            let index = members[place];
            let is_new = candidates.iter().all(|known| known.index != index);
            if is_new && self.is_candidate(index, request, healthy_at) {
                candidates.push(self.candidate(index, None));
                found += 1;
            }
        }
    }

    /// Draws candidates weighted by their cost and returns the cheapest of them.
    fn draw(&self, candidates: &[Candidate], rng: &mut impl Rng) -> Option<Candidate> {
        let least = candidates
            .iter()
            .map(|known| known.cost_ms)
            .min_by(f32::total_cmp)?;
        let weight =
            |known: &Candidate| (-(known.cost_ms - least) / self.tuning.temperature_ms).exp();
        let weights: SmallVec<[f32; 24]> = candidates.iter().map(weight).collect();
        let total: f32 = weights.iter().sum();
        let draw_one = |rng: &mut dyn rand::RngCore| {
            let mut left = rng.random_range(0.0..1.0_f32) * total;
            for (candidate, weight) in candidates.iter().zip(&weights) {
                left -= weight;
                if left <= 0.0 {
                    return *candidate;
                }
            }
            candidates[candidates.len() - 1]
        };
        (0..self.tuning.draws.max(1))
            .map(|_| draw_one(rng))
            .min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms))
    }

    fn candidate(&self, index: u32, known: Option<&KnownPrefix>) -> Candidate {
        let replica = self.replicas[index as usize].as_ref();
        Candidate {
            index,
            cost_ms: f32::INFINITY,
            baseline_ms: f32::INFINITY,
            load: replica.map_or(0.0, |replica| replica.load.expected_requests(self.scale)),
            cached_tokens: known.map_or(0, |prefix| prefix.expected),
            evidence: known.and_then(|prefix| prefix.evidence),
            ring_tokens: known.and_then(|prefix| prefix.ring_tokens),
        }
    }

    /// Sets the costs of all candidates. The older a report is, the less a difference from the
    /// mean tells: by then the other entries have acted on it, and the load has moved on.
    #[allow(clippy::cast_precision_loss)] // There are at most 24 candidates.
    fn rate(&self, candidates: &mut [Candidate], request: &RouteRequest, now: Duration) {
        let sum: f32 = candidates.iter().map(|known| known.load).sum();
        let mean = sum / candidates.len().max(1) as f32;
        let half_life = self.tuning.load_half_life.as_secs_f32();
        for candidate in candidates {
            let Some(replica) = &self.replicas[candidate.index as usize] else {
                continue;
            };
            let age = now.saturating_sub(replica.load.reported_at()).as_secs_f32();
            let confidence = (-age * self.others_share / half_life).exp2();
            let load = mean + (candidate.load - mean) * confidence;
            // Own requests are certain, however old the report is.
            let load = load.max(replica.load.in_flight() as f32);
            let baseline_ms = self.baseline_ms(replica, load, candidate.cached_tokens, request);
            candidate.load = load;
            candidate.baseline_ms = baseline_ms;
            candidate.cost_ms = replica.distance_ms + replica.health.slowness * baseline_ms;
        }
    }

    /// Expected time to the first byte at a target of normal speed, apart from the distance.
    #[allow(clippy::cast_precision_loss)] // Token counts are far below 2^24.
    fn baseline_ms(
        &self,
        replica: &Replica,
        load: f32,
        cached: u32,
        request: &RouteRequest,
    ) -> f32 {
        let occupied = (load + 1.0) / replica.slots;
        // Below its slots a target only slows down; beyond them a request waits for a slot.
        let waits = if occupied <= 1.0 {
            BATCH_SHARE * occupied
        } else {
            BATCH_SHARE + (occupied - 1.0)
        };
        // An engine serves a high priority before what waits there.
        let urgency = 1.0 - 0.05 * f32::from(request.priority.min(9));
        let prefill = request.prompt_tokens.saturating_sub(cached) as f32
            + replica.load.pending_prefill_tokens() as f32;
        waits * urgency * self.tuning.slot_ms + prefill * self.tuning.prefill_ms_per_token
    }

    /// Replicas believed to have a prefix of the prompt, with the expected number of tokens.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    fn known_prefixes(&self, request: &RouteRequest, now: Duration) -> SmallVec<[KnownPrefix; 16]> {
        let mut known: SmallVec<[KnownPrefix; 16]> = SmallVec::new();
        let half_life = self.tuning.prefix_half_life.as_secs_f32();
        for block in request.prefix.iter().take(LONGEST_PREFIX).rev() {
            for holder in self.belief.holders(block.hash) {
                let is_known = known.iter().any(|prefix| prefix.index == holder.replica);
                if is_known || known.len() == MOST_HOLDERS || !self.is_current(holder) {
                    continue;
                }
                let age = now.saturating_sub(holder.seen_at).as_secs_f32();
                known.push(KnownPrefix {
                    index: holder.replica,
                    expected: (block.tokens as f32 * (-age / half_life).exp2()) as u32,
                    evidence: Some((block.tokens, holder.seen_at)),
                    ring_tokens: None,
                });
            }
        }
        known
    }

    /// Adds the homes of the prompt's first prefix, where other entries send it too. The first
    /// prefix is the one that most prompts share.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    fn add_homes(
        &self,
        pool: &ReplicaPool,
        request: &RouteRequest,
        known: &mut SmallVec<[KnownPrefix; 16]>,
    ) {
        let blocks = &request.prefix[..request.prefix.len().min(LONGEST_PREFIX)];
        let (Some(first), Some(last)) = (blocks.first(), blocks.last()) else {
            return;
        };
        // A prefix needs as many targets as its share of the load is worth, and half as many more.
        let share = self.popularity.of(first.hash) * pool.members.len() as f32 * 1.5;
        let count = (self.tuning.ring_targets + share as usize).min(MOST_HOMES);
        let count = if self.tuning.ring_targets == 0 {
            0
        } else {
            count
        };
        for index in pool.homes(first.hash, count) {
            if known.iter().all(|prefix| prefix.index != index) {
                known.push(KnownPrefix {
                    index,
                    expected: (last.tokens as f32 * self.home_hits) as u32,
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
            let is_kept = replica
                .cache_horizon
                .is_none_or(|horizon| holder.seen_at > horizon);
            is_kept && replica.generation == holder.generation
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
        let holds = |(pool, version): &(PoolId, Option<VersionId>)| {
            pool == request.pool
                && request
                    .version
                    .is_none_or(|wanted| version.as_ref() == Some(wanted))
        };
        replica.availability == Availability::Up
            && healthy_at.is_none_or(|now| replica.health.admits(now))
            && replica.pools.iter().any(holds)
            && !request.tried.contains(&replica.target)
    }
}
