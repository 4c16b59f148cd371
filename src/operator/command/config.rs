use std::time::{Duration, Instant};

use clap::ArgMatches;
use reqwest::Method;
use serde_json::{Value, json};

use super::{
    CommandFailure, CommandResult, admin_path, print_answer, print_json, print_text, read_input,
    request_id,
};
use crate::{
    border::FleetConfig,
    code::ResultCode,
    error::Error,
    fleet::{ConfigIssue, FleetChange, changes_between, parse_config},
    ids::Revision,
    operator::{
        AdminAnswer, ApplyBody, ConfigView, DiffView, HistoryView, InForceView, OperatorClient,
        OperatorContext, OperatorExit, OutputFormat, table,
    },
};

/// Longest server-side wait of one long-poll request for a revision to be in force; the command
/// polls until its own timeout expires.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Validates a configuration file without contacting the fleet.
pub fn validate(context: &OperatorContext, arguments: &ArgMatches) -> CommandResult {
    let name = file_name(arguments);
    let config = read_config(context, name)?;
    let count = config.teams.len() + config.routes.len() + config.models.len();
    let count = count + config.keys.len() + config.adapters.len() + config.targets.len();
    match context.format {
        OutputFormat::Json => print_json(&json!({ "issues": [] })),
        OutputFormat::Table => print_text(&format!("{name}: {count} parts, no errors\n")),
    }
    Ok(())
}

/// Prints the differences between two revisions, or between a file and a base file or the current
/// revision.
pub async fn diff(context: &OperatorContext, arguments: &ArgMatches) -> CommandResult {
    let revision = |name: &str| arguments.get_one::<Revision>(name).copied();
    if let (Some(from), Some(to)) = (revision("from"), revision("to")) {
        let path = admin_path(&format!("/diff?from={from}&to={to}"));
        let view: DiffView = context.client()?.get(&path).await?.decode()??;
        print_changes(context, &view.changes);
        return Ok(());
    }
    let new = read_config(context, file_name(arguments))?;
    let old = match arguments.get_one::<String>("base") {
        Some(base) => Some(read_config(context, base)?),
        None => current_config(&context.client()?).await?.config,
    };
    print_changes(context, &changes_between(old.as_ref(), &new));
    Ok(())
}

fn print_changes(context: &OperatorContext, changes: &[FleetChange]) {
    match context.format {
        OutputFormat::Json => print_json(&json!({ "changes": changes })),
        OutputFormat::Table if changes.is_empty() => print_text("no differences\n"),
        OutputFormat::Table => {
            for change in changes {
                print_text(&format!("{change}\n"));
            }
        }
    }
}

/// Replaces the configuration.
pub async fn apply(context: &OperatorContext, arguments: &ArgMatches) -> CommandResult {
    let text = read_input(file_name(arguments))?;
    // The daemon validates again; validating here first reports all errors without contacting the
    // fleet.
    parse_config(&text).map_err(|issues| report_issues(context, issues))?;
    let config: Value = serde_json::from_slice(&text).map_err(|error| Error::Decode {
        what: "configuration",
        reason: error.to_string(),
    })?;
    let client = context.client()?;
    let expected = match arguments.get_one::<Revision>("expected") {
        Some(expected) => *expected,
        None => current_config(&client).await?.revision,
    };
    let body = ApplyBody {
        request_id: request_id(arguments).into(),
        expected,
        config,
    };
    if arguments.get_one::<Revision>("expected").is_none() {
        eprintln!("waxwing: expected revision {expected}");
    }
    let path = admin_path("/config");
    let reply = client.send(Method::PUT, &path, Some(&body)).await?;
    let answer: AdminAnswer = reply.decode()??;
    let mut wait_result = Ok(());
    if arguments.get_flag("wait") {
        let timeout = Duration::from_millis(
            *arguments
                .get_one("wait-ms")
                .expect("the flag has a default"),
        );
        wait_result = wait_in_force(&client, answer.revision, timeout).await;
    }
    print_answer(context, &answer);
    wait_result
}

async fn wait_in_force(
    client: &OperatorClient,
    revision: Revision,
    timeout: Duration,
) -> CommandResult {
    let deadline = Instant::now() + timeout;
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let wait = remaining.min(POLL_TIMEOUT).as_millis();
        let path = admin_path(&format!("/in-force/{revision}?wait_ms={wait}"));
        let view = client.get(&path).await?.decode::<InForceView>()?;
        match view {
            Ok(_) => return Ok(()),
            Err(answer)
                if answer.result_code() == Some(ResultCode::NotInForce) && !remaining.is_zero() => {
            }
            Err(answer) => return Err(answer.into()),
        }
    }
}

/// Prints a configuration in the form that `apply` accepts.
pub async fn get(context: &OperatorContext, arguments: &ArgMatches) -> CommandResult {
    let client = context.client()?;
    let view = match arguments.get_one::<Revision>("revision") {
        Some(revision) => {
            let path = admin_path(&format!("/history/{revision}"));
            client.get(&path).await?.decode()??
        }
        None => current_config(&client).await?,
    };
    match context.format {
        OutputFormat::Json => print_json(&view),
        OutputFormat::Table => {
            eprintln!("waxwing: revision {}", view.revision);
            print_json(&view.config);
        }
    }
    Ok(())
}

/// Lists the retained revisions.
pub async fn history(context: &OperatorContext) -> CommandResult {
    let path = admin_path("/history");
    let view: HistoryView = context.client()?.get(&path).await?.decode()??;
    if context.format == OutputFormat::Json {
        print_json(&view);
        return Ok(());
    }
    let rows: Vec<_> = view
        .revisions
        .iter()
        .map(|record| {
            [
                record.revision.to_string(),
                record.at_ms.to_string(),
                record.request_id.to_string(),
            ]
        })
        .collect();
    print_text(&table(
        ["REVISION", "AT (MS SINCE 1970)", "REQUEST ID"],
        &rows,
    ));
    Ok(())
}

async fn current_config(client: &OperatorClient) -> CommandResult<ConfigView> {
    Ok(client.get(&admin_path("/config")).await?.decode()??)
}

fn file_name(arguments: &ArgMatches) -> &str {
    arguments
        .get_one::<String>("file")
        .expect("clap requires the argument")
}

fn read_config(context: &OperatorContext, name: &str) -> CommandResult<FleetConfig> {
    parse_config(&read_input(name)?).map_err(|issues| report_issues(context, issues))
}

fn report_issues(context: &OperatorContext, issues: Vec<ConfigIssue>) -> CommandFailure {
    match context.format {
        OutputFormat::Json => print_json(&json!({ "issues": issues })),
        OutputFormat::Table => {
            eprintln!("waxwing: the configuration has {} errors", issues.len());
            for issue in &issues {
                eprintln!("  {issue}");
            }
        }
    }
    CommandFailure::Reported(OperatorExit::Invalid)
}
