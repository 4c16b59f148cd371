//! Rate and burst of each team over the whole fleet; see docs/design.md, section 8, and
//! docs/policy.md for the proof of the bound and the measurements.

mod bucket;
mod demand;
mod granted_share;
mod ledger;
mod limit;
mod message;
mod share;
mod team_share;

use std::time::Duration;

pub use demand::DemandRate;
pub use ledger::AllowanceLedger;
pub use limit::RateLimit;
pub use message::{ShareGrant, ShareReport};
pub use share::{AllowanceShare, ReservationId, ReservationOutcome};

/// How long an entry may use what it holds, from the moment it asked for the latest grant.
pub const GRANT_VALIDITY: Duration = Duration::from_secs(3);

/// How long the leader counts a grant as outstanding after its latest reply. The margin over
/// [`GRANT_VALIDITY`] covers an entry whose clock runs up to 20% slower than the leader's.
pub const GRANT_OUTSTANDING: Duration = Duration::from_millis(3600);

/// How long a waiting entry keeps its place in line at the leader without a new sync. Two hold
/// times, so that one lost message costs no place, and a dead entry delays others by no more.
pub const WAITER_TIMEOUT: Duration = Duration::from_millis(800);
