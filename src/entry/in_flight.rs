use std::sync::Arc;

use prometheus::IntGauge;
use tokio::sync::watch;

/// Counts the requests whose response has not been sent completely.
pub struct InFlight {
    count: watch::Sender<usize>,
    gauge: IntGauge,
}

/// A request in flight, which ends when this is dropped.
pub struct RunningRequest {
    in_flight: Arc<InFlight>,
    gauge: Option<IntGauge>,
}

impl InFlight {
    pub fn new(gauge: IntGauge) -> Arc<Self> {
        let count = watch::channel(0).0;
        Arc::new(Self { count, gauge })
    }

    /// Counts a request until the returned value is dropped.
    pub fn begin(self: &Arc<Self>) -> RunningRequest {
        self.count.send_modify(|count| *count += 1);
        self.gauge.inc();
        RunningRequest {
            in_flight: Arc::clone(self),
            gauge: Some(self.gauge.clone()),
        }
    }

    /// Delays the shutdown until the returned value is dropped, for work that continues after its
    /// caller disconnected. The request metric does not count it.
    pub fn delay_shutdown(self: &Arc<Self>) -> RunningRequest {
        self.count.send_modify(|count| *count += 1);
        RunningRequest {
            in_flight: Arc::clone(self),
            gauge: None,
        }
    }

    /// Waits until no request is in flight.
    pub async fn wait_until_idle(&self) {
        let mut count = self.count.subscribe();
        // The sender lives as long as `self`, so this cannot fail.
        let _ = count.wait_for(|count| *count == 0).await;
    }

    /// Returns the number of requests in flight.
    pub fn count(&self) -> usize {
        *self.count.borrow()
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.in_flight.count.send_modify(|count| *count -= 1);
        if let Some(gauge) = &self.gauge {
            gauge.dec();
        }
    }
}
