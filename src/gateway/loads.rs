//! What gateways run at targets, told between them; see docs/platform.md.

mod book;
mod exchange;
mod source;

pub use book::LoadBook;
pub use exchange::LoadExchange;
