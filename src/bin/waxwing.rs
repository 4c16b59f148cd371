//! Operator command line.

use std::{path::PathBuf, process::ExitCode};

use clap::ArgMatches;
use waxwinglatch::{
    clap_app,
    dev::{DevFleet, DevSettings},
    error::Result,
    operator,
};

#[rocket::main]
async fn main() -> Result<ExitCode> {
    let matches = clap_app::operator_app().get_matches();
    if let Some(("dev", arguments)) = matches.subcommand() {
        return run_dev(arguments).await;
    }
    let exit = Box::pin(operator::run(&matches)).await;
    Ok(ExitCode::from(exit.number()))
}

async fn run_dev(arguments: &ArgMatches) -> Result<ExitCode> {
    let folder = arguments
        .get_one::<PathBuf>("data-folder")
        .cloned()
        .unwrap_or_else(|| {
            std::env::temp_dir().join(format!("waxwing-dev-{}", uuid::Uuid::new_v4().simple()))
        });
    let port = |name: &str| *arguments.get_one(name).expect("it has a default");
    DevFleet::new(DevSettings::new(port("port"), port("admin-port"), folder)?)
        .run()
        .await?;
    Ok(ExitCode::SUCCESS)
}
