use std::time::Duration;

use super::{
    PlacementPlanner, StepReason,
    draft::{CopyLocation, PlanDraft},
    planner::{CopyNeed, mean_slots, to_usize},
};
use crate::{
    border::ModelConfig,
    fleet::FleetIndex,
    ids::{ModelId, TargetId},
    sync::ResidentCopy,
};

/// Time after an eviction decision during which the copy accepts no new adapters while its own are
/// unloaded.
const PENDING_EVICTION_TTL: Duration = Duration::from_secs(10);

/// Demand below which a copy counts as idle.
const IDLE_TOKENS_PER_S: f64 = 0.1;

/// How much value may be evicted to make room for a copy.
#[derive(Clone, Copy, PartialEq)]
enum EvictionMode {
    /// Evict copies only if the loss is within the budget that hysteresis and load cost leave.
    IfProfitable,
    /// Evict whatever frees enough memory.
    Forced,
}

/// A copy that may be evicted.
struct EvictionCandidate {
    /// Value lost by the eviction, in tokens per second.
    loss: f64,
    location: CopyLocation,
}

impl PlacementPlanner {
    /// Adds the first unload step that makes room for a model, if the value lost is low enough.
    pub(super) fn evict_for(
        &mut self,
        need: &CopyNeed,
        index: &FleetIndex,
        draft: &mut PlanDraft,
        now: Duration,
    ) {
        self.pending_evictions
            .retain(|_, decided_at| now.saturating_sub(*decided_at) < PENDING_EVICTION_TTL);
        let mode = self.eviction_mode(need, now);
        let budget = match mode {
            EvictionMode::Forced => f64::MAX,
            // Waiting requests justify the cost of a load in any case.
            EvictionMode::IfProfitable if need.reason == StepReason::Waiting => {
                need.value / self.params.hysteresis
            }
            EvictionMode::IfProfitable => {
                (need.value - self.params.load_cost) / self.params.hysteresis
            }
        };
        let model = &need.model;
        let slots = mean_slots(&draft.engines);
        let cheapest = (0..draft.engines.len())
            .filter(|engine| draft.is_available(*engine) && !draft.holds(*engine, &model.id))
            .filter_map(|engine| {
                let candidates = self.list_candidates(need, engine, index, draft, slots, now);
                cheapest_eviction(model, engine, &candidates, draft)
            })
            .min_by(|a, b| a.loss.total_cmp(&b.loss));
        let Some(EvictionCandidate { loss, location }) = cheapest else {
            return;
        };
        if loss > budget {
            return;
        }
        if mode == EvictionMode::Forced && need.reason == StepReason::Waiting {
            self.last_forced = Some(now);
        }
        let engine = draft.engines[location.0].id.clone();
        self.pending_evictions
            .insert((engine, draft.copy(location).model.clone()), now);
        // The adapters depend on the model, so they are unloaded first.
        let adapter = adapters_of(location, index, draft).next();
        draft.unload(adapter.unwrap_or(location), StepReason::Evicted);
    }

    /// Chooses the eviction mode for a copy.
    ///
    /// Forced evictions for waiting requests are limited to one per `forced_eviction_delay`.
    /// Otherwise a fleet without memory for all its busy models would spend its time loading. The
    /// model with the longest wait comes first, so that each model gets its turn.
    fn eviction_mode(&self, need: &CopyNeed, now: Duration) -> EvictionMode {
        let wait_time = self.estimator.get(&need.model.id).wait_time;
        let may_force = self
            .last_forced
            .is_none_or(|forced_at| now >= forced_at + self.params.forced_eviction_delay);
        match need.reason {
            StepReason::Pinned => EvictionMode::Forced,
            StepReason::Waiting if wait_time >= self.params.forced_eviction_delay && may_force => {
                EvictionMode::Forced
            }
            _ => EvictionMode::IfProfitable,
        }
    }

    /// Returns how long after its load a copy of `victim` is protected from eviction for `need`.
    fn protection_period(&self, need: &CopyNeed, victim: &ModelId, now: Duration) -> Duration {
        let is_idle = self.estimator.get(victim).token_rate < IDLE_TOKENS_PER_S;
        match (need.reason, self.eviction_mode(need, now)) {
            (StepReason::Pinned, _) => Duration::ZERO,
            (_, EvictionMode::Forced) => self.params.min_idle_residency,
            (_, EvictionMode::IfProfitable) if is_idle => self.params.min_idle_residency,
            (_, EvictionMode::IfProfitable) => self.params.min_residency,
        }
    }

    /// Returns whether a copy has been chosen for eviction.
    pub(super) fn is_eviction_pending(&self, engine: &TargetId, model: &ModelId) -> bool {
        self.pending_evictions
            .contains_key(&(engine.clone(), model.clone()))
    }

    /// Lists the copies on an engine that may be evicted, lowest loss first.
    fn list_candidates(
        &self,
        need: &CopyNeed,
        engine: usize,
        index: &FleetIndex,
        draft: &PlanDraft,
        slots: f64,
        now: Duration,
    ) -> Vec<EvictionCandidate> {
        let capacity = &draft.engines[engine];
        let mut candidates = Vec::new();
        for (copy_index, copy) in capacity.copies.iter().enumerate() {
            let Some(model) = index.model(&copy.model) else {
                continue;
            };
            let loaded_at = self
                .first_seen
                .get(&(capacity.id.clone(), copy.model.clone()));
            let age = loaded_at.map_or(Duration::ZERO, |at| now.saturating_sub(*at));
            if age < self.protection_period(need, &copy.model, now) {
                continue;
            }
            let location = (engine, copy_index);
            let adapters = adapters_of(location, index, draft);
            let adapter_rates = adapters.map(|adapter| {
                let adapter = &draft.copy(adapter).model;
                if draft.copies_of(adapter).count() > 1 {
                    0.0
                } else {
                    self.estimator.get(adapter).token_rate
                }
            });
            let copies = draft.copies_of(&copy.model).count();
            // An additional copy of one model never evicts the last copy of another.
            if copies == 1 && need.reason == StepReason::Demand {
                continue;
            }
            let loss = self.removal_loss(model, copies, slots) + adapter_rates.sum::<f64>();
            candidates.push(EvictionCandidate { loss, location });
        }
        candidates.sort_by(|a, b| a.loss.total_cmp(&b.loss));
        candidates
    }
}

/// Finds the accelerators of an engine that can be freed at the lowest loss. Returns the first copy
/// to evict with the total loss.
fn cheapest_eviction(
    model: &ModelConfig,
    engine: usize,
    candidates: &[EvictionCandidate],
    draft: &PlanDraft,
) -> Option<EvictionCandidate> {
    let capacity = &draft.engines[engine];
    let span = to_usize(model.span.max(1));
    let windows = capacity.free_mib.len().checked_sub(span)? + 1;
    (0..windows)
        .filter_map(|first| {
            let mut free_mib: Vec<u64> = capacity.free_mib[first..first + span].to_vec();
            let has_room = |free_mib: &[u64]| free_mib.iter().all(|free| *free >= model.memory_mib);
            let mut chosen: Option<EvictionCandidate> = None;
            for candidate in candidates {
                let copy = draft.copy(candidate.location);
                if has_room(&free_mib) {
                    break;
                }
                let mut frees_any = false;
                for accelerator in overlap(copy, first, span) {
                    free_mib[accelerator - first] += copy.memory_mib;
                    frees_any = true;
                }
                if frees_any {
                    let loss_before = chosen.as_ref().map_or(0.0, |chosen| chosen.loss);
                    let location = chosen.map_or(candidate.location, |chosen| chosen.location);
                    chosen = Some(EvictionCandidate {
                        loss: loss_before + candidate.loss,
                        location,
                    });
                }
            }
            chosen.filter(|_| has_room(&free_mib))
        })
        .min_by(|a, b| a.loss.total_cmp(&b.loss))
}

/// Returns the adapters on the same engine that are based on the model of a copy.
fn adapters_of<'b>(
    location: CopyLocation,
    index: &'b FleetIndex,
    draft: &'b PlanDraft,
) -> impl Iterator<Item = CopyLocation> + 'b {
    let model = &draft.copy(location).model;
    let copies = draft.engines[location.0].copies.iter().enumerate();
    copies
        .filter(move |(_, copy)| {
            index
                .adapter(&copy.model)
                .is_some_and(|adapter| adapter.model == *model)
        })
        .map(move |(copy_index, _)| (location.0, copy_index))
}

fn overlap(copy: &ResidentCopy, first: usize, span: usize) -> impl Iterator<Item = usize> {
    let start = to_usize(copy.first_accelerator);
    let end = start + to_usize(copy.span);
    start.max(first)..end.min(first + span)
}
