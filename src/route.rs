//! Choice of targets and retries; see docs/design.md, section 10.

mod retry_budget;

pub use retry_budget::RetryBudget;
