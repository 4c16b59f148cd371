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
    client,
    config::PlatformSource,
    error::{Error, Result},
    ids::VmId,
};

/// Interval of reading the list. A leaving target must stop getting new work within 3 s.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a request to the platform.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// The platform's list, as JSON. It is out of date at times: a VM listed as live may be dead, and a
/// VM that is not listed may be live. Only `leaving` is used; whether a VM is live is determined
/// from its own answers.
#[derive(Debug, Deserialize)]
struct PlatformList {
    #[serde(default)]
    leaving: BTreeSet<VmId>,
}

/// VMs that the platform's list marks as leaving.
#[derive(Clone, Debug, Default)]
pub struct LeavingVms {
    vms: Arc<RwLock<BTreeSet<VmId>>>,
}

impl LeavingVms {
    /// Returns whether a VM is marked as leaving.
    #[must_use]
    pub fn contains(&self, vm: &VmId) -> bool {
        self.vms
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .contains(vm)
    }

    /// Reads the list at intervals until the task is dropped. After a failure the last list stays
    /// in use, since a leaving VM does not come back by itself.
    pub async fn poll(self, source: PlatformSource, client: Client) {
        let mut is_failing = false;
        loop {
            match read_list(&source, &client).await {
                Ok(list) => {
                    is_failing = false;
                    self.replace(list.leaving);
                }
                Err(error) if !is_failing => {
                    is_failing = true;
                    warn!("platform: failed to read the list, keeping the last one: {error}");
                }
                Err(_) => {}
            }
            tokio::time::sleep(READ_INTERVAL).await;
        }
    }

    fn replace(&self, leaving: BTreeSet<VmId>) {
        let mut vms = self.vms.write().unwrap_or_else(PoisonError::into_inner);
        for vm in leaving.difference(&vms) {
            info!("platform: {vm} is marked as leaving");
        }
        *vms = leaving;
    }
}

async fn read_list(source: &PlatformSource, client: &Client) -> Result<PlatformList> {
    let bytes = match source {
        PlatformSource::File(path) => fs::read(path).map_err(|error| Error::file(path, error))?,
        PlatformSource::Url(url) => {
            let transport = |error: reqwest::Error| Error::Transport {
                peer: url.clone(),
                reason: error.to_string(),
            };
            let call = client.get(url).timeout(READ_TIMEOUT).send().await;
            let answer = call
                .and_then(reqwest::Response::error_for_status)
                .map_err(transport)?;
            client::read_body(url, answer, client::MAX_MESSAGE_BYTES).await?
        }
    };
    serde_json::from_slice(&bytes).map_err(|error| Error::Decode {
        what: "platform list",
        reason: error.to_string(),
    })
}
