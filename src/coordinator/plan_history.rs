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

/// Plans that are kept, so that gateways get changes; operators may publish several a second, and a
/// gateway may miss some syncs.
const KEPT_PLANS: usize = 12;
/// Bytes a second of large news that the leader sends. They must not keep syncs waiting, which all
/// gateways need to serve at all.
const LARGE_BYTES_PER_SECOND: f64 = 3_000_000.0;
/// Bytes up to which news are sent to all gateways at once.
const SMALL_BYTES: usize = 2_000;

/// The latest plans as gateways get them: as a change where the gateway's plan is known here, and
/// else whole. Large news go to one gateway after the other; see docs/platform.md.
#[derive(Debug, Default)]
pub struct PlanHistory {
    documents: BTreeMap<PlanVersion, ByteBuf>,
    /// Compressed changes to the newest plan, by the version that they start from.
    changes: HashMap<PlanVersion, ByteBuf>,
    whole: Option<ByteBuf>,
    /// When the next large news may be sent.
    large_at: Duration,
}

impl PlanHistory {
    /// Returns an empty archive.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a plan; those before the newest ones are forgotten.
    pub fn add(&mut self, plan: &PublishedPlan) {
        if self
            .newest_version()
            .is_some_and(|newest| newest >= plan.version)
        {
            return;
        }
        self.documents.insert(plan.version, plan.document.clone());
        while self.documents.len() > KEPT_PLANS {
            self.documents.pop_first();
        }
        self.changes.clear();
        self.whole = None;
    }

    /// Returns the version of the newest plan.
    #[must_use]
    pub fn newest_version(&self) -> Option<PlanVersion> {
        self.documents.keys().next_back().copied()
    }

    /// Returns what a gateway with the plan `held` needs; `None` when it has the newest.
    ///
    /// # Errors
    /// [`crate::error::Error::Decode`] when a change cannot be encoded.
    pub fn update_since(&mut self, held: PlanVersion, now: Duration) -> Result<Option<PlanUpdate>> {
        let Some((version, document)) = self.documents.last_key_value() else {
            return Ok(None);
        };
        let version = *version;
        let news = match self.documents.get(&held) {
            _ if held >= version => return Ok(None),
            Some(old) => {
                let compressed = match self.changes.get(&held) {
                    Some(compressed) => compressed.clone(),
                    None => pack(&sync::encode_compact(&DocumentDelta::between(
                        old, document,
                    ))?),
                };
                self.changes.insert(held, compressed.clone());
                PlanUpdate::Delta {
                    version,
                    base: held,
                    compressed,
                }
            }
            None => {
                let compressed = self.whole.get_or_insert_with(|| pack(document)).clone();
                PlanUpdate::Full {
                    version,
                    compressed,
                }
            }
        };
        Ok(Some(self.pace(news, now)))
    }

    fn pace(&mut self, news: PlanUpdate, now: Duration) -> PlanUpdate {
        let (PlanUpdate::Delta {
            version,
            compressed,
            ..
        }
        | PlanUpdate::Full {
            version,
            compressed,
        }) = &news
        else {
            return news;
        };
        if compressed.len() <= SMALL_BYTES {
            return news;
        }
        if now < self.large_at {
            return PlanUpdate::Deferred { version: *version };
        }
        #[allow(clippy::cast_precision_loss)] // Plans are far below 2^52 bytes.
        let pause = compressed.len() as f64 / LARGE_BYTES_PER_SECOND;
        self.large_at = now + Duration::from_secs_f64(pause);
        news
    }
}

fn pack(bytes: &[u8]) -> ByteBuf {
    ByteBuf::from(lz4_flex::compress_prepend_size(bytes))
}
