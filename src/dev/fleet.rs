use std::{fs, time::Duration};

use reqwest::{Client, RequestBuilder};
use serde_json::json;

use super::settings::{DevSettings, create_folder};
use crate::{
    client,
    control::ControlDaemon,
    entry::EntryDaemon,
    error::{Error, Result},
    fake::{FakeEngine, FakeService},
    fleet::KeyHasher,
};

/// Time that the parts of the fleet have to come up.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Wait between two attempts while the fleet comes up.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Memory of each stand-in engine, in MiB.
const ENGINE_MEMORY_MIB: u64 = 81_920;

/// A development fleet: one control daemon, one entry, two stand-in engines and a service.
pub struct DevFleet {
    settings: DevSettings,
}

impl DevFleet {
    /// Prepares a fleet with these settings.
    #[must_use]
    pub fn new(settings: DevSettings) -> Self {
        Self { settings }
    }

    /// Runs the fleet and prints a working `curl` line once it serves.
    ///
    /// # Errors
    /// [`Error::Server`] when a port is taken, [`Error::File`] when the data folder is unusable.
    pub async fn run(self) -> Result<()> {
        create_folder(&self.settings.data_folder)?;
        self.write_secret("system.secret")?;
        let admin_token = self.write_secret("admin.token")?;
        let key_secret = self.write_secret("key.secret")?;
        let caller_key = self.write_secret("caller.key")?;
        let control = self.settings.control();
        let entry = self.settings.entry();
        let [first, second] = self
            .settings
            .engines()
            .map(|listen| FakeEngine::new(listen, ENGINE_MEMORY_MIB).run());
        let service = FakeService::new(self.settings.service()).run();
        let introduce = async {
            self.apply(&admin_token, &KeyHasher::new(&key_secret), &caller_key)
                .await?;
            self.wait_until_served(&caller_key).await?;
            self.print_usage(&caller_key);
            Ok(())
        };
        let daemons = async {
            tokio::try_join!(
                Box::pin(ControlDaemon::new(&control).run_until(std::future::pending())),
                Box::pin(EntryDaemon::new(&entry).run_until(std::future::pending())),
                Box::pin(first),
                Box::pin(second),
                Box::pin(service),
                introduce,
            )
        };
        Box::pin(daemons).await.map(|_| ())
    }

    /// Writes a new secret unless an earlier run left one.
    fn write_secret(&self, name: &str) -> Result<String> {
        let path = self.settings.secret_path(name);
        if let Ok(secret) = fs::read_to_string(&path) {
            return Ok(secret);
        }
        let secret = format!("wl-{}", uuid::Uuid::new_v4().simple());
        fs::write(&path, &secret).map_err(|source| Error::file(&path, source))?;
        Ok(secret)
    }

    async fn apply(&self, token: &str, hasher: &KeyHasher, key: &str) -> Result<()> {
        let client = client::http_client()?;
        let url = format!(
            "http://127.0.0.1:{}/admin/v1/config",
            self.settings.admin_port
        );
        let config = self.settings.fleet(&hasher.hash(key))?;
        let revision = retry("control daemon", || async {
            let answer = client.get(&url).bearer_auth(token).send().await.ok()?;
            // Before a leader is elected, the answer is a refusal without a revision.
            let answer = answer.error_for_status().ok()?;
            answer.json::<serde_json::Value>().await.ok()?["revision"].as_u64()
        })
        .await?;
        // Stand-in ports differ between runs, so the configuration is always applied anew.
        let request_id = uuid::Uuid::now_v7().to_string();
        let body = json!({ "request_id": request_id, "expected": revision, "config": config });
        retry("accepted configuration", || async {
            succeeded(client.put(&url).bearer_auth(token).json(&body)).await
        })
        .await
    }

    async fn wait_until_served(&self, key: &str) -> Result<()> {
        let client: Client = client::http_client()?;
        let url = format!(
            "http://127.0.0.1:{}/v1/completions",
            self.settings.caller_port
        );
        let body = json!({ "model": "chat-small", "prompt": "ready", "max_tokens": 1 });
        retry("answer of the first model", || async {
            succeeded(client.post(&url).bearer_auth(key).json(&body)).await
        })
        .await
    }

    fn print_usage(&self, key: &str) {
        let DevSettings {
            caller_port,
            admin_port,
            data_folder,
            ..
        } = &self.settings;
        println!(
            "The fleet serves callers at 127.0.0.1:{caller_port} and operators at 127.0.0.1:{admin_port}."
        );
        println!(
            "Its data folder is {}; stop it with Ctrl-C.\n",
            data_folder.display()
        );
        println!(
            "curl -N http://127.0.0.1:{caller_port}/v1/completions -H 'Authorization: Bearer {key}' \
             -H 'Content-Type: application/json' \
             -d '{{\"model\":\"chat-small\",\"prompt\":\"twelve red buckets\",\"stream\":true}}'"
        );
    }
}

/// Sends a call and tells whether it succeeded.
async fn succeeded(call: RequestBuilder) -> Option<()> {
    let answer = call.send().await.ok()?;
    answer.status().is_success().then_some(())
}

async fn retry<T, F>(what: &str, attempt: impl Fn() -> F) -> Result<T>
where
    F: Future<Output = Option<T>>,
{
    let attempts = async {
        loop {
            if let Some(value) = attempt().await {
                return value;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    };
    let reason = format!("no {what} within {} s", START_LIMIT.as_secs());
    tokio::time::timeout(START_LIMIT, attempts)
        .await
        .map_err(|_| Error::Server { reason })
}
