//! Fleet-wide rate limits of the teams; see docs/design.md, section 8, and docs/policy.md for the
//! proof of the bound and the measurements.

mod bucket;
mod demand;
mod granted_share;
mod ledger;
mod limit;
mod message;
mod share;
mod team_share;
mod urgent_grants;
mod urgent_tokens;

use std::time::Duration;

pub use demand::DemandRate;
pub use ledger::AllowanceLedger;
pub use limit::RateLimit;
pub use message::{ShareCounters, ShareGrant, ShareReport, ShareShortage};
pub use share::{AllowanceShare, ReservationId, ReservationOutcome};

/// Time for which an entry may use tokens granted in advance, counted from the request for its latest
/// grant.
pub const GRANT_VALIDITY: Duration = Duration::from_secs(3);

/// Time for which the leader counts tokens granted in advance as outstanding, from its latest reply. The margin over
/// [`GRANT_VALIDITY`] covers an entry whose clock runs up to 20% slower than the leader's.
pub const GRANT_OUTSTANDING: Duration = Duration::from_millis(3600);

/// Time for which an entry may use tokens that were granted to a waiting request. It covers a hold of a
/// sync, so that what is not used can be returned before.
pub const URGENT_VALIDITY: Duration = Duration::from_millis(500);

/// Time for which the leader counts such a grant as outstanding, with the margin of
/// [`GRANT_OUTSTANDING`].
pub const URGENT_OUTSTANDING: Duration = Duration::from_millis(600);

/// Time without a sync after which a waiting entry loses its place in the leader's queue. It is two
/// hold times, so that one lost message does not cost the place and a dead entry does not delay
/// others for longer.
pub const WAITER_TIMEOUT: Duration = Duration::from_millis(800);
