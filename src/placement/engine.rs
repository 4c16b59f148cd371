use smallvec::SmallVec;

use crate::{
    border::TargetConfig,
    ids::{DataCentreId, TargetId, VmId},
    sync::ResidentCopy,
};

/// Whether an engine accepts orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineState {
    /// The engine accepts orders and requests.
    Available,
    /// The engine has an unsettled order and accepts no other until that is settled.
    Busy,
    /// The engine is down, draining or leaving, so its copies do not count as available.
    OutOfService,
}

/// Memory and copies of one engine as the planner sees them.
#[derive(Clone, Debug)]
pub struct EngineCapacity {
    /// The engine.
    pub id: TargetId,
    /// VM of the engine.
    pub vm: VmId,
    /// Data centre of the engine.
    pub data_centre: DataCentreId,
    /// Maximum number of requests that the engine runs concurrently.
    pub slots: u32,
    /// Whether the engine accepts orders.
    pub state: EngineState,
    /// Unreserved memory of each accelerator, in MiB.
    pub free_mib: SmallVec<[u64; 8]>,
    /// Copies in memory, including copies that are being loaded and not ready yet.
    pub copies: Vec<ResidentCopy>,
}

impl EngineCapacity {
    /// Returns an engine with these copies, some of which may still be loading.
    #[must_use]
    pub fn new(config: &TargetConfig, state: EngineState, copies: Vec<ResidentCopy>) -> Self {
        let mut free_mib = SmallVec::from_elem(
            config.accelerator_memory_mib,
            usize::try_from(config.accelerators).unwrap_or(0),
        );
        for copy in &copies {
            reserve_memory(&mut free_mib, copy);
        }
        Self {
            id: config.id.clone(),
            vm: config.vm.clone(),
            data_centre: config.data_centre.clone(),
            slots: config.slots,
            state,
            free_mib,
            copies,
        }
    }

    /// Finds the adjacent accelerators on which a copy leaves the least memory free. Returns the
    /// first of them and the least memory that stays free on any of them, in MiB.
    #[must_use]
    pub fn best_fit(&self, memory_mib: u64, span: u32) -> Option<(u32, u64)> {
        let span = usize::try_from(span.max(1)).ok()?;
        self.free_mib
            .windows(span)
            .enumerate()
            .filter_map(|(first, window)| {
                let least_free = *window.iter().min()?;
                Some((
                    u32::try_from(first).ok()?,
                    least_free.checked_sub(memory_mib)?,
                ))
            })
            .min_by_key(|(_, free_after)| *free_after)
    }

    /// Adds a copy that is about to be loaded and reserves its memory.
    pub fn add_copy(&mut self, copy: ResidentCopy) {
        reserve_memory(&mut self.free_mib, &copy);
        self.copies.push(copy);
    }
}

fn reserve_memory(free_mib: &mut [u64], copy: &ResidentCopy) {
    let first = usize::try_from(copy.first_accelerator).unwrap_or(usize::MAX);
    let span = usize::try_from(copy.span).unwrap_or(usize::MAX);
    for accelerator in free_mib.iter_mut().skip(first).take(span) {
        *accelerator = accelerator.saturating_sub(copy.memory_mib);
    }
}
