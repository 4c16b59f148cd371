//! Order of requests that wait for free capacity, and which of them are refused; see
//! docs/design/admission.md.

mod decaying_rate;
mod forecast;
mod order;
mod queue;
mod rank_credit;
mod slot_draw;
mod slot_rate;
mod team_shares;
mod waiting_request;

use std::time::Duration;

pub use forecast::WaitForecast;
pub use order::AdmissionOrder;
pub use queue::{AdmissionQueue, TicketId};
pub use rank_credit::RankCredit;
pub use waiting_request::WaitingRequest;

/// Number of ranks; 0 is the most urgent.
pub const RANKS: usize = 10;

/// Of this many slots that a pool gives while requests of several ranks wait, one goes to a less
/// urgent request, so that no rank starves.
pub const SLOTS_PER_LESS_URGENT: u32 = 16;

/// Time after which a waiting request is judged once more. In a burst the first requests arrive before
/// the rate of slots is known.
pub const REVIEW_DELAY: Duration = Duration::from_millis(500);

/// Number of waiting requests by rank.
pub type RankCounts = [u16; RANKS];
