use std::time::{Duration, Instant};

use super::options::EngineOptions;
use crate::{
    ids::FencingNumber,
    order::{EngineOrder, OrderAction, OrderAnswer},
    sync::{EngineReport, ResidentCopy},
};

/// Memory, copies and orders of a stand-in engine.
pub struct EngineState {
    report: EngineReport,
    max_used_mib: Vec<u64>,
    options: EngineOptions,
    published: Option<(Instant, EngineReport)>,
}

impl EngineState {
    pub fn new(options: EngineOptions) -> Self {
        let report = EngineReport {
            incarnation: rand::random(),
            ..EngineReport::default()
        };
        Self {
            max_used_mib: vec![0; options.accelerators as usize],
            report,
            options,
            published: None,
        }
    }

    /// Returns the report, which may lag behind the state.
    pub fn report(&mut self, running: u32, queued: u32) -> EngineReport {
        let lag = Duration::from_millis(self.options.report_lag_ms);
        match &self.published {
            Some((at, report)) if at.elapsed() < lag => return report.clone(),
            _ => {}
        }
        let report = EngineReport {
            running,
            queued,
            ..self.report.clone()
        };
        self.published = Some((Instant::now(), report.clone()));
        report
    }

    /// Whether a copy of the model can serve requests.
    pub fn is_ready(&self, model: &str) -> bool {
        self.report
            .copies
            .iter()
            .any(|copy| copy.model == model && copy.is_ready)
    }

    /// Models and adapters that can serve requests.
    pub fn ready_models(&self) -> Vec<String> {
        let ready = self.report.copies.iter().filter(|copy| copy.is_ready);
        ready.map(|copy| copy.model.to_string()).collect()
    }

    /// Accepts or refuses an order; an accepted one is carried out by [`EngineState::finish`].
    pub fn accept(&mut self, order: &EngineOrder) -> OrderAnswer {
        if self.options.checks_fencing.is_on() && order.fencing <= self.report.last_fencing {
            return OrderAnswer::OldFencing;
        }
        if let OrderAction::Load(copy) = &order.action {
            if self.options.checks_memory.is_on() && !self.fits(copy) {
                return OrderAnswer::NoMemory;
            }
            self.report.copies.push(ResidentCopy {
                is_ready: false,
                ..copy.clone()
            });
            self.note_memory();
        }
        if let OrderAction::Unload(copy) = &order.action {
            for held in self.matching(copy) {
                held.is_ready = false;
            }
        }
        self.report.last_fencing = self.report.last_fencing.max(order.fencing);
        self.report.in_progress = Some(order.fencing);
        OrderAnswer::Accepted
    }

    /// Carries an accepted order out.
    pub fn finish(&mut self, order: &EngineOrder) {
        match &order.action {
            OrderAction::Load(copy) => {
                for held in self.matching(copy) {
                    held.is_ready = true;
                }
            }
            OrderAction::Unload(copy) => self.report.copies.retain(|held| !is_same(held, copy)),
        }
        self.end_progress(order.fencing);
    }

    /// Greatest memory ever used of each accelerator, in MiB.
    pub fn max_used_mib(&self) -> Vec<u64> {
        self.max_used_mib.clone()
    }

    fn end_progress(&mut self, fencing: FencingNumber) {
        if self.report.in_progress == Some(fencing) {
            self.report.in_progress = None;
        }
    }

    fn matching(&mut self, copy: &ResidentCopy) -> impl Iterator<Item = &mut ResidentCopy> {
        let copy = copy.clone();
        self.report
            .copies
            .iter_mut()
            .filter(move |held| is_same(held, &copy))
    }

    fn used(&self, accelerator: u32) -> u64 {
        self.report
            .copies
            .iter()
            .filter(|copy| covers(copy, accelerator))
            .map(|copy| copy.memory_mib)
            .sum()
    }

    fn fits(&self, copy: &ResidentCopy) -> bool {
        let end = copy.first_accelerator.saturating_add(copy.span.max(1));
        end <= self.options.accelerators
            && (copy.first_accelerator..end).all(|accelerator| {
                self.used(accelerator) + copy.memory_mib <= self.options.memory_mib
            })
    }

    fn note_memory(&mut self) {
        for accelerator in 0..self.options.accelerators {
            let used = self.used(accelerator);
            let most = &mut self.max_used_mib[accelerator as usize];
            *most = (*most).max(used);
        }
    }
}

fn covers(copy: &ResidentCopy, accelerator: u32) -> bool {
    let end = copy.first_accelerator.saturating_add(copy.span.max(1));
    (copy.first_accelerator..end).contains(&accelerator)
}

/// Whether two copies are the same one; a model can have copies on several accelerators.
fn is_same(held: &ResidentCopy, copy: &ResidentCopy) -> bool {
    held.model == copy.model
        && held.version == copy.version
        && held.first_accelerator == copy.first_accelerator
}
