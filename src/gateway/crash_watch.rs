use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use spdlog::prelude::*;
use tokio::sync::Notify;

use super::part_watch::{PartReport, PartWatch, RequestParts};
use crate::{
    client,
    ids::{TargetId, VmId},
    sync::{PartSection, TargetCrash},
};

/// Watches which requests break when targets crash, and which parts must not run.
pub struct CrashWatch {
    started_at: Instant,
    parts: Mutex<PartWatch>,
    report_due: Notify,
}

impl CrashWatch {
    /// Creates the watch of a gateway or entry on a VM.
    #[must_use]
    pub fn new(vm: &VmId) -> Self {
        Self {
            started_at: Instant::now(),
            parts: Mutex::new(PartWatch::new(vm)),
            report_due: Notify::new(),
        }
    }

    fn parts(&self) -> MutexGuard<'_, PartWatch> {
        self.parts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Returns whether a request with these parts must not run.
    pub fn is_blocked(&self, parts: &RequestParts) -> bool {
        self.parts().is_blocked(parts, self.now())
    }

    /// Records a request that broke near the start of its answer, and probes its target.
    pub fn record_break(
        self: &Arc<Self>,
        crash: TargetCrash,
        address: SocketAddr,
        parts: &RequestParts,
    ) {
        let target = crash.target.clone();
        if !self.parts().record_break(crash, parts) {
            return;
        }
        let watch = Arc::clone(self);
        tokio::spawn(async move {
            let is_down = client::is_down(address).await;
            watch.finish_probe(&target, is_down);
        });
    }

    /// Records a target that is known to be down after a request broke near the start of its answer.
    pub fn record_crash(&self, crash: TargetCrash, parts: &RequestParts) {
        let target = crash.target.clone();
        self.parts().record_break(crash, parts);
        self.finish_probe(&target, true);
    }

    fn finish_probe(&self, target: &TargetId, is_down: bool) {
        if is_down {
            warn!("route: a target crashed while it ran requests", kv: { target = target.as_str() });
        }
        if self.parts().finish_probe(target, is_down, self.now()) {
            self.report_due.notify_one();
        }
    }

    /// Records a complete answer.
    pub fn record_complete(&self, parts: &RequestParts) {
        if self.parts().record_complete(parts, self.now()) {
            self.report_due.notify_one();
        }
    }

    /// Waits until the leader has to be told of a crash, or that a suspect part is sound.
    pub async fn report_due(&self) {
        self.report_due.notified().await;
    }

    /// Returns the version of the suspects in use and what the leader has to be told.
    pub fn take_report(&self) -> (u64, PartReport) {
        let mut parts = self.parts();
        (parts.version(), parts.take_report(self.now()))
    }

    /// Takes a report back that did not reach the leader. It does not become due at once: the next
    /// report carries it.
    pub fn put_back(&self, report: PartReport) {
        self.parts().put_back(report);
    }

    /// Returns the version of the leader's suspects.
    pub fn version(&self) -> u64 {
        self.parts().version()
    }

    /// Applies the leader's suspects.
    pub fn apply_section(&self, section: &PartSection) {
        let blocked = section.suspects.iter();
        let blocked = blocked.filter(|suspect| suspect.blocked_in_ms.is_some());
        info!("gateway: suspect parts", kv: {
            version = section.version,
            suspects = section.suspects.len(),
            blocked = blocked.count(),
        });
        if self.parts().apply_section(section, self.now()) {
            self.report_due.notify_one();
        }
    }
}
