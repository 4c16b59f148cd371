use std::{sync::Arc, time::Duration};

use tokio::{sync::watch, time::Instant};

use super::{context::Caller, view::SharedView};
use crate::ids::Revision;

/// Watches whether a response that has begun may go on.
pub struct StreamGuard {
    view: Arc<SharedView>,
    revisions: watch::Receiver<Revision>,
    freshness_bound: Duration,
    caller: Option<Caller>,
}

impl StreamGuard {
    pub fn new(view: Arc<SharedView>, freshness_bound: Duration, caller: Option<Caller>) -> Self {
        Self {
            revisions: view.watch_revision(),
            view,
            freshness_bound,
            caller,
        }
    }

    /// Returns the reason once the caller's key is revoked or can no longer be proved valid; waits
    /// for ever on routes open to all.
    pub async fn lapse(&mut self) -> &'static str {
        let Some(caller) = &self.caller else {
            return std::future::pending().await;
        };
        loop {
            let view = self.view.get();
            match view.index.key(&caller.key) {
                Some(key) if key.team == caller.team => {}
                _ => return "the key was revoked",
            }
            let expiry = view
                .confirmed_at
                .map(|asked| Instant::from_std(asked + self.freshness_bound))
                .filter(|expiry| *expiry > Instant::now());
            let Some(expiry) = expiry else {
                return "this entry can no longer prove that the key is valid";
            };
            tokio::select! {
                _ = self.revisions.changed() => {}
                () = tokio::time::sleep_until(expiry) => {}
            }
        }
    }
}
