use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use serde_bytes::ByteBuf;

use crate::{
    plan::{DocumentDelta, PlanVersion},
    sync::{PlanNews, PublishedPlan},
};

/// Plans that are kept, so that gateways get changes; operators may publish several a second, and a
/// gateway may miss some syncs.
const KEPT_PLANS: usize = 12;
/// Bytes a second of whole plans that the leader sends. They must not keep syncs waiting, which all
/// gateways need to serve at all.
const WHOLE_BYTES_PER_SECOND: f64 = 2_000_000.0;

/// The latest plans as gateways get them: as a change where the gateway's plan is known here, and
/// else whole, one gateway after the other; see docs/platform.md.
#[derive(Debug, Default)]
pub struct PlanArchive {
    documents: BTreeMap<PlanVersion, ByteBuf>,
    /// Changes to the newest plan by the version that they start from.
    changes: HashMap<PlanVersion, DocumentDelta>,
    packed: Option<ByteBuf>,
    /// When the next whole plan may be sent.
    whole_at: Duration,
}

impl PlanArchive {
    /// Returns an empty archive.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a plan; those before the newest ones are forgotten.
    pub fn add(&mut self, plan: &PublishedPlan) {
        if self.newest().is_some_and(|newest| newest >= plan.version) {
            return;
        }
        self.documents.insert(plan.version, plan.document.clone());
        while self.documents.len() > KEPT_PLANS {
            self.documents.pop_first();
        }
        self.changes.clear();
        self.packed = None;
    }

    /// Returns the version of the newest plan.
    #[must_use]
    pub fn newest(&self) -> Option<PlanVersion> {
        self.documents.keys().next_back().copied()
    }

    /// Returns what a gateway with the plan `held` needs; `None` when it has the newest.
    pub fn news(&mut self, held: PlanVersion, now: Duration) -> Option<PlanNews> {
        let (version, document) = self.documents.last_key_value()?;
        let version = *version;
        if held >= version {
            return None;
        }
        if let Some(old) = self.documents.get(&held) {
            let change = self.changes.entry(held);
            let delta = change.or_insert_with(|| DocumentDelta::between(old, document));
            return Some(PlanNews::Change {
                version,
                base: held,
                delta: delta.clone(),
            });
        }
        if now < self.whole_at {
            return Some(PlanNews::Later { version });
        }
        let packed = self
            .packed
            .get_or_insert_with(|| ByteBuf::from(lz4_flex::compress_prepend_size(document)));
        #[allow(clippy::cast_precision_loss)] // Plans are far below 2^52 bytes.
        let pause = Duration::from_secs_f64(packed.len() as f64 / WHOLE_BYTES_PER_SECOND);
        self.whole_at = now + pause;
        Some(PlanNews::Whole {
            version,
            packed: packed.clone(),
        })
    }
}
