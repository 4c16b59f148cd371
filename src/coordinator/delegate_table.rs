use std::{collections::HashMap, net::SocketAddr, time::Duration};

use crate::ids::EntryKey;

/// Time without a report after which gateways are no longer sent to a delegate.
const DELEGATE_TIMEOUT: Duration = Duration::from_millis(700);

/// The leader's record of the coordinators that answer syncs in its place.
#[derive(Debug, Default)]
pub struct DelegateTable {
    reports: HashMap<EntryKey, (SocketAddr, Duration)>,
}

impl DelegateTable {
    /// Records a report.
    pub fn record(&mut self, delegate: &EntryKey, address: SocketAddr, now: Duration) {
        self.reports.insert(delegate.clone(), (address, now));
    }

    /// Returns the addresses of the delegates with recent reports.
    #[must_use]
    pub fn live(&self, now: Duration) -> Vec<SocketAddr> {
        let live = self.reports.values();
        let live = live.filter(|(_, at)| now.saturating_sub(*at) < DELEGATE_TIMEOUT);
        let mut live: Vec<SocketAddr> = live.map(|(address, _)| *address).collect();
        live.sort_unstable();
        live.dedup();
        live
    }
}
