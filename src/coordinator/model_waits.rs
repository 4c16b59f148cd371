use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::sync::oneshot;

use crate::{
    adapter::TargetEntry,
    ids::{DataCentreId, ModelId},
    region::DataCentreFilter,
    sync::ServedModel,
};

/// A model that requests wait for, with the data centres in which a target may hold it for them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WantedModel {
    /// The model.
    pub model: ServedModel,
    /// Data centres of the targets that may serve the requests.
    pub data_centres: DataCentreFilter,
}

/// Replies to gateways that are delayed until a target holds one of the models that their requests
/// wait for. In a large fleet targets change all the time, so a reply must not be sent with the
/// first change.
#[derive(Debug, Default)]
pub struct ModelWaits {
    waits: Arc<Mutex<WaitTable>>,
}

#[derive(Debug, Default)]
struct WaitTable {
    last_id: u64,
    waits: BTreeMap<u64, (Vec<WantedModel>, oneshot::Sender<()>)>,
}

/// A delayed reply. It is removed when dropped.
#[derive(Debug)]
pub struct ModelWait {
    id: u64,
    waits: Arc<Mutex<WaitTable>>,
    loaded: oneshot::Receiver<()>,
}

fn lock(waits: &Mutex<WaitTable>) -> MutexGuard<'_, WaitTable> {
    waits.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ModelWaits {
    /// Adds a reply that waits for any of `models`.
    #[must_use]
    pub fn add(&self, models: &[WantedModel]) -> ModelWait {
        let (sender, loaded) = oneshot::channel();
        let mut table = lock(&self.waits);
        table.last_id += 1;
        let id = table.last_id;
        table.waits.insert(id, (models.to_vec(), sender));
        ModelWait {
            id,
            waits: Arc::clone(&self.waits),
            loaded,
        }
    }

    /// Wakes the replies that wait for a model or adapter that one of the changed targets holds.
    pub fn wake(&self, changed: &[TargetEntry]) {
        let mut table = lock(&self.waits);
        if table.waits.is_empty() {
            return;
        }
        let mut loaded: HashMap<&ModelId, Vec<&DataCentreId>> = HashMap::new();
        for target in changed {
            let held = target.models.iter();
            for model in held.flat_map(|held| std::iter::once(&held.model).chain(&held.adapters)) {
                loaded.entry(model).or_default().push(&target.data_centre);
            }
        }
        let is_loaded = |wanted: &WantedModel| {
            let mut holders = loaded.get(&wanted.model.model).into_iter().flatten();
            holders.any(|data_centre| wanted.data_centres.allows(data_centre))
        };
        let woken = table
            .waits
            .extract_if(.., |_, (models, _)| models.iter().any(is_loaded));
        for (_, (_, sender)) in woken {
            // An error means that the reply was sent at the same moment.
            let _ = sender.send(());
        }
    }
}

impl ModelWait {
    /// Waits until a target holds one of the models.
    pub async fn loaded(&mut self) {
        // An error means that the table was dropped, which ends the wait as well.
        let _ = (&mut self.loaded).await;
    }
}

impl Drop for ModelWait {
    fn drop(&mut self) {
        lock(&self.waits).waits.remove(&self.id);
    }
}
