use std::{
    collections::BTreeSet,
    fs,
    sync::{Arc, PoisonError, RwLock},
    time::Duration,
};

use reqwest::Client;
use serde::Deserialize;
use spdlog::prelude::*;

use crate::{
    config::PlatformSource,
    error::{Error, Result},
    ids::VmId,
};

/// Time between two readings of the list; a leaving target gets no new work within 3 s.
const READ_PERIOD: Duration = Duration::from_millis(500);
/// Time that the platform has to answer.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// The platform's list, as JSON. It lags: a VM listed as live may be dead, and a VM that is missing
/// may be live. Only `leaving` is acted on; whether a VM lives is judged by its own answers.
#[derive(Debug, Deserialize)]
struct PlatformList {
    #[serde(default)]
    leaving: BTreeSet<VmId>,
}

/// VMs that the platform says are about to leave.
#[derive(Clone, Debug, Default)]
pub struct LeavingVms {
    vms: Arc<RwLock<BTreeSet<VmId>>>,
}

impl LeavingVms {
    /// Tells whether a VM is about to leave.
    #[must_use]
    pub fn contains(&self, vm: &VmId) -> bool {
        self.vms
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .contains(vm)
    }

    /// Reads the list until the task is dropped. After a failed reading the last list stays, since
    /// a VM that was leaving does not come back by itself.
    pub async fn follow(self, source: PlatformSource, client: Client) {
        let mut is_failing = false;
        loop {
            match read_list(&source, &client).await {
                Ok(list) => {
                    is_failing = false;
                    self.replace(list.leaving);
                }
                Err(error) if !is_failing => {
                    is_failing = true;
                    warn!("platform: the list is not readable: {error}");
                }
                Err(_) => {}
            }
            tokio::time::sleep(READ_PERIOD).await;
        }
    }

    fn replace(&self, leaving: BTreeSet<VmId>) {
        let mut vms = self.vms.write().unwrap_or_else(PoisonError::into_inner);
        for vm in leaving.difference(&vms) {
            info!("platform: {vm} is leaving");
        }
        *vms = leaving;
    }
}

async fn read_list(source: &PlatformSource, client: &Client) -> Result<PlatformList> {
    let text = match source {
        PlatformSource::File(path) => {
            fs::read_to_string(path).map_err(|error| Error::file(path, error))?
        }
        PlatformSource::Url(url) => {
            let transport = |error: reqwest::Error| Error::Transport {
                peer: url.clone(),
                reason: error.to_string(),
            };
            let call = client.get(url).timeout(READ_TIMEOUT).send().await;
            let answer = call
                .and_then(reqwest::Response::error_for_status)
                .map_err(transport)?;
            answer.text().await.map_err(transport)?
        }
    };
    serde_json::from_str(&text).map_err(|error| Error::Decode {
        what: "platform list",
        reason: error.to_string(),
    })
}
