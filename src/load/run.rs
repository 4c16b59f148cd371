use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use reqwest::Client;
use tokio::{sync::Semaphore, task::JoinSet};
use uuid::Uuid;

use super::{
    ArrivalTimes, LoadReport, LoadShape, RequestKind, TeamShape,
    answer::CallerAnswer,
    caller::{CallerRequest, call_entry},
};
use crate::{client, error::Result};

/// Requests that may be under way at once; more wait, so that a stuck fleet does not exhaust the
/// machine.
const MAX_UNDER_WAY: usize = 2_000;
/// Times that a caller sends a reservation again after it lost the answer.
const MAX_RESENDS: u32 = 8;
/// Wait before a reservation is sent again.
const RESEND_DELAY: Duration = Duration::from_millis(500);

/// What a run needs.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Addresses of the entries, such as `127.0.0.1:8080`.
    pub entries: Vec<String>,
    /// Key of each team.
    pub keys: Vec<String>,
    /// Models that chats and drafts ask for.
    pub models: Vec<String>,
    /// Time in which requests are sent.
    pub duration: Duration,
    /// Seed of arrivals, kinds and prompts.
    pub seed: u64,
}

/// One run of the load program.
pub struct LoadRun {
    shape: LoadShape,
    settings: LoadSettings,
    client: Client,
    report: Mutex<LoadReport>,
}

impl LoadRun {
    /// Prepares a run.
    ///
    /// # Errors
    /// [`crate::error::Error::Server`] when no client can be set up.
    pub fn new(shape: LoadShape, settings: LoadSettings) -> Result<Self> {
        let mut report = LoadReport::default();
        shape.name.clone_into(&mut report.shape);
        report.seed = settings.seed;
        report.seconds = settings.duration.as_secs_f64();
        Ok(Self {
            shape,
            settings,
            client: client::http_client()?,
            report: Mutex::new(report),
        })
    }

    /// Sends all requests, waits for their answers and returns the report.
    pub async fn run(self) -> LoadReport {
        let run = Arc::new(self);
        let mut teams = JoinSet::new();
        for number in 0..run.shape.teams.len() {
            teams.spawn(Arc::clone(&run).run_team(number));
        }
        while teams.join_next().await.is_some() {}
        let mut report = run
            .report
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        report.finish();
        report
    }

    async fn run_team(self: Arc<Self>, number: usize) {
        let team = self.shape.teams[number].clone();
        let seed = self
            .settings
            .seed
            .wrapping_mul(1_000)
            .wrapping_add(number as u64);
        let arrivals = ArrivalTimes::new(&team, ChaCha8Rng::seed_from_u64(seed));
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
        let under_way = Arc::new(Semaphore::new(MAX_UNDER_WAY));
        let started = Instant::now();
        let mut calls = JoinSet::new();
        for (index, at) in arrivals
            .take_while(|at| *at < self.settings.duration)
            .enumerate()
        {
            tokio::time::sleep_until((started + at).into()).await;
            let Ok(permit) = Arc::clone(&under_way).acquire_owned().await else {
                return;
            };
            let request = self.request(&team, number, index, &mut rng);
            let first_entry = rng.random_range(0..self.settings.entries.len().max(1));
            let run = Arc::clone(&self);
            calls.spawn(async move {
                run.call(number, &request, first_entry).await;
                drop(permit);
            });
        }
        while calls.join_next().await.is_some() {}
    }

    fn request(
        &self,
        team: &TeamShape,
        number: usize,
        index: usize,
        rng: &mut ChaCha8Rng,
    ) -> CallerRequest {
        let weights: Vec<(RequestKind, u32)> = RequestKind::ALL.into_iter().zip(team.mix).collect();
        let kind = weights
            .choose_weighted(rng, |(_, weight)| *weight)
            .map_or(RequestKind::Chat, |(kind, _)| *kind);
        let prefix = (0..team.prefix_words).map(|word| format!("p{number}x{word}"));
        let own = (0..team.prompt_words).map(|word| format!("t{number}r{index}w{word}"));
        let words: Vec<String> = prefix.chain(own).collect();
        CallerRequest {
            kind,
            model: self
                .settings
                .models
                .choose(rng)
                .cloned()
                .unwrap_or_default(),
            prompt: words.join(" "),
            key: Uuid::now_v7().to_string(),
        }
    }

    /// Calls an entry. A reservation whose answer was lost, or that may still run, is sent again
    /// under the same key to the next entry, as a careful caller does.
    async fn call(&self, team: usize, request: &CallerRequest, first_entry: usize) {
        let key = self
            .settings
            .keys
            .get(self.shape.teams[team].key)
            .cloned()
            .unwrap_or_default();
        let mut attempt = 0;
        let answer = loop {
            let entry = (first_entry + attempt as usize) % self.settings.entries.len().max(1);
            let answer =
                call_entry(&self.client, &self.settings.entries[entry], &key, request).await;
            let is_open = match &answer {
                CallerAnswer::Broken => true,
                CallerAnswer::Refused { name, not_run } => *not_run || name == "in_progress",
                _ => false,
            };
            let may_resend = request.kind == RequestKind::Reservation && attempt < MAX_RESENDS;
            if !is_open || !may_resend {
                break answer;
            }
            attempt += 1;
            tokio::time::sleep(RESEND_DELAY).await;
        };
        let mut report = self.report.lock().unwrap_or_else(PoisonError::into_inner);
        report.resent += u64::from(attempt);
        report.record(team, request.kind, &request.key, &answer);
    }
}
