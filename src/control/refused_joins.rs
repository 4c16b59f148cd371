use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
};

use compact_str::{CompactString, ToCompactString};
use spdlog::prelude::*;

use crate::{error::Error, raft::VoterId, voter::member_name};

/// Maximum number of requesters whose last refusal is remembered.
const MAX_REQUESTERS: usize = 64;

/// Last refusal of each daemon that asked this member for a seat. Daemons ask again several times a second, so a line
/// is logged only when the reason changes.
#[derive(Default)]
pub struct RefusedJoins {
    reasons: Mutex<HashMap<VoterId, CompactString>>,
}

impl RefusedJoins {
    /// Records that a requester was not added.
    pub fn record(&self, requester: &VoterId, error: &Error) {
        let reason = error.to_compact_string();
        let mut reasons = self.reasons.lock().unwrap_or_else(PoisonError::into_inner);
        if reasons.get(requester) == Some(&reason) {
            return;
        }
        info!("raft: refused a seat", kv: {
            requester = member_name(requester).as_str(),
            reason = reason.as_str(),
        });
        if reasons.len() >= MAX_REQUESTERS {
            reasons.clear();
        }
        reasons.insert(requester.clone(), reason);
    }
}
