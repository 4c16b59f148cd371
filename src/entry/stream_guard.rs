use std::{sync::Arc, time::Duration};

use tokio::sync::watch;

use super::{context::Caller, view::SharedView};
use crate::ids::Revision;

/// Watches whether a response in progress may continue.
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

    /// Waits until the caller's key is revoked or can no longer be confirmed as valid, and returns
    /// the reason. Never completes on open routes.
    pub async fn invalidated(&mut self) -> &'static str {
        let Some(caller) = &self.caller else {
            return std::future::pending().await;
        };
        loop {
            let view = self.view.get();
            match view.index.key(&caller.key) {
                Some(key) if key.team == caller.team => {}
                _ => return "the key was revoked",
            }
            let remaining = view
                .confirmed_at
                .and_then(|requested_at| self.freshness_bound.checked_sub(requested_at.elapsed()));
            let Some(remaining) = remaining.filter(|remaining| !remaining.is_zero()) else {
                return "this entry can no longer prove that the key is valid";
            };
            tokio::select! {
                _ = self.revisions.changed() => {}
                () = tokio::time::sleep(remaining) => {}
            }
        }
    }
}
