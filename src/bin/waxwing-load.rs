//! Load program.

use std::{path::PathBuf, time::Duration};

use waxwinglatch::{
    clap_app,
    error::{Error, Result},
    load::{LoadRun, LoadSettings, LoadShape},
};

#[rocket::main]
async fn main() -> Result<()> {
    let matches = clap_app::load_app().get_matches();
    let list = |name: &str| -> Vec<String> {
        matches
            .get_many::<String>(name)
            .unwrap_or_default()
            .cloned()
            .collect()
    };
    let scale = *matches.get_one("rate").expect("it has a default");
    let shape = match matches.get_one::<String>("shape").map(String::as_str) {
        Some("brattvold") => LoadShape::brattvold(scale),
        _ => LoadShape::atlas(scale),
    };
    let settings = LoadSettings {
        entries: list("entry"),
        keys: list("key"),
        models: list("model"),
        duration: Duration::from_secs(*matches.get_one("seconds").expect("it has a default")),
        seed: *matches.get_one("seed").expect("it has a default"),
    };
    let flooding = shape.teams.len() - 1;
    let report = LoadRun::new(shape, settings)?.run().await;
    println!("{report}");
    println!(
        "worst team within its rate {:.1}%",
        report.worst_team(flooding) * 100.0
    );
    if let Some(path) = matches.get_one::<PathBuf>("report") {
        let text = serde_json::to_string_pretty(&report).unwrap_or_default();
        std::fs::write(path, text).map_err(|source| Error::file(path, source))?;
    }
    Ok(())
}
