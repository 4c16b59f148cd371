//! Evacuated data centres, whose targets get no new requests; see docs/design/evacuation.md.

use std::collections::BTreeSet;

use spdlog::prelude::*;

use super::{
    proxy::{GatewayProxy, unavailable},
    targets::{TableState, TargetTable},
};
use crate::{
    adapter::{RefusalNotice, TargetEntry},
    ids::{DataCentreId, Revision, ServiceId, TargetId},
    plan::PlanVersion,
    route::Availability,
    sync::{EvacuationSection, PlanNews, PlanUpdate, ServingState},
};

/// The data centres that are evacuated at this gateway. A later revision replaces an earlier one, never the reverse,
/// since coordinators may answer late and from older state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct EvacuationSet {
    revision: Revision,
    data_centres: BTreeSet<DataCentreId>,
}

impl EvacuationSet {
    /// Replaces the set by that of a later revision, and returns whether it did.
    pub fn apply(&mut self, section: &EvacuationSection) -> bool {
        let is_later = section.revision > self.revision;
        if is_later {
            self.revision = section.revision;
            self.data_centres = section.data_centres.iter().cloned().collect();
        }
        is_later
    }

    /// Returns the revision of the set; 0 before the first evacuation.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns whether a data centre is evacuated.
    #[must_use]
    pub fn contains(&self, data_centre: &DataCentreId) -> bool {
        self.data_centres.contains(data_centre)
    }
}

impl TargetTable {
    /// Puts evacuations in effect, unless a later revision is. From the return on, the targets of evacuated data
    /// centres are not chosen, so that the revision may be confirmed.
    pub fn apply_evacuations(&self, section: &EvacuationSection) {
        let mut state = self.state();
        if !state.evacuations.apply(section) {
            return;
        }
        let state = &mut *state;
        let mut targets = 0_usize;
        for (id, entry) in &state.entries {
            targets += usize::from(state.evacuations.contains(&entry.data_centre));
            let availability = state.availability(entry);
            state.replicas.set_availability(id, availability);
        }
        info!("gateway: an evacuation is in effect", kv: {
            revision = section.revision,
            data_centres = section.data_centres.join(","),
            targets = targets,
        });
        // Requests that wait are matched again.
        self.notify_all();
    }

    /// Returns the revision of the evacuations in effect.
    pub fn evacuation_revision(&self) -> Revision {
        self.state().evacuations.revision()
    }

    /// Returns whether a target that was chosen before is in an evacuated data centre by now.
    pub fn is_evacuated(&self, target: &TargetId) -> bool {
        let state = self.state();
        let entry = state.entries.get(target);
        entry.is_some_and(|entry| state.evacuations.contains(&entry.data_centre))
    }

    /// Returns whether a service has targets, all of them in evacuated data centres.
    fn is_service_evacuated(&self, service: &ServiceId) -> bool {
        let state = self.state();
        // Without an evacuation this must not cost a pass over all targets.
        if state.evacuations.data_centres.is_empty() {
            return false;
        }
        let entries = state.entries.values();
        let mut entries = entries.filter(|entry| entry.service == *service).peekable();
        entries.peek().is_some()
            && entries.all(|entry| state.evacuations.contains(&entry.data_centre))
    }
}

impl TableState {
    /// Returns whether a target gets new requests.
    pub(super) fn availability(&self, entry: &TargetEntry) -> Availability {
        let liveness = self.liveness.get(&entry.id);
        match liveness {
            _ if entry.is_draining || self.evacuations.contains(&entry.data_centre) => {
                Availability::Draining
            }
            Some(liveness) if liveness.is_silent => Availability::Down,
            _ => Availability::Up,
        }
    }
}

impl GatewayProxy {
    /// Refuses a request for a service whose targets are all in evacuated data centres. Waiting would not help, since
    /// copies of its models cannot be loaded elsewhere.
    pub(super) fn check_evacuation(&self, service: &ServiceId) -> Result<(), RefusalNotice> {
        if self.targets.is_service_evacuated(service) {
            let reason = "all targets of the service are in evacuated data centres";
            return Err(unavailable(reason));
        }
        Ok(())
    }
}

/// Returns what a gateway with a plan and a revision confirms after news; `None` when it needs a sync to get what the
/// news tell of, or has no plan yet.
pub fn confirmed_state(
    news: &PlanNews,
    plan_version: PlanVersion,
    evacuation_revision: Revision,
) -> Option<ServingState> {
    let held = ServingState::new(plan_version, evacuation_revision);
    let newest = news.update.as_ref().map_or(0, PlanUpdate::version);
    let newest = ServingState::new(newest, news.evacuation_revision);
    (plan_version > 0 && held.covers(newest)).then_some(held)
}
