//! Commands of `waxwing` that talk to a fleet or check files.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Arg, ArgAction, ArgGroup, Command, value_parser};
use clap_complete::Shell;

use crate::operator::OutputFormat;

/// Adds the commands and the flags that they share.
pub(super) fn with_commands(app: Command) -> Command {
    app.args(shared_flags()).subcommands([
        validate(),
        diff(),
        apply(),
        get(),
        Command::new("history").about("Lists the kept revisions, the latest first"),
        Command::new("status")
            .about("Shows members, entries, engines with their orders, and drains"),
        key(),
        drain(
            "drain",
            "Takes a VM or target out of service; running requests complete",
        ),
        drain("undrain", "Puts a VM or target back into service"),
        members(),
        completions(),
    ])
}

fn shared_flags() -> [Arg; 5] {
    [
        Arg::new("config")
            .long("config")
            .value_name("FILE")
            .global(true)
            .value_parser(value_parser!(PathBuf))
            .help("Settings of the command line, as JSON; flags take precedence"),
        Arg::new("admin")
            .long("admin")
            .value_name("ADDRESS")
            .global(true)
            .action(ArgAction::Append)
            .value_parser(value_parser!(SocketAddr))
            .help("Administration address of a control daemon; can be repeated"),
        Arg::new("token-file")
            .long("token-file")
            .value_name("FILE")
            .global(true)
            .value_parser(value_parser!(PathBuf))
            .help("File with the bearer token of operators"),
        Arg::new("timeout-ms")
            .long("timeout-ms")
            .value_name("MS")
            .global(true)
            .default_value("10000")
            .value_parser(value_parser!(u64).range(1..=600_000))
            .help("Time after which a request without an answer is given up"),
        Arg::new("output")
            .long("output")
            .value_name("FORMAT")
            .global(true)
            .default_value("table")
            .value_parser(value_parser!(OutputFormat))
            .help("Form of the output"),
    ]
}

fn file(help: &'static str) -> Arg {
    Arg::new("file").value_name("FILE").help(help)
}

fn request_id() -> Arg {
    Arg::new("request-id")
        .long("request-id")
        .value_name("ID")
        .help("Id under which the same change can be sent again; a new one by default")
}

fn revision(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("REVISION")
        .value_parser(value_parser!(u64))
        .help(help)
}

fn validate() -> Command {
    Command::new("validate")
        .about("Checks a configuration and lists every error with its path")
        .long_about(
            "Checks a configuration without a fleet. Every error is listed with the path of the \
             offending value. The control daemons apply the same checks.",
        )
        .arg(file("The configuration, or '-' for standard input").required(true))
}

fn diff() -> Command {
    Command::new("diff")
        .about("Shows what a configuration would change, or the difference of two revisions")
        .long_about(
            "With a file, shows what applying it would change in the revision in force, or in the \
             file that --base names; then no fleet is needed. Without a file, shows the \
             differences between the revisions that --from and --to name.",
        )
        .arg(
            file("The configuration, or '-' for standard input").conflicts_with_all(["from", "to"]),
        )
        .arg(
            Arg::new("base")
                .long("base")
                .value_name("FILE")
                .requires("file")
                .help("Configuration to compare with, in place of the revision in force"),
        )
        .arg(revision("from", "Earlier revision; 0 is the empty configuration").requires("to"))
        .arg(revision("to", "Later revision").requires("from"))
        .group(ArgGroup::new("what").args(["file", "from"]).required(true))
}

fn apply() -> Command {
    Command::new("apply")
        .about("Replaces the configuration")
        .long_about(
            "Replaces the configuration as a whole. It returns once the change is durable on a \
             quorum, and is refused when another operator's change was accepted first. When the \
             outcome is not known, run the same command with the request id that it printed.",
        )
        .arg(file("The configuration, or '-' for standard input").required(true))
        .arg(revision(
            "expected",
            "Revision that the change starts from; by default the one in force when the command starts",
        ))
        .arg(request_id())
        .arg(
            Arg::new("wait")
                .long("wait")
                .action(ArgAction::SetTrue)
                .help("Waits until every live entry has the revision in force"),
        )
        .arg(
            Arg::new("wait-ms")
                .long("wait-ms")
                .value_name("MS")
                .default_value("5000")
                .value_parser(value_parser!(u64))
                .help("Longest time that --wait waits"),
        )
}

fn get() -> Command {
    Command::new("get")
        .about("Prints the configuration in force as JSON")
        .arg(revision(
            "revision",
            "An earlier revision that is kept, see 'history'",
        ))
}

fn key() -> Command {
    let id = Arg::new("id")
        .value_name("KEY_ID")
        .required(true)
        .help("Name of the key; it is not the key itself");
    Command::new("key")
        .about("Adds or revokes callers' keys")
        .subcommand_required(true)
        .subcommand(
            Command::new("add")
                .about("Makes a new random key, prints it once and stores its hash")
                .arg(id.clone())
                .arg(
                    Arg::new("team")
                        .long("team")
                        .value_name("TEAM")
                        .required(true)
                        .help("Team that callers with the key belong to"),
                )
                .arg(
                    Arg::new("priority")
                        .long("priority")
                        .value_name("PRIORITY")
                        .default_value("4")
                        .value_parser(value_parser!(u8).range(0..=9))
                        .help("Highest priority of the key's requests, from 0 to 9"),
                )
                .arg(
                    Arg::new("key-hash-secret-file")
                        .long("key-hash-secret-file")
                        .value_name("FILE")
                        .value_parser(value_parser!(PathBuf))
                        .help("File with the secret that keys are hashed with; it is the entries' file"),
                )
                .arg(request_id()),
        )
        .subcommand(
            Command::new("revoke")
                .about("Revokes a key; it stops working within seconds")
                .arg(id)
                .arg(request_id()),
        )
}

fn drain(name: &'static str, about: &'static str) -> Command {
    let subject = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name("ID").help(help)
    };
    Command::new(name)
        .about(about)
        .arg(subject("vm", "A VM with everything on it"))
        .arg(subject("target", "One target"))
        .group(
            ArgGroup::new("subject")
                .args(["vm", "target"])
                .required(true),
        )
        .arg(request_id())
}

fn members() -> Command {
    let id = Arg::new("id")
        .value_name("VM@INCARNATION")
        .required(true)
        .help("Name of the member, as 'members list' shows it");
    Command::new("members")
        .about("Lists or changes the members of the replicated log")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("Lists voters and learners"))
        .subcommand(
            Command::new("add")
                .about("Adds a control daemon as a learner")
                .arg(
                    Arg::new("system")
                        .long("system")
                        .value_name("ADDRESS")
                        .required(true)
                        .value_parser(value_parser!(SocketAddr))
                        .help("System address of the control daemon"),
                ),
        )
        .subcommand(
            Command::new("promote")
                .about("Makes a learner that has caught up a voter")
                .arg(id.clone()),
        )
        .subcommand(
            Command::new("remove")
                .about("Removes a voter or learner, such as one whose disk was lost")
                .arg(id),
        )
}

fn completions() -> Command {
    Command::new("completions")
        .about("Prints completions for a shell")
        .arg(
            Arg::new("shell")
                .value_name("SHELL")
                .required(true)
                .value_parser(value_parser!(Shell))
                .help("The shell"),
        )
}
