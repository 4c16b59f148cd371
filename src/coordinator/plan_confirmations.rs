use std::{collections::HashMap, time::Duration};

use spdlog::prelude::*;

use crate::{
    ids::EntryKey,
    sync::{ServingState, SyncSerial},
};

/// Plans and evacuations that gateways have in force, which decide when a plan or an evacuation may be acknowledged
/// to its operator.
///
/// Each sync gives a gateway a lease on both: until the lease ends, no newer plan or later evacuation is
/// acknowledged that the gateway has not confirmed. The lease counts from the arrival of the report here and from its
/// sending there, so that it ends there first. A gateway without a lease runs by its plan for at most the
/// time in which an acknowledged plan must be in force; see docs/design.md, section 18.
#[derive(Debug)]
pub struct PlanConfirmations {
    lease: Duration,
    /// Time until which gateways that have not reported yet may have a lease of a former leader.
    unknown_until: Duration,
    gateways: HashMap<EntryKey, LeasedState>,
    /// Newest plans of the coordinators that answer syncs in the leader's place.
    delegates: HashMap<EntryKey, LeasedState>,
}

#[derive(Clone, Copy, Debug)]
struct LeasedState {
    state: ServingState,
    until: Duration,
    /// Whether the gateway has said that it has the plan; otherwise it was sent to it.
    is_reported: bool,
    /// Last sync whose reply had a first plan; `None` if it is not known, so that no later sync shows its loss.
    sent_with: Option<SyncSerial>,
}

impl PlanConfirmations {
    /// Creates the record of a leader that grants leases of a length. Leases of former leaders may run
    /// until `unknown_until`.
    #[must_use]
    pub fn new(lease: Duration, unknown_until: Duration) -> Self {
        Self {
            lease,
            unknown_until,
            gateways: HashMap::new(),
            delegates: HashMap::new(),
        }
    }

    /// Records a sync of a gateway, which renews its lease. One without a plan (version 0) gets none: it runs
    /// nothing until a plan is sent to it. Returns whether plans may wait for fewer gateways than before.
    pub fn record_report(
        &mut self,
        gateway: &EntryKey,
        state: ServingState,
        now: Duration,
    ) -> bool {
        if state.plan_version == 0 {
            return false;
        }
        // What a gateway was sent says nothing once it reports what it has.
        let known = self.gateways.get(gateway);
        let known = known.filter(|known| known.is_reported);
        let before = known.map_or(ServingState::default(), |known| known.state);
        let leased = LeasedState {
            state: before.join(state),
            until: now + self.lease,
            is_reported: true,
            sent_with: None,
        };
        self.gateways.insert(gateway.clone(), leased);
        !before.covers(state)
    }

    /// Records that a gateway without a plan is sent its first one, which it may have in force from now on. Of
    /// several plans that it was sent, by coordinators whose reports may be late, it may apply any. `sync` is the sync
    /// that is answered, if it is known.
    pub fn record_first_plan(
        &mut self,
        gateway: &EntryKey,
        state: ServingState,
        sync: Option<SyncSerial>,
        now: Duration,
    ) {
        let leased = LeasedState {
            state,
            until: now + self.lease,
            is_reported: false,
            sent_with: sync,
        };
        // A gateway that has lost the document of its plan still runs by it.
        let known = self.gateways.entry(gateway.clone()).or_insert(leased);
        known.state = known.state.meet(state);
        known.until = known.until.max(leased.until);
        known.sent_with = known
            .sent_with
            .zip(leased.sent_with)
            .map(|(earlier, later)| earlier.max(later));
    }

    /// Records a sync of a gateway that reports no plan. The first plans that it was sent before are lost if it has sent
    /// this sync later than those that they answered: it sends one only once it has given up the last. A sync that
    /// arrives late proves nothing. Returns whether plans may wait for fewer gateways than before.
    pub fn record_missing_plan(&mut self, gateway: &EntryKey, sync: SyncSerial) -> bool {
        let known = self.gateways.get(gateway);
        let Some(sent) = known.filter(|known| !known.is_reported) else {
            return false;
        };
        if sent.sent_with.is_none_or(|sent_with| sync <= sent_with) {
            return false;
        }
        info!("plan: a gateway has lost its first plan", kv: {
            gateway = gateway.vm.as_str(),
            sent = sent.state.plan_version,
        });
        self.gateways.remove(gateway).is_some()
    }

    /// Returns the first plan that a gateway was sent and has not reported, with the evacuations sent with it.
    #[must_use]
    pub fn sent_state(&self, gateway: &EntryKey) -> Option<ServingState> {
        let known = self.gateways.get(gateway);
        known
            .filter(|known| !known.is_reported)
            .map(|known| known.state)
    }

    /// Records a sync of a delegate whose newest plan and revision are `state`. Until its lease ends, the delegate may
    /// give leases on these that it has not reported yet. Returns whether one of them is newer than before.
    pub fn record_delegate(
        &mut self,
        delegate: &EntryKey,
        state: ServingState,
        now: Duration,
    ) -> bool {
        let known = self.delegates.get(delegate);
        let before = known.map_or(ServingState::default(), |known| known.state);
        let leased = LeasedState {
            state: before.join(state),
            until: now + self.lease,
            is_reported: true,
            sent_with: None,
        };
        self.delegates.insert(delegate.clone(), leased);
        !before.covers(state)
    }

    /// Records that a gateway has put a plan in force and evacuations in effect. Its lease is not renewed, since the
    /// gateway learns nothing from it. Returns whether one of them is newer than before.
    pub fn confirm(&mut self, gateway: &EntryKey, state: ServingState) -> bool {
        // A gateway without a plan has nothing in force: it has lost the reply that brought its first one.
        if state.plan_version == 0 {
            return false;
        }
        match self.gateways.get_mut(gateway) {
            Some(leased) if !leased.state.covers(state) => {
                leased.state = leased.state.join(state);
                leased.is_reported = true;
                true
            }
            _ => false,
        }
    }

    /// Returns the newest plan and the latest revision that a gateway is known to have in force.
    #[must_use]
    pub fn state(&self, gateway: &EntryKey) -> Option<ServingState> {
        self.gateways.get(gateway).map(|leased| leased.state)
    }

    /// Returns whether each gateway has a plan and evacuations or newer ones in force, or no lease on older ones, and
    /// no delegate can give one.
    #[must_use]
    pub fn is_confirmed(&self, needed: ServingState, now: Duration) -> bool {
        now >= self.unknown_until && self.count_behind(needed, now) == 0
    }

    /// Returns the number of gateways and delegates with a lease on an older plan or an earlier revision.
    #[must_use]
    pub fn count_behind(&self, needed: ServingState, now: Duration) -> usize {
        let leased = self.gateways.values().chain(self.delegates.values());
        leased
            .filter(|leased| !leased.state.covers(needed) && now < leased.until)
            .count()
    }

    /// Returns the number of gateways and delegates with a lease.
    #[must_use]
    pub fn count_leased(&self, now: Duration) -> usize {
        let leased = self.gateways.values().chain(self.delegates.values());
        leased.filter(|leased| now < leased.until).count()
    }

    /// Returns whether a gateway has a lease on what it is known to have.
    #[must_use]
    pub fn is_leased(&self, gateway: &EntryKey, now: Duration) -> bool {
        let known = self.gateways.get(gateway);
        known.is_some_and(|known| now < known.until)
    }

    /// Forgets gateways whose leases have ended.
    pub fn expire(&mut self, now: Duration) {
        self.gateways.retain(|_, leased| now < leased.until);
        self.delegates.retain(|_, leased| now < leased.until);
    }
}
