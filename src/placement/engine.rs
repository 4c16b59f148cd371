use smallvec::SmallVec;

use crate::{
    border::TargetConfig,
    ids::{DataCentreId, TargetId, VmId},
    sync::ResidentCopy,
};

/// Whether an engine can be given something new.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineState {
    /// The engine takes orders and requests.
    Available,
    /// An order is under way, and the engine takes no other until it is settled.
    Busy,
    /// The engine is down, draining or leaving; its copies do not last.
    OutOfService,
}

/// What the planner knows of one engine.
#[derive(Clone, Debug)]
pub struct EngineCapacity {
    /// The engine.
    pub id: TargetId,
    /// VM of the engine.
    pub vm: VmId,
    /// Data centre of the engine.
    pub data_centre: DataCentreId,
    /// Requests that the engine runs at once.
    pub slots: u32,
    /// Whether the engine can be given something new.
    pub state: EngineState,
    /// Memory of each accelerator that is not reserved, in MiB.
    pub free_mib: SmallVec<[u64; 8]>,
    /// Copies in memory; a copy that is being loaded is not ready.
    pub copies: Vec<ResidentCopy>,
}

impl EngineCapacity {
    /// Returns an engine with these copies, of which some may still be loading.
    #[must_use]
    pub fn new(config: &TargetConfig, state: EngineState, copies: Vec<ResidentCopy>) -> Self {
        let mut free = SmallVec::from_elem(
            config.accelerator_memory_mib,
            usize::try_from(config.accelerators).unwrap_or(0),
        );
        for copy in &copies {
            take_memory(&mut free, copy);
        }
        Self {
            id: config.id.clone(),
            vm: config.vm.clone(),
            data_centre: config.data_centre.clone(),
            slots: config.slots,
            state,
            free_mib: free,
            copies,
        }
    }

    /// Finds the accelerators on which a copy fits most tightly; returns the first of them and the
    /// least memory that stays free on any.
    #[must_use]
    pub fn best_fit(&self, memory_mib: u64, span: u32) -> Option<(u32, u64)> {
        let span = usize::try_from(span.max(1)).ok()?;
        self.free_mib
            .windows(span)
            .enumerate()
            .filter_map(|(first, window)| {
                let least = *window.iter().min()?;
                Some((u32::try_from(first).ok()?, least.checked_sub(memory_mib)?))
            })
            .min_by_key(|(_, rest)| *rest)
    }

    /// Adds a copy that is going to be loaded.
    pub fn add_copy(&mut self, copy: ResidentCopy) {
        take_memory(&mut self.free_mib, &copy);
        self.copies.push(copy);
    }
}

fn take_memory(free: &mut [u64], copy: &ResidentCopy) {
    let first = usize::try_from(copy.first_accelerator).unwrap_or(usize::MAX);
    let span = usize::try_from(copy.span).unwrap_or(usize::MAX);
    for accelerator in free.iter_mut().skip(first).take(span) {
        *accelerator = accelerator.saturating_sub(copy.memory_mib);
    }
}
