use std::{collections::HashSet, net::SocketAddr};

use spdlog::prelude::*;
use tokio::task::JoinSet;

/// Calls in progress to other members, one of each kind to each, so that one that does not answer delays no other.
#[derive(Default)]
pub struct MemberCalls {
    running: JoinSet<MemberCall>,
    started: HashSet<MemberCall>,
}

/// Path and address of a call.
type MemberCall = (&'static str, SocketAddr);

impl MemberCalls {
    /// Starts a call unless one of its kind to the same member is in progress.
    pub fn start(&mut self, call: MemberCall, run: impl Future<Output = ()> + Send + 'static) {
        while let Some(ended) = self.running.try_join_next() {
            match ended {
                Ok(ended) => {
                    self.started.remove(&ended);
                }
                Err(error) => error!("raft: a call to a member failed: {error}"),
            }
        }
        if self.started.insert(call) {
            self.running.spawn(async move {
                run.await;
                call
            });
        }
    }
}
