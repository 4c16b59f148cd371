use clap::ArgMatches;
use rand::RngCore;
use reqwest::Method;
use serde_json::json;

use super::{CommandResult, admin_path, print_answer, print_json, print_text, request_id};
use crate::{
    border::KeyConfig,
    error::Error,
    operator::{AdminAnswer, KeyAddBody, KeyRevokeBody, OperatorContext, OutputFormat},
};

/// Number of random bytes in a key.
const KEY_BYTES: usize = 24;

/// Adds or revokes a key.
pub async fn run(context: &OperatorContext, arguments: &ArgMatches) -> CommandResult {
    match arguments.subcommand().expect("clap requires a subcommand") {
        ("add", arguments) => add(context, arguments).await,
        (_, arguments) => revoke(context, arguments).await,
    }
}

async fn add(context: &OperatorContext, arguments: &ArgMatches) -> CommandResult {
    let text = |name: &str| {
        let value = arguments.get_one::<String>(name);
        value.expect("clap requires the argument").clone()
    };
    let hasher = context.key_hasher(arguments.get_one("key-hash-secret-file"))?;
    let client = context.client()?;
    let key = generate_key();
    let id = text("id");
    let body = KeyAddBody {
        request_id: request_id(arguments).into(),
        key: KeyConfig {
            id: id.as_str().into(),
            team: text("team").into(),
            hash: hasher.hash(&key).to_string(),
            priority: *arguments
                .get_one("priority")
                .expect("the flag has a default"),
        },
    };
    let result = client
        .send(Method::POST, &admin_path("/keys"), Some(&body))
        .await;
    if let Err(Error::Unconfirmed { .. }) = &result {
        // A retry of the command would generate another key, so the outcome has to be checked.
        eprintln!("waxwing: if '{id}' is listed by 'waxwing get', revoke it and add another key");
    }
    let answer: AdminAnswer = result?.decode()??;
    match context.format {
        OutputFormat::Json => print_json(&json!({
            "id": id, "key": key, "revision": answer.revision,
        })),
        OutputFormat::Table => {
            eprintln!("waxwing: {}; the key is not shown again:", answer.message);
            print_text(&format!("{key}\n"));
        }
    }
    Ok(())
}

async fn revoke(context: &OperatorContext, arguments: &ArgMatches) -> CommandResult {
    let id = arguments.get_one::<String>("id");
    let body = KeyRevokeBody {
        request_id: request_id(arguments).into(),
        id: id.expect("clap requires the argument").into(),
    };
    let client = context.client()?;
    let path = admin_path("/keys/revoke");
    let reply = client.send(Method::POST, &path, Some(&body)).await?;
    print_answer(context, &reply.decode()??);
    Ok(())
}

fn generate_key() -> String {
    use std::fmt::Write as _;
    let mut bytes = [0; KEY_BYTES];
    rand::rng().fill_bytes(&mut bytes);
    let mut key = String::from("wl-");
    for byte in bytes {
        let _ = write!(key, "{byte:02x}");
    }
    key
}
