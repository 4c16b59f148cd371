use tokio::sync::watch;

/// Phase of an entry's life, as requests and health checks see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryPhase {
    /// Serves and is ready.
    Serving,
    /// Serves, but tells the load balancer to send no more callers.
    Leaving,
    /// Refuses new work and completes what runs.
    Draining,
}

/// Sets the phase.
pub type PhaseSender = watch::Sender<EntryPhase>;

/// Reads the phase.
#[derive(Clone)]
pub struct PhaseReceiver(watch::Receiver<EntryPhase>);

impl PhaseReceiver {
    pub fn new(sender: &PhaseSender) -> Self {
        Self(sender.subscribe())
    }

    /// Returns the current phase.
    pub fn get(&self) -> EntryPhase {
        *self.0.borrow()
    }
}
