use std::sync::Arc;

use super::sync_client::SyncClient;
use crate::sync::AwaitedModel;

/// Guard of a request that waits for a model. The model is requested until the last guard is
/// dropped.
pub struct ModelWaiter {
    pub(super) client: Arc<SyncClient>,
    pub(super) model: AwaitedModel,
}

impl Drop for ModelWaiter {
    fn drop(&mut self) {
        let mut wanted = self.client.wanted_models();
        if let Some(waiters) = wanted.get_mut(&self.model) {
            *waiters = waiters.saturating_sub(1);
            if *waiters == 0 {
                wanted.remove(&self.model);
            }
        }
    }
}
