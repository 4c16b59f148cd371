use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use serde_bytes::ByteBuf;

use crate::{
    error::Result,
    plan::{DocumentDelta, PlanVersion},
    sync::{self, PlanUpdate, PublishedPlan},
};

/// Maximum number and total size of the plans that are kept as bases of deltas. Operators may publish
/// several plans a second, and a gateway may miss syncs for seconds while the leader changes.
const MAX_PLANS: usize = 64;
const MAX_PLAN_BYTES: usize = 16_000_000;
/// Rate at which the leader sends large updates. They must not delay other syncs, without which
/// gateways cannot serve.
const LARGE_UPDATE_BYTES_PER_SECOND: f64 = 3_000_000.0;
/// Size of large updates that may be sent in one moment. A process that gets its processor in slices answers
/// many syncs at once, and none between the slices.
const LARGE_UPDATE_BURST_BYTES: f64 = 300_000.0;
/// Size up to which an update is sent to all gateways without a rate limit.
const MAX_SMALL_UPDATE_BYTES: usize = 2_000;
/// Size up to which an update fits into a datagram with news.
const MAX_NEWS_BYTES: usize = 1_200;

/// The latest plans, from which updates for gateways are made: a delta if the gateway's plan is
/// among them, else the full plan. Large updates are rate-limited; see docs/platform.md.
#[derive(Debug, Default)]
pub struct PlanHistory {
    documents: BTreeMap<PlanVersion, ByteBuf>,
    /// Compressed deltas to the newest plan by their base version.
    deltas: HashMap<PlanVersion, ByteBuf>,
    /// The newest plan, compressed.
    full: Option<ByteBuf>,
    /// When the large updates that were sent have used up the rate. A burst may run ahead of the clock.
    large_sent_until: Duration,
}

impl PlanHistory {
    /// Returns an empty history.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a plan unless it is not newer than the newest one, and drops the oldest plans beyond
    /// the maximum number.
    pub fn add(&mut self, plan: &PublishedPlan) {
        if self
            .newest_version()
            .is_some_and(|newest| newest >= plan.version)
        {
            return;
        }
        self.documents.insert(plan.version, plan.document.clone());
        while self.documents.len() > MAX_PLANS
            || self.documents.len() > 1 && self.size() > MAX_PLAN_BYTES
        {
            self.documents.pop_first();
        }
        self.deltas.clear();
        self.full = None;
    }

    fn size(&self) -> usize {
        self.documents.values().map(|document| document.len()).sum()
    }

    /// Returns the version of the newest plan.
    #[must_use]
    pub fn newest_version(&self) -> Option<PlanVersion> {
        self.documents.keys().next_back().copied()
    }

    /// Returns what a gateway with the plan `held` is told between its syncs: a delta, if it fits into a
    /// datagram, or that there is a newer plan. `None` when the gateway is up to date, or when the update
    /// is rate-limited, since gateways that ask for it at once would only be told to wait.
    ///
    /// # Errors
    /// [`crate::error::Error::Decode`] when a delta cannot be encoded.
    pub fn news_since(&mut self, held: PlanVersion) -> Result<Option<PlanUpdate>> {
        let update = self.make_update(held)?;
        Ok(update.and_then(|update| match update {
            PlanUpdate::Delta { .. } if update.compressed_len() <= MAX_NEWS_BYTES => Some(update),
            update if update.compressed_len() <= MAX_SMALL_UPDATE_BYTES => {
                let version = update.version();
                Some(PlanUpdate::Deferred { version })
            }
            _ => None,
        }))
    }

    /// Returns the update for a gateway that has the plan `held`; `None` when it is up to date.
    ///
    /// # Errors
    /// [`crate::error::Error::Decode`] when a delta cannot be encoded.
    pub fn update_since(&mut self, held: PlanVersion, now: Duration) -> Result<Option<PlanUpdate>> {
        let update = self.make_update(held)?;
        Ok(update.map(|update| self.limit_rate(update, now)))
    }

    fn make_update(&mut self, held: PlanVersion) -> Result<Option<PlanUpdate>> {
        let Some((version, document)) = self.documents.last_key_value() else {
            return Ok(None);
        };
        let version = *version;
        let update = match self.documents.get(&held) {
            _ if held >= version => return Ok(None),
            Some(old) => {
                let compressed = match self.deltas.get(&held) {
                    Some(compressed) => compressed.clone(),
                    None => compress(&sync::encode_compact(&DocumentDelta::between(
                        old, document,
                    ))?),
                };
                self.deltas.insert(held, compressed.clone());
                PlanUpdate::Delta {
                    version,
                    base: held,
                    compressed,
                }
            }
            None => {
                let compressed = self.full.get_or_insert_with(|| compress(document)).clone();
                PlanUpdate::Full {
                    version,
                    compressed,
                }
            }
        };
        Ok(Some(update))
    }

    /// Replaces a large update by [`PlanUpdate::Deferred`] if it would exceed the rate.
    fn limit_rate(&mut self, update: PlanUpdate, now: Duration) -> PlanUpdate {
        let (PlanUpdate::Delta {
            version,
            compressed,
            ..
        }
        | PlanUpdate::Full {
            version,
            compressed,
        }) = &update
        else {
            return update;
        };
        if compressed.len() <= MAX_SMALL_UPDATE_BYTES {
            return update;
        }
        let time_of = |bytes: f64| Duration::from_secs_f64(bytes / LARGE_UPDATE_BYTES_PER_SECOND);
        #[allow(clippy::cast_precision_loss)] // Plans are far below 2^52 bytes.
        let until = self.large_sent_until.max(now) + time_of(compressed.len() as f64);
        // A plan that is larger than the burst goes out alone.
        if self.large_sent_until > now && until > now + time_of(LARGE_UPDATE_BURST_BYTES) {
            return PlanUpdate::Deferred { version: *version };
        }
        self.large_sent_until = until;
        update
    }
}

fn compress(bytes: &[u8]) -> ByteBuf {
    ByteBuf::from(lz4_flex::compress_prepend_size(bytes))
}
