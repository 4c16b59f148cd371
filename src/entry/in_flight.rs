use std::sync::Arc;

use prometheus::IntGauge;
use tokio::sync::watch;

/// Counts the requests whose response has not been sent as a whole.
pub struct InFlight {
    count: watch::Sender<usize>,
    gauge: IntGauge,
}

/// One request in flight; it ends when this is dropped.
pub struct RunningRequest(Arc<InFlight>);

impl InFlight {
    pub fn new(gauge: IntGauge) -> Arc<Self> {
        let count = watch::channel(0).0;
        Arc::new(Self { count, gauge })
    }

    /// Counts a request until the returned value is dropped.
    pub fn enter(self: &Arc<Self>) -> RunningRequest {
        self.count.send_modify(|count| *count += 1);
        self.gauge.inc();
        RunningRequest(Arc::clone(self))
    }

    /// Waits until no request is in flight.
    pub async fn wait_until_idle(&self) {
        let mut count = self.count.subscribe();
        // The sender lives as long as `self`, so this cannot fail.
        let _ = count.wait_for(|count| *count == 0).await;
    }

    /// Number of requests in flight.
    pub fn count(&self) -> usize {
        *self.count.borrow()
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.0.count.send_modify(|count| *count -= 1);
        self.0.gauge.dec();
    }
}
