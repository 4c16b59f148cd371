//! Tells the leader of parts of prompts that crash targets; see docs/design.md, section 10.

use std::{sync::Arc, time::Duration};

use spdlog::prelude::*;

use super::control_client::ControlClient;
use crate::{
    error::Result,
    gateway::{CrashWatch, PartReport},
    sync::CrashMessage,
};

/// Timeout of a message to the leader.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay after a failed report.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Reports crashes and complete answers until the task is dropped.
pub async fn run(control: Arc<ControlClient>, crash_watch: Arc<CrashWatch>) {
    loop {
        crash_watch.report_due().await;
        loop {
            let (_, report) = crash_watch.take_report();
            let Err(error) = send(&control, &report).await else {
                break;
            };
            warn!("entry: no leader recorded parts of requests; reporting them again: {error}");
            crash_watch.put_back(report);
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

async fn send(control: &ControlClient, report: &PartReport) -> Result<()> {
    for evidence in &report.crashes {
        let message = CrashMessage::ReportParts(evidence.clone());
        control.send_crash(&message, MESSAGE_TIMEOUT).await?;
    }
    if !report.completed.is_empty() {
        let message = CrashMessage::ClearParts(report.completed.clone());
        control.send_crash(&message, MESSAGE_TIMEOUT).await?;
    }
    Ok(())
}
