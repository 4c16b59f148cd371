use std::{net::SocketAddr, sync::Arc, time::Duration};

use spdlog::prelude::*;

use super::SeedSource;
use crate::clock::BootInstant;

/// Minimum time between two reads of the seeds. The platform may rewrite them every few seconds.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Seeds of a process: those that it was started with, and then those that the platform names at the time.
#[derive(Clone)]
pub struct SeedList {
    seeds: Vec<SocketAddr>,
    source: Option<Arc<dyn SeedSource>>,
    read_at: BootInstant,
}

impl SeedList {
    /// Creates a list of seeds that stay as they are.
    #[must_use]
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        Self {
            seeds,
            source: None,
            read_at: BootInstant::now(),
        }
    }

    /// Sets the source from which the seeds are read again.
    #[must_use]
    pub fn with_source(mut self, source: Arc<dyn SeedSource>) -> Self {
        self.source = Some(source);
        self
    }

    /// Returns the seeds, read again if the last read was a while ago. A process calls this while it reaches no
    /// leader. If the source cannot be read, which is logged, the last seeds stay in use.
    pub fn refresh(&mut self) -> &[SocketAddr] {
        if let Some(source) = &self.source
            && self.read_at.elapsed() >= READ_INTERVAL
        {
            self.read_at = BootInstant::now();
            match source.read_seeds() {
                Ok(seeds) if seeds.is_empty() => {
                    warn!("seeds: none are named; keeps the last ones");
                }
                Ok(seeds) if seeds != self.seeds => {
                    info!("seeds: others are named", kv: { seeds:? = seeds });
                    self.seeds = seeds;
                }
                Ok(_) => {}
                Err(error) => warn!("seeds: cannot be read; keeps the last ones: {error}"),
            }
        }
        &self.seeds
    }
}
