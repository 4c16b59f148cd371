//! Limits of brittle targets in the leader's ledger.

use std::time::Duration;

use super::state::LeaderTables;
use crate::{allowance::ShareReport, brittle::RejectionLimit};

impl LeaderTables {
    /// Sets the limits that gateways ask for permits of and that the ledger does not have yet.
    pub(super) fn set_rejection_limits(&mut self, shares: &[ShareReport], now: Duration) {
        for share in shares {
            match RejectionLimit::from_ledger_id(&share.team) {
                Some(limit) if !self.ledger.has_limit(&share.team) => {
                    let limit = limit.rate_limit();
                    self.ledger.set_limit(&share.team, limit, now);
                }
                _ => {}
            }
        }
    }
}
