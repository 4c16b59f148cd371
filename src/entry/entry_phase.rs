use tokio::sync::watch;

/// Phase of an entry's lifecycle, which requests and health checks depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryPhase {
    /// Serves requests and is ready if its view is fresh.
    Serving,
    /// Serves requests, but fails the readiness check so that load balancers stop sending callers.
    NotReady,
    /// Refuses new requests and completes those in flight.
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
