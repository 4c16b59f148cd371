//! Operator command line.

use std::path::PathBuf;

use waxwinglatch::{
    clap_app,
    dev::{DevFleet, DevSettings},
    error::Result,
};

#[rocket::main]
async fn main() -> Result<()> {
    let matches = clap_app::operator_app().get_matches();
    let (_, arguments) = matches.subcommand().expect("clap demands a subcommand");
    let folder = arguments
        .get_one::<PathBuf>("data-folder")
        .cloned()
        .unwrap_or_else(|| {
            std::env::temp_dir().join(format!("waxwing-dev-{}", uuid::Uuid::new_v4().simple()))
        });
    let port = |name: &str| *arguments.get_one(name).expect("it has a default");
    DevFleet::new(DevSettings::new(port("port"), port("admin-port"), folder)?)
        .run()
        .await
}
