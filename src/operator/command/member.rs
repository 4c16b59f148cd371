use std::net::SocketAddr;

use clap::ArgMatches;
use reqwest::Method;
use serde_json::{Value, json};

use super::{CommandResult, admin_path, print_answer, print_json, print_text};
use crate::operator::{AdminAnswer, OperatorContext, OutputFormat, table};

/// Lists or changes the members of the replicated log.
pub async fn run(context: &OperatorContext, arguments: &ArgMatches) -> CommandResult {
    let client = context.client()?;
    let (name, arguments) = arguments.subcommand().expect("clap requires a subcommand");
    if name == "list" {
        let view: Value = client.get(&admin_path("/members")).await?.decode()??;
        match context.format {
            OutputFormat::Json => print_json(&view),
            OutputFormat::Table => print_text(&member_table(&view)),
        }
        return Ok(());
    }
    let body = match name {
        "add" => json!({ "system": arguments.get_one::<SocketAddr>("system") }),
        _ => json!({ "id": arguments.get_one::<String>("id") }),
    };
    let path = admin_path(&format!("/members/{name}"));
    let reply = client.send(Method::POST, &path, Some(&body)).await?;
    let answer: AdminAnswer = reply.decode()??;
    print_answer(context, &answer);
    Ok(())
}

/// Formats the member list returned by a control daemon as a table.
pub fn member_table(view: &Value) -> String {
    let text = |value: &Value| value.as_str().unwrap_or("-").to_owned();
    let leader = &view["leader"];
    let members = view["members"].as_array().into_iter().flatten();
    let rows: Vec<_> = members
        .map(|member| {
            let role = if !leader.is_null() && member["id"] == *leader {
                "leader".to_owned()
            } else {
                text(&member["kind"])
            };
            [
                text(&member["id"]),
                role,
                text(&member["system"]),
                text(&member["admin"]),
            ]
        })
        .collect();
    table(["MEMBER", "ROLE", "SYSTEM", "ADMIN"], &rows)
}
