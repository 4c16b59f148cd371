use serde_json::{Value, json};

use super::{CommandResult, admin_path, member::member_table, print_json, print_text};
use crate::{
    operator::{
        AdminReply, EngineStatus, OperatorContext, OutputFormat, RevisionStatus, StatusView, table,
    },
    order::OrderAction,
    state::DrainSubject,
};

/// Prints the state of the fleet.
pub async fn status(context: &OperatorContext) -> CommandResult {
    let client = context.client()?;
    let view: StatusView = client.get(&admin_path("/status")).await?.decode()??;
    let members = match client.get(&admin_path("/members")).await? {
        AdminReply::Success(members) => members,
        AdminReply::Refused(_) => Value::Null,
    };
    match context.format {
        OutputFormat::Json => print_json(&json!({ "status": view, "members": members })),
        OutputFormat::Table => {
            print_text(&summary(&view));
            if !members.is_null() {
                print_text(&format!("\n{}", member_table(&members)));
            }
            print_text(&format!("\n{}", entry_table(&view)));
            print_text(&format!("\n{}", engine_table(&view)));
            if !view.drains.is_empty() {
                print_text(&format!("\n{}", drain_table(&view)));
            }
        }
    }
    Ok(())
}

fn summary(view: &StatusView) -> String {
    let behind = view
        .entries
        .iter()
        .filter(|entry| entry.in_force == RevisionStatus::Behind)
        .count();
    format!(
        "revision {} (behind: {behind} of {} entries), term {}, applied {}, command level {}\n\
         claims: {} ({} open, {} bytes of responses); suspect requests: {} ({} blocked)\n",
        view.revision,
        view.entries.len(),
        view.term,
        view.applied,
        view.level,
        view.claims.total,
        view.claims.open,
        view.claims.recorded_bytes,
        view.suspects.total,
        view.suspects.blocked,
    )
}

fn entry_table(view: &StatusView) -> String {
    let rows: Vec<_> = view
        .entries
        .iter()
        .map(|entry| {
            [
                entry.vm.to_string(),
                entry.data_centre.to_string(),
                entry.revision.to_string(),
                entry.age_ms.to_string(),
            ]
        })
        .collect();
    table(["ENTRY", "DATA CENTRE", "REVISION", "SYNC AGE (MS)"], &rows)
}

fn engine_table(view: &StatusView) -> String {
    let rows: Vec<_> = view.engines.iter().map(engine_row).collect();
    table(
        [
            "ENGINE",
            "RESERVED (MIB)",
            "MEMORY (MIB)",
            "COPIES",
            "ORDERS",
        ],
        &rows,
    )
}

fn engine_row(engine: &EngineStatus) -> [String; 5] {
    let list = |items: Vec<String>| {
        if items.is_empty() {
            "-".to_owned()
        } else {
            items.join(" ")
        }
    };
    let copies = engine.copies.iter();
    let orders = engine.orders.iter();
    [
        engine.target.to_string(),
        list(engine.reserved_mib.iter().map(u64::to_string).collect()),
        engine.memory_mib.to_string(),
        list(
            copies
                .map(|copy| format!("{}:{}", copy.model, copy.version))
                .collect(),
        ),
        list(
            orders
                .map(|order| match &order.action {
                    OrderAction::Load(copy) => format!("load {}:{}", copy.model, copy.version),
                    OrderAction::Unload(copy) => format!("unload {}:{}", copy.model, copy.version),
                })
                .collect(),
        ),
    ]
}

fn drain_table(view: &StatusView) -> String {
    let rows: Vec<_> = view
        .drains
        .iter()
        .map(|drain| {
            let (kind, id) = match &drain.subject {
                DrainSubject::Vm(id) => ("vm", id),
                DrainSubject::Target(id) => ("target", id),
            };
            [kind.to_owned(), id.to_string(), drain.since_ms.to_string()]
        })
        .collect();
    table(["DRAINING", "ID", "SINCE (MS SINCE 1970)"], &rows)
}
