//! Control daemon.

use std::path::PathBuf;

use waxwinglatch::{
    clap_app,
    config::{self, ControlConfig},
    control::ControlDaemon,
    error::Result,
};

#[rocket::main]
async fn main() -> Result<()> {
    let matches = clap_app::control_app().get_matches();
    let path: &PathBuf = matches
        .get_one("config")
        .expect("clap demands the argument");
    let config: ControlConfig = config::load(path)?;
    if matches.get_flag("check") {
        println!("{}: settings are usable", path.display());
        return Ok(());
    }
    Box::pin(ControlDaemon::new(&config).run()).await
}
