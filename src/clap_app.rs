//! Command lines of all programs.

mod operator;

use clap::{Arg, ArgAction, Command, value_parser};
use std::path::PathBuf;

use crate::fake::Switch;

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
    let echo = switch_argument("echo-ids", "on", "Whether X-Request-Id is echoed");
    Command::new("waxwing-fake")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Stands in for targets; tests set faults at /fake/v1/faults")
        .subcommand_required(true)
        .subcommand(
            Command::new("engine")
                .about("A model engine that echoes the prompt word by word")
                .arg(port.clone())
                .arg(echo.clone())
                .args(engine_numbers())
                .args(engine_switches())
                .arg(software_argument())
                .arg(
                    Arg::new("crash-on")
                        .long("crash-on")
                        .value_name("TEXT")
                        .help("Aborts the process when a prompt contains this text"),
                ),
        )
        .subcommand(
            Command::new("service")
                .about("A plain service that counts the runs of each X-Reservation")
                .arg(port)
                .arg(echo)
                .arg(number_argument::<u64>(
                    "response-ms",
                    "0",
                    "Time that a response takes",
                )),
        )
}

fn engine_numbers() -> [Arg; 10] {
    [
        number_argument::<u32>("accelerators", "1", "Number of accelerators"),
        number_argument::<u64>("memory-mib", "81920", "Memory of each accelerator"),
        number_argument::<u64>("load-ms", "0", "Time to load a copy"),
        number_argument::<u64>(
            "unload-ms",
            "0",
            "Time to unload a copy; its memory is taken until then",
        ),
        number_argument::<u64>("token-ms", "5", "Time per generated token"),
        number_argument::<u32>(
            "slots",
            "16",
            "Requests that run at once; more wait by X-Priority",
        ),
        number_argument::<usize>(
            "cache-blocks",
            "4096",
            "Blocks of 64 prompt bytes that the prefix cache holds",
        ),
        number_argument::<u64>(
            "event-delay-ms",
            "0",
            "Time after which a cache event is published",
        ),
        number_argument::<u64>(
            "event-gap",
            "0",
            "Leaves out every Nth cache event; 0 publishes all",
        ),
        number_argument::<u64>("report-lag-ms", "0", "Greatest age of a report"),
    ]
}

fn engine_switches() -> [Arg; 3] {
    [
        switch_argument(
            "check-fencing",
            "on",
            "Whether orders with an old fencing number are refused",
        ),
        switch_argument(
            "check-memory",
            "off",
            "Whether orders that exceed the memory are refused",
        ),
        switch_argument("resume", "on", "Whether broken streams can be resumed"),
    ]
}

fn software_argument() -> Arg {
    Arg::new("software")
        .long("software")
        .value_name("VERSION")
        .default_value("")
        .help("Version of the software that responses with a stream name; empty for none")
}

fn number_argument<T>(name: &'static str, default: &'static str, help: &'static str) -> Arg
where
    T: std::str::FromStr + Clone + Send + Sync + 'static,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default)
        .value_parser(|text: &str| text.parse::<T>())
        .help(help)
}

fn switch_argument(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("SWITCH")
        .default_value(default)
        .value_parser(value_parser!(Switch))
        .help(help)
}

/// Command line of `waxwing`.
#[must_use]
pub fn operator_app() -> Command {
    let app = Command::new("waxwing")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operates a fleet")
        .after_help("Exit codes and settings are described in docs/operators.md.")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(dev_command());
    operator::with_commands(app)
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

/// Command line of `waxwing-load`.
#[must_use]
pub fn load_app() -> Command {
    let many = |name: &'static str, value: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name(value)
            .required(true)
            .action(ArgAction::Append)
            .help(help)
    };
    Command::new("waxwing-load")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Drives entries as callers do, checks every answer and prints a report")
        .arg(many(
            "entry",
            "ADDRESS",
            "Entry to call, such as 127.0.0.1:8080; may be repeated",
        ))
        .arg(many(
            "key",
            "KEY",
            "Key of the next team; the last team floods",
        ))
        .arg(many(
            "model",
            "MODEL",
            "Model or adapter to ask for; may be repeated",
        ))
        .arg(
            Arg::new("shape")
                .long("shape")
                .value_parser(["atlas", "brattvold"])
                .default_value("atlas")
                .help("Deployment whose callers are imitated"),
        )
        .arg(number_argument::<f64>(
            "rate",
            "5",
            "Requests a second of each team",
        ))
        .arg(number_argument::<u64>(
            "seconds",
            "20",
            "Time in which requests are sent",
        ))
        .arg(number_argument::<u64>(
            "seed",
            "1",
            "Seed of arrivals, kinds and prompts",
        ))
        .arg(
            Arg::new("report")
                .long("report")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Writes the report to this file as JSON"),
        )
}
