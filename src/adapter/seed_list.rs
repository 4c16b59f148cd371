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
    /// Whether the last read failed, to log a change only.
    is_unreadable: bool,
}

impl SeedList {
    /// Creates a list of seeds that stay as they are.
    #[must_use]
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        Self {
            seeds,
            source: None,
            read_at: BootInstant::now(),
            is_unreadable: false,
        }
    }

    /// Sets the source from which the seeds are read again.
    #[must_use]
    pub fn with_source(mut self, source: Arc<dyn SeedSource>) -> Self {
        self.source = Some(source);
        self
    }

    /// Returns the seeds, read again if the last read was a while ago. A process calls this while it reaches no
    /// leader. If none are named or the source cannot be read, which is logged, the last seeds stay in use.
    pub fn refresh(&mut self) -> &[SocketAddr] {
        self.read_changed();
        &self.seeds
    }

    /// Reads the seeds again if the last read was a while ago, and returns them if they are others now.
    pub fn read_changed(&mut self) -> Option<&[SocketAddr]> {
        let source = self.source.as_ref()?;
        if self.read_at.elapsed() < READ_INTERVAL {
            return None;
        }
        self.read_at = BootInstant::now();
        let read = source.read_seeds();
        if read.is_err() != self.is_unreadable {
            self.is_unreadable = read.is_err();
            match &read {
                Ok(_) => info!("seeds: can be read again"),
                Err(error) => warn!("seeds: cannot be read; keeps the last ones: {error}"),
            }
        }
        match read {
            Ok(seeds) if !seeds.is_empty() && seeds != self.seeds => {
                info!("seeds: others are named", kv: { seeds:? = seeds });
                self.seeds = seeds;
                Some(&self.seeds)
            }
            _ => None,
        }
    }
}
