use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{ServiceId, SoftwareVersion, StreamKey},
    sync::{StreamOrigin, StreamStart, VersionObservation},
};

/// Maximum number of streams in each of the two generations. Streams beyond are not recorded, and are not
/// continued when they break.
const MAX_STREAMS: usize = 200_000;

/// Which version of the targets' software began each stream, while a service has more than one; see
/// docs/design.md, section 19.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamTable {
    services: BTreeMap<ServiceId, ServiceVersions>,
    retention_ms: u64,
    versions: Vec<SoftwareVersion>,
    /// Streams by the index of their version, recorded since the last rotation.
    recent: BTreeMap<StreamKey, u32>,
    /// Streams recorded in the generation before.
    former: BTreeMap<StreamKey, u32>,
    rotated_at_ms: u64,
}

/// Versions of one service's targets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct ServiceVersions {
    listed: BTreeSet<SoftwareVersion>,
    /// Versions that are no longer listed, with the time since which they are not.
    gone: BTreeMap<SoftwareVersion, u64>,
}

impl ServiceVersions {
    fn expire(&mut self, now_ms: u64, retention_ms: u64) {
        self.gone
            .retain(|_, since_ms| now_ms < since_ms.saturating_add(retention_ms));
    }

    /// Returns the versions that may have begun a stream that is still continued.
    fn live(&self, now_ms: u64, retention_ms: u64) -> impl Iterator<Item = &SoftwareVersion> {
        let is_live = move |since_ms: u64| now_ms < since_ms.saturating_add(retention_ms);
        let gone = self.gone.iter().filter(move |(_, since)| is_live(**since));
        self.listed.iter().chain(gone.map(|(version, _)| version))
    }

    fn observe(&mut self, listed: BTreeSet<SoftwareVersion>, now_ms: u64) {
        for version in self.listed.difference(&listed) {
            self.gone.insert(version.clone(), now_ms);
        }
        self.gone.retain(|version, _| !listed.contains(version));
        self.listed = listed;
    }
}

impl StreamTable {
    /// Records which versions the platform lists. A gateway gets a list only after this.
    pub fn observe(&mut self, now_ms: u64, observation: &VersionObservation) {
        self.expire(now_ms);
        self.retention_ms = observation.retention_ms;
        let listed = observation.services.iter().cloned();
        let mut listed: BTreeMap<ServiceId, BTreeSet<SoftwareVersion>> = listed.collect();
        for (service, versions) in &mut self.services {
            versions.observe(listed.remove(service).unwrap_or_default(), now_ms);
        }
        for (service, listed) in listed {
            let versions = self.services.entry(service).or_default();
            versions.observe(listed, now_ms);
        }
    }

    /// Records which version began streams. The first record of a stream stands.
    pub fn record(&mut self, now_ms: u64, version: &SoftwareVersion, streams: &[StreamKey]) {
        self.expire(now_ms);
        let index = self.index_of(version);
        for stream in streams {
            if self.recent.len() < MAX_STREAMS && !self.former.contains_key(stream) {
                self.recent.entry(*stream).or_insert(index);
            }
        }
    }

    /// Forgets versions and streams that are older than the retention.
    pub fn expire(&mut self, now_ms: u64) {
        for versions in self.services.values_mut() {
            versions.expire(now_ms, self.retention_ms);
        }
        self.services
            .retain(|_, versions| !versions.listed.is_empty() || !versions.gone.is_empty());
        if now_ms >= self.rotated_at_ms.saturating_add(self.retention_ms) {
            self.rotated_at_ms = now_ms;
            self.former = std::mem::take(&mut self.recent);
            if self.former.is_empty() {
                self.versions.clear();
            }
        }
    }

    /// Returns whether an observation would change the table.
    #[must_use]
    pub fn needs_observation(&self, observation: &VersionObservation) -> bool {
        let known = self
            .services
            .iter()
            .filter(|(_, known)| !known.listed.is_empty());
        let known = known.map(|(service, known)| (service, &known.listed));
        let listed = observation.services.iter();
        self.retention_ms != observation.retention_ms
            || !known.eq(listed.map(|(service, listed)| (service, listed)))
    }

    /// Returns the services with more than one version, whose streams are recorded.
    #[must_use]
    pub fn mixed_services(&self, now_ms: u64) -> Vec<ServiceId> {
        let mixed = self.services.iter().filter(|(_, versions)| {
            let live = versions.live(now_ms, self.retention_ms);
            live.count() > 1
        });
        mixed.map(|(service, _)| service.clone()).collect()
    }

    /// Returns which version began a stream. One that is not recorded began at the only version of the
    /// service, if it has had no other for the retention.
    #[must_use]
    pub fn origin(
        &self,
        service: &ServiceId,
        stream: Option<StreamKey>,
        now_ms: u64,
    ) -> StreamOrigin {
        let recorded = stream.and_then(|stream| {
            let index = self.recent.get(&stream);
            index.or_else(|| self.former.get(&stream))
        });
        if let Some(version) = recorded.and_then(|index| self.versions.get(*index as usize)) {
            return StreamOrigin::Recorded(version.clone());
        }
        let versions = self.services.get(service);
        let live = versions.map(|versions| versions.live(now_ms, self.retention_ms));
        let mut live = live.into_iter().flatten();
        match (live.next(), live.next()) {
            (Some(only), None) => StreamOrigin::OnlyVersion(only.clone()),
            _ => StreamOrigin::Unknown,
        }
    }

    /// Returns the number of recorded streams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.recent.len() + self.former.len()
    }

    /// Returns whether no stream is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn index_of(&mut self, version: &SoftwareVersion) -> u32 {
        let known = self.versions.iter().position(|known| known == version);
        let index = known.unwrap_or_else(|| {
            self.versions.push(version.clone());
            self.versions.len() - 1
        });
        u32::try_from(index).unwrap_or(u32::MAX)
    }
}

/// Streams that wait for their log entry, by the version that began them.
#[derive(Debug, Default)]
pub struct StreamBatch {
    streams: BTreeMap<SoftwareVersion, BTreeSet<StreamKey>>,
}

impl StreamBatch {
    /// Adds reported streams. Repeated ones are merged.
    pub fn add(&mut self, starts: &[StreamStart]) {
        for start in starts {
            let streams = self.streams.entry(start.version.clone()).or_default();
            streams.insert(start.stream);
        }
    }

    /// Returns whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Takes what waits, by version.
    pub fn take(&mut self) -> impl Iterator<Item = (SoftwareVersion, Vec<StreamKey>)> + use<> {
        let streams = std::mem::take(&mut self.streams).into_iter();
        streams.map(|(version, streams)| (version, streams.into_iter().collect()))
    }
}
