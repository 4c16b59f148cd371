use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use super::{
    gateway_table::GatewayTable, pending_gateway::PendingGateway,
    plan_confirmations::PlanConfirmations,
};
use crate::{
    clock::BootInstant,
    ids::{EntryKey, ServiceId, TargetId, Term},
    sync::{
        DelegateReply, DelegateReport, DelegatedGateway, GatewayReport, ModelRequests,
        PlanConfirmation, PolledEngine, RosterEntry, ServedModel, ServingState,
    },
};

/// Age of the last proof at which a delegate stops answering, so that gateways look for a leader.
const MAX_PROOF_AGE: Duration = Duration::from_secs(1);
/// Minimum interval at which a delegate asks for the gateways of the fleet.
const ROSTER_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of proofs that wait for a plan of the log.
const MAX_WAITING_PROOFS: usize = 64;

/// What a coordinator that does not lead knows of its leader's state, and of the gateways that sync with it;
/// see docs/design.md, section 20.
#[derive(Debug)]
pub struct DelegateView {
    is_needed: bool,
    term: Term,
    /// Answered syncs with the leader: its newest plan and revision, and when the sync was sent.
    proofs: VecDeque<(ServingState, BootInstant)>,
    pub(super) gateways: GatewayTable,
    /// Plans that the gateways have in force. Leases are recorded by the leader.
    pub(super) confirmations: PlanConfirmations,
    pub(super) listed_at: Option<Duration>,
    pub(super) recorded_services: Vec<ServiceId>,
    pub(super) delegates: Vec<SocketAddr>,
    roster_number: u64,
    roster_at: Option<Duration>,
    pending: PendingReport,
}

/// What the leader has not been told yet, or not answered.
#[derive(Debug, Default)]
struct PendingReport {
    gateways: BTreeMap<EntryKey, PendingGateway>,
    demand: HashMap<ServedModel, (u32, u64)>,
    unresponsive: BTreeSet<TargetId>,
    polled: Vec<PolledEngine>,
}

impl DelegateView {
    /// Creates the view of a coordinator that has not synced with a leader. `lease` is the length of the
    /// leases on plans.
    #[must_use]
    pub fn new(lease: Duration) -> Self {
        Self {
            is_needed: false,
            term: 0,
            proofs: VecDeque::new(),
            gateways: GatewayTable::default(),
            confirmations: PlanConfirmations::new(lease, Duration::ZERO),
            listed_at: None,
            recorded_services: Vec::new(),
            delegates: Vec::new(),
            roster_number: 0,
            roster_at: None,
            pending: PendingReport::default(),
        }
    }

    /// Returns whether the leader wants this coordinator to answer syncs.
    #[must_use]
    pub fn is_needed(&self) -> bool {
        self.is_needed
    }

    /// Returns the term of the leader that answered last.
    #[must_use]
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the age of the last proof that `newest`, this coordinator's newest plan and revision, is no older than
    /// what the leader has; `None` if the coordinator must not answer syncs.
    #[must_use]
    pub fn proof_age(&self, newest: ServingState, now: BootInstant) -> Option<Duration> {
        let proofs = self.proofs.iter().rev();
        let mut proofs = proofs.filter(|(named, _)| newest.covers(*named));
        let age = proofs.next().map(|(_, at)| now.saturating_since(*at))?;
        (self.is_needed && age < MAX_PROOF_AGE).then_some(age)
    }

    /// Records a sync of a gateway that is about to be answered. `first` is what a gateway without a plan
    /// serves by once it has received the reply.
    pub fn record(&mut self, report: &GatewayReport, first: Option<ServingState>, now: Duration) {
        self.gateways.record(report, now);
        let confirmations = &mut self.confirmations;
        let serial = report.known_serial();
        match report.plan_version {
            0 => confirmations.record_missing_plan(&report.gateway, report.serial),
            _ => confirmations.record_report(&report.gateway, report.serving_state(), now),
        };
        if let Some(first) = first {
            confirmations.record_first_plan(&report.gateway, first, serial, now);
        }
        let first = first.unwrap_or_default();
        let gateway = DelegatedGateway {
            entry: RosterEntry {
                gateway: report.gateway.clone(),
                data_centre: report.data_centre.clone(),
                load_address: report.load_address,
                is_stranded: report.is_stranded,
            },
            plan_version: report.plan_version,
            first_plan: first.plan_version,
            evacuation_revision: report.evacuation_revision,
            first_revision: first.evacuation_revision,
        };
        let gateway = PendingGateway::new(gateway).with_serial(serial);
        self.pending.add_gateway(gateway);
        self.pending.add_demand(&report.demand);
        self.pending
            .unresponsive
            .extend(report.unresponsive.iter().cloned());
    }

    /// Records that a gateway has put a plan in force. Returns whether the leader has to be told.
    pub fn confirm(&mut self, confirmation: &PlanConfirmation) -> bool {
        let (gateway, state) = (&confirmation.gateway, confirmation.serving_state());
        if !self.confirmations.confirm(gateway, state) {
            return false;
        }
        let Some(entry) = self.gateways.roster_entry(gateway) else {
            return false;
        };
        self.pending
            .add_gateway(PendingGateway::new(DelegatedGateway {
                entry,
                plan_version: state.plan_version,
                first_plan: 0,
                evacuation_revision: state.evacuation_revision,
                first_revision: 0,
            }));
        true
    }

    /// Returns the next report, and empties what it tells. `newest` is this coordinator's newest plan
    /// and revision.
    pub fn make_report(
        &mut self,
        delegate: EntryKey,
        address: SocketAddr,
        newest: ServingState,
        list_version: crate::sync::ListVersion,
        now: Duration,
    ) -> DelegateReport {
        self.confirmations.expire(now);
        let is_due = |at: Duration| now.saturating_sub(at) >= ROSTER_INTERVAL;
        let pending = std::mem::take(&mut self.pending);
        let demand = pending.demand.into_iter();
        let gateways = pending.gateways.into_values();
        DelegateReport {
            delegate,
            address,
            plan_version: newest.plan_version,
            evacuation_revision: newest.evacuation_revision,
            list_version,
            roster_number: self
                .roster_at
                .is_none_or(is_due)
                .then_some(self.roster_number),
            fleet_size: self.gateways.count(),
            gateways: gateways.map(|pending| pending.told).collect(),
            demand: demand
                .map(|(model, (requests, tokens))| ModelRequests {
                    model,
                    requests,
                    tokens,
                })
                .collect(),
            unresponsive: pending.unresponsive.into_iter().collect(),
            polled: pending.polled,
        }
    }

    /// Takes back a report that was not answered.
    pub fn put_back(&mut self, report: DelegateReport) {
        for gateway in report.gateways {
            // What has been recorded since is newer.
            self.pending.add_earlier_gateway(gateway);
        }
        self.pending.add_demand(&report.demand);
        self.pending.unresponsive.extend(report.unresponsive);
        self.pending.polled.extend(report.polled);
    }

    /// Records the result of a poll for the leader.
    pub fn record_poll(&mut self, polled: PolledEngine) {
        self.pending.polled.push(polled);
    }

    /// Applies the leader's reply to a report that was sent at `sent_at`, except for the target list.
    pub fn apply(&mut self, reply: DelegateReply, sent_at: BootInstant, now: Duration) {
        if reply.term != self.term {
            self.roster_number = 0;
            // The new leader has not heard of the gateways that the former one was told of.
            let synced: Vec<RosterEntry> = self.gateways.synced_gateways(now).collect();
            for entry in synced {
                let held = self.confirmations.state(&entry.gateway).unwrap_or_default();
                let sent = self.confirmations.sent_state(&entry.gateway);
                let held = sent.map_or(held, |_| ServingState::default());
                let sent = sent.unwrap_or_default();
                self.pending.add_earlier_gateway(DelegatedGateway {
                    entry,
                    plan_version: held.plan_version,
                    first_plan: sent.plan_version,
                    evacuation_revision: held.evacuation_revision,
                    first_revision: sent.evacuation_revision,
                });
            }
        }
        self.term = reply.term;
        self.is_needed = reply.is_needed;
        if !reply.is_needed {
            self.proofs.clear();
            return;
        }
        self.proofs.push_back((reply.serving_state(), sent_at));
        if self.proofs.len() > MAX_WAITING_PROOFS {
            self.proofs.pop_front();
        }
        let age = reply.list_age_ms.map(Duration::from_millis);
        self.listed_at = age.map(|age| now.saturating_sub(age));
        self.recorded_services = reply.recorded_services;
        self.delegates = reply.delegates;
        if let Some(roster) = reply.roster {
            self.roster_number = roster.number;
            self.roster_at = Some(now);
            self.gateways.set_roster(roster.gateways, now);
        }
    }
}

impl PendingReport {
    fn add_gateway(&mut self, gateway: PendingGateway) {
        let key = gateway.told.entry.gateway.clone();
        let merged = match self.gateways.remove(&key) {
            Some(known) => known.merge(gateway),
            None => gateway,
        };
        self.gateways.insert(key, merged);
    }

    fn add_earlier_gateway(&mut self, gateway: DelegatedGateway) {
        let key = gateway.entry.gateway.clone();
        let earlier = PendingGateway::new(gateway);
        let merged = match self.gateways.remove(&key) {
            Some(later) => earlier.merge(later),
            None => earlier,
        };
        self.gateways.insert(key, merged);
    }

    fn add_demand(&mut self, demand: &[ModelRequests]) {
        for requests in demand {
            let count = self.demand.entry(requests.model.clone()).or_default();
            count.0 += requests.requests;
            count.1 += requests.tokens;
        }
    }
}
