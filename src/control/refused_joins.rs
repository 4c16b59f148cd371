use compact_str::ToCompactString;
use spdlog::prelude::*;

use super::change_log::ChangeLog;
use crate::{error::Error, raft::VoterId, voter::member_name};

/// Last refusal of each daemon that asked this member for a seat.
#[derive(Default)]
pub struct RefusedJoins {
    reasons: ChangeLog<VoterId>,
}

impl RefusedJoins {
    /// Records that a requester was not added.
    pub fn record(&self, requester: &VoterId, error: &Error) {
        let reason = error.to_compact_string();
        if self.reasons.is_new(requester.clone(), &reason) {
            info!("raft: refused a seat", kv: {
                requester = member_name(requester).as_str(),
                reason = reason.as_str(),
            });
        }
    }
}
