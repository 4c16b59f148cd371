use super::{rejection_permit::RejectionPermit, warmup_permit::WarmupPermit};

/// What the leader's ledger has granted for one request to a target.
#[derive(Debug)]
pub enum SendPermit {
    /// Reservation at a cold target.
    Warmup(WarmupPermit),
    /// Permit to be turned away by a brittle target.
    Rejection(RejectionPermit),
}

impl SendPermit {
    /// Returns a permit by its kind.
    pub fn split(permit: Option<Self>) -> (Option<WarmupPermit>, Option<RejectionPermit>) {
        match permit {
            Some(Self::Warmup(permit)) => (Some(permit), None),
            Some(Self::Rejection(permit)) => (None, Some(permit)),
            None => (None, None),
        }
    }
}
