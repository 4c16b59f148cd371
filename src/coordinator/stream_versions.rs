//! Versions of the targets' software in the log; see docs/design.md, section 19.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use spdlog::prelude::*;

use super::state::CoordinatorState;
use crate::{
    adapter::TargetEntry,
    ids::{ServiceId, SoftwareVersion},
    state::Command,
    sync::{StreamAnswer, StreamOrigin, StreamQuery, VersionObservation},
    voter::{LeaderLease, unix_time_ms},
};

/// Minimum time for which it is known which version began a stream, and that a version served.
const MIN_STREAM_RETENTION: Duration = Duration::from_secs(60);
/// Age of the platform's list from which gateways read it by themselves.
const MAX_LIST_AGE: Duration = Duration::from_millis(1_800);

impl CoordinatorState {
    /// Commits which versions of the targets' software a list names, unless that is known. Gateways get a
    /// target only after this, so that no version begins a stream unknown to the log.
    pub(super) async fn observe_versions(&self, lease: LeaderLease, list: &[TargetEntry]) -> bool {
        let Some(plan) = self.tables(lease).plan.clone() else {
            return true;
        };
        let mut services: BTreeMap<ServiceId, BTreeSet<SoftwareVersion>> = BTreeMap::new();
        for entry in list {
            let versions = services.entry(entry.service.clone()).or_default();
            versions.insert(entry.software.clone());
        }
        let timeouts = plan.plan().routes.iter().map(|route| route.timeout);
        let longest = timeouts.max().unwrap_or_default() * 2;
        let retention = longest.max(MIN_STREAM_RETENTION).as_millis();
        let observation = VersionObservation {
            services: services.into_iter().collect(),
            retention_ms: u64::try_from(retention).unwrap_or(u64::MAX),
        };
        let is_known = self
            .voter
            .read_local(|state| !state.streams().needs_observation(&observation));
        if is_known {
            return true;
        }
        info!("route: versions of the targets have changed", kv: { versions:? = observation.services });
        let committed = self.voter.propose(Command::ObserveVersions(observation));
        match committed.await {
            Ok(_) => true,
            Err(error) => {
                warn!("route: cannot commit the versions of the targets: {error}");
                false
            }
        }
    }

    /// Answers questions about streams. `list_age` is the age of the platform's list that this leader has read.
    ///
    /// Gateways without a leader read the list by themselves, and streams begin on targets whose version the
    /// log does not know yet. Only a leader with a recent list can tell that a service has one version.
    pub(super) fn answer_streams(
        &self,
        queries: &[StreamQuery],
        list_age: Option<Duration>,
    ) -> Vec<StreamAnswer> {
        if queries.is_empty() {
            return Vec::new();
        }
        let knows_versions = list_age.is_some_and(|age| age < MAX_LIST_AGE);
        self.voter.read_local(|state| {
            let now_ms = state.now_ms().max(unix_time_ms());
            let answers = queries.iter().map(|query| {
                let streams = state.streams();
                let origin = match streams.origin(&query.service, query.stream, now_ms) {
                    StreamOrigin::OnlyVersion(_) if !knows_versions => StreamOrigin::Unknown,
                    origin => origin,
                };
                StreamAnswer {
                    origin,
                    query: query.clone(),
                }
            });
            answers.collect()
        })
    }

    /// Returns the services whose streams gateways have to report.
    pub(super) fn recorded_services(&self) -> Vec<ServiceId> {
        self.voter.read_local(|state| {
            let now_ms = state.now_ms().max(unix_time_ms());
            state.streams().mixed_services(now_ms)
        })
    }
}
