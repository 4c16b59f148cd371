use std::time::Duration;

use super::{
    PlacementPlanner, StepReason,
    board::{CopyPlace, PlacementBoard},
    planner::{CopyNeed, count, mean_slots},
};
use crate::{
    border::ModelConfig,
    fleet::FleetIndex,
    ids::{ModelId, TargetId},
    sync::ResidentCopy,
};

/// Time for which a copy takes no adapters while those that it carries are unloaded.
const EVICTION_LIMIT: Duration = Duration::from_secs(10);

/// Demand in tokens a second below which a copy counts as idle.
const IDLE_RATE: f64 = 0.1;

/// What room for a model may cost.
#[derive(Clone, Copy, PartialEq)]
enum Urgency {
    IfItPays,
    AtAnyCost,
}

/// A copy that could go, and what would be lost.
struct EvictionCandidate {
    loss: f64,
    place: CopyPlace,
}

impl PlacementPlanner {
    /// Takes the first step towards room for a model, if what goes is worth enough less.
    pub(super) fn make_room(
        &mut self,
        need: &CopyNeed,
        index: &FleetIndex,
        board: &mut PlacementBoard,
        now: Duration,
    ) {
        self.evicting
            .retain(|_, since| now.saturating_sub(*since) < EVICTION_LIMIT);
        let urgency = self.urgency(need, now);
        let budget = match urgency {
            Urgency::AtAnyCost => f64::MAX,
            // A caller who waits is worth a load in any case.
            Urgency::IfItPays if need.reason == StepReason::Waiting => {
                need.worth / self.rules.hysteresis
            }
            Urgency::IfItPays => (need.worth - self.rules.load_cost) / self.rules.hysteresis,
        };
        let model = &need.model;
        let slots = mean_slots(&board.engines);
        let best = (0..board.engines.len())
            .filter(|engine| board.is_open(*engine) && !board.holds(*engine, &model.id))
            .filter_map(|engine| {
                let candidates = self.candidates(need, engine, index, board, slots, now);
                cheapest_room(model, engine, &candidates, board)
            })
            .min_by(|a, b| a.loss.total_cmp(&b.loss));
        let Some(EvictionCandidate { loss, place }) = best else {
            return;
        };
        if loss > budget {
            return;
        }
        if urgency == Urgency::AtAnyCost && need.reason == StepReason::Waiting {
            self.forced_at = Some(now);
        }
        let engine = board.engines[place.0].id.clone();
        self.evicting
            .insert((engine, board.copy(place).model.clone()), now);
        // An engine needs a model for its adapters, so that they go first.
        let adapter = adapters_on(place, index, board).next();
        board.unload(adapter.unwrap_or(place), StepReason::Evicted);
    }

    /// A fleet without memory for all its busy models would spend its time loading if each of them
    /// could force its way in. One at a time may, the longest waiting first, so that all get a turn.
    fn urgency(&self, need: &CopyNeed, now: Duration) -> Urgency {
        let waited = self.demand.get(&need.model.id).waited;
        let is_turn = self
            .forced_at
            .is_none_or(|at| now >= at + self.rules.forced_eviction_delay);
        match need.reason {
            StepReason::Pinned => Urgency::AtAnyCost,
            StepReason::Waiting if waited >= self.rules.forced_eviction_delay && is_turn => {
                Urgency::AtAnyCost
            }
            _ => Urgency::IfItPays,
        }
    }

    /// Time after its load for which a copy does not go for this need.
    fn protected_for(&self, need: &CopyNeed, victim: &ModelId, now: Duration) -> Duration {
        let is_idle = self.demand.get(victim).rate < IDLE_RATE;
        match (need.reason, self.urgency(need, now)) {
            (StepReason::Pinned, _) => Duration::ZERO,
            (_, Urgency::AtAnyCost) => self.rules.min_idle_residency,
            (_, Urgency::IfItPays) if is_idle => self.rules.min_idle_residency,
            (_, Urgency::IfItPays) => self.rules.min_residency,
        }
    }

    /// Tells whether a copy is about to go.
    pub(super) fn is_evicting(&self, engine: &TargetId, model: &ModelId) -> bool {
        self.evicting.contains_key(&(engine.clone(), model.clone()))
    }

    /// Lists the copies on an engine that may go, least loss first.
    fn candidates(
        &self,
        need: &CopyNeed,
        engine: usize,
        index: &FleetIndex,
        board: &PlacementBoard,
        slots: f64,
        now: Duration,
    ) -> Vec<EvictionCandidate> {
        let room = &board.engines[engine];
        let mut candidates = Vec::new();
        for (number, copy) in room.copies.iter().enumerate() {
            let Some(model) = index.model(&copy.model) else {
                continue;
            };
            let first_seen = self.since.get(&(room.id.clone(), copy.model.clone()));
            let age = first_seen.map_or(Duration::ZERO, |first| now.saturating_sub(*first));
            if age < self.protected_for(need, &copy.model, now) {
                continue;
            }
            let place = (engine, number);
            let adapters = adapters_on(place, index, board);
            let adapter_rates = adapters.map(|adapter| {
                let adapter = &board.copy(adapter).model;
                if board.lasting(adapter).count() > 1 {
                    0.0
                } else {
                    self.demand.get(adapter).rate
                }
            });
            let copies = board.lasting(&copy.model).count();
            // An extra copy of one model never makes another one cold.
            if copies == 1 && need.reason == StepReason::Demand {
                continue;
            }
            let loss = self.worth_of_last(model, copies, slots) + adapter_rates.sum::<f64>();
            candidates.push(EvictionCandidate { loss, place });
        }
        candidates.sort_by(|a, b| a.loss.total_cmp(&b.loss));
        candidates
    }
}

/// Finds the accelerators of an engine on which room costs least, and the first copy to go.
fn cheapest_room(
    model: &ModelConfig,
    engine: usize,
    candidates: &[EvictionCandidate],
    board: &PlacementBoard,
) -> Option<EvictionCandidate> {
    let room = &board.engines[engine];
    let span = count(model.span.max(1));
    let windows = room.free_mib.len().checked_sub(span)? + 1;
    (0..windows)
        .filter_map(|first| {
            let mut free: Vec<u64> = room.free_mib[first..first + span].to_vec();
            let fits = |free: &[u64]| free.iter().all(|free| *free >= model.memory_mib);
            let mut chosen: Option<EvictionCandidate> = None;
            for candidate in candidates {
                let copy = board.copy(candidate.place);
                if fits(&free) {
                    break;
                }
                let mut frees_any = false;
                for accelerator in overlap(copy, first, span) {
                    free[accelerator - first] += copy.memory_mib;
                    frees_any = true;
                }
                if frees_any {
                    let before = chosen.as_ref().map_or(0.0, |chosen| chosen.loss);
                    let place = chosen.map_or(candidate.place, |chosen| chosen.place);
                    chosen = Some(EvictionCandidate {
                        loss: before + candidate.loss,
                        place,
                    });
                }
            }
            chosen.filter(|_| fits(&free))
        })
        .min_by(|a, b| a.loss.total_cmp(&b.loss))
}

/// Returns the adapters on the same engine that belong to the model of a copy.
fn adapters_on<'b>(
    place: CopyPlace,
    index: &'b FleetIndex,
    board: &'b PlacementBoard,
) -> impl Iterator<Item = CopyPlace> + 'b {
    let model = &board.copy(place).model;
    let copies = board.engines[place.0].copies.iter().enumerate();
    copies
        .filter(move |(_, copy)| {
            index
                .adapter(&copy.model)
                .is_some_and(|adapter| adapter.model == *model)
        })
        .map(move |(number, _)| (place.0, number))
}

fn overlap(copy: &ResidentCopy, first: usize, span: usize) -> impl Iterator<Item = usize> {
    let start = count(copy.first_accelerator);
    let end = start + count(copy.span);
    start.max(first)..end.min(first + span)
}
