//! Command lines of all programs.

use clap::{Arg, ArgAction, Command, value_parser};
use std::path::PathBuf;

/// Command line of `waxwing-entry`.
#[must_use]
pub fn entry_app() -> Command {
    daemon_app(
        "waxwing-entry",
        "Serves callers: authenticates, admits, routes and streams requests",
    )
}

/// Command line of `waxwing-control`.
#[must_use]
pub fn control_app() -> Command {
    daemon_app(
        "waxwing-control",
        "Keeps the fleet's durable state and leads placement",
    )
}

fn daemon_app(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .version(env!("CARGO_PKG_VERSION"))
        .about(about)
        .arg(
            Arg::new("config")
                .long("config")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings of this daemon, as JSON"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Checks the settings and exits"),
        )
}

/// Command line of `waxwing-fake`.
#[must_use]
pub fn fake_app() -> Command {
    let port = Arg::new("port")
        .long("port")
        .value_name("PORT")
        .required(true)
        .value_parser(value_parser!(u16))
        .help("Loopback port to serve at");
    let memory = Arg::new("memory-mib")
        .long("memory-mib")
        .value_name("MIB")
        .default_value("81920")
        .value_parser(value_parser!(u64))
        .help("Memory of the engine's accelerator");
    Command::new("waxwing-fake")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Stands in for targets")
        .subcommand_required(true)
        .subcommand(
            Command::new("engine")
                .about("A model engine")
                .arg(port.clone())
                .arg(memory),
        )
        .subcommand(Command::new("service").about("A plain service").arg(port))
}
