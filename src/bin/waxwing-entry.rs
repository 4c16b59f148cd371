//! Entry daemon.

use std::path::PathBuf;

use waxwinglatch::{
    clap_app,
    config::{self, EntryConfig},
    entry::EntryDaemon,
    error::Result,
};

#[rocket::main]
async fn main() -> Result<()> {
    let matches = clap_app::entry_app().get_matches();
    let path: &PathBuf = matches
        .get_one("config")
        .expect("clap demands the argument");
    let config: EntryConfig = config::load(path)?;
    if matches.get_flag("check") {
        println!("{}: settings are usable", path.display());
        return Ok(());
    }
    EntryDaemon::new(&config).run().await
}
