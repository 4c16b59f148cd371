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

/// Command line of `waxwing`.
#[must_use]
pub fn operator_app() -> Command {
    Command::new("waxwing")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operates a fleet")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(dev_command())
}

fn dev_command() -> Command {
    let port = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("PORT")
            .default_value(default)
            .value_parser(value_parser!(u16))
            .help(help)
    };
    Command::new("dev")
        .about("Runs a whole fleet in one process, with stand-in engines and a team and key ready")
        .arg(port("port", "8080", "Loopback port for callers"))
        .arg(port("admin-port", "8081", "Loopback port for operators"))
        .arg(
            Arg::new("data-folder")
                .long("data-folder")
                .value_name("FOLDER")
                .value_parser(value_parser!(PathBuf))
                .help("Folder for durable state; without it, a new temporary folder is used"),
        )
}
