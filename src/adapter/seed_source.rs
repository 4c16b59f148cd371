use std::net::SocketAddr;

use crate::error::Result;

/// Source of the addresses of coordinators that the platform names to a process. It names others from time to time,
/// also while the process runs, so a process that reaches none of those it knows reads them again.
pub trait SeedSource: Send + Sync {
    /// Returns the system addresses that are named now.
    ///
    /// # Errors
    /// [`crate::error::Error::File`] when they cannot be read, [`crate::error::Error::Settings`] when they are invalid.
    fn read_seeds(&self) -> Result<Vec<SocketAddr>>;
}
