//! Limits on requests that brittle targets have to turn away; see docs/design/brittle.md.

mod brittle_table;
mod rejection_limit;
mod send_part;
mod send_terms;
mod target_sends;
mod target_slots;

use std::time::Duration;

pub use brittle_table::{BrittleTable, SendAdmission};
pub use rejection_limit::RejectionLimit;
pub use send_part::SendPart;
pub use send_terms::SendTerms;
pub use target_sends::TargetSends;
pub use target_slots::TargetSlots;

/// Time within which a gateway knows what other gateways have sent.
pub const LOAD_DELAY: Duration = Duration::from_millis(60);

/// Time within which a target that has no room turns a request away. One that has not done so by then runs the request
/// or lets it wait.
pub const REJECTION_TIME: Duration = Duration::from_millis(150);
