//! Regions that requests may be served in; see docs/design/regions.md.
//!
//! Plans name regions, and the settings of each process map data centres to regions. Targets are
//! compared by their data centres, so that the choice of a target looks nothing up.

mod filter;
mod limit;
mod scope;
mod table;

pub use filter::DataCentreFilter;
pub use limit::RegionLimit;
pub use scope::{RegionScope, ScopeError};
pub use table::RegionTable;
