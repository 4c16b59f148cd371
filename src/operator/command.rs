//! The commands of the command line.

mod config;
mod drain;
mod key;
mod member;
mod status;

use std::io::{self, Write};

use clap::ArgMatches;
use serde::Serialize;

use super::{AdminAnswer, OperatorContext, OperatorExit, OutputFormat};
use crate::{
    clap_app,
    error::{Error, Result},
};

/// Why a command did not succeed.
pub(super) enum CommandFailure {
    /// The control daemon refused the request.
    Refused(Box<AdminAnswer>),
    /// A configuration is invalid; the errors were shown.
    Shown(OperatorExit),
    /// The request could not be made.
    Failed(Error),
}

/// Result of a command.
pub(super) type CommandResult<T = ()> = std::result::Result<T, CommandFailure>;

impl From<Error> for CommandFailure {
    fn from(error: Error) -> Self {
        Self::Failed(error)
    }
}

impl From<Box<AdminAnswer>> for CommandFailure {
    fn from(answer: Box<AdminAnswer>) -> Self {
        Self::Refused(answer)
    }
}

/// Runs the command that was parsed by [`clap_app::operator_app`] and returns its exit code.
///
/// # Panics
/// When the arguments were parsed by another command line.
pub async fn run(matches: &ArgMatches) -> OperatorExit {
    let (name, arguments) = matches.subcommand().expect("clap demands a subcommand");
    let context = match OperatorContext::new(arguments) {
        Ok(context) => context,
        Err(error) => return fail(&error),
    };
    let result = match name {
        "validate" => config::validate(&context, arguments),
        "diff" => config::diff(&context, arguments).await,
        "apply" => config::apply(&context, arguments).await,
        "get" => config::get(&context, arguments).await,
        "history" => config::history(&context).await,
        "status" => status::status(&context).await,
        "key" => key::run(&context, arguments).await,
        "drain" | "undrain" => drain::run(&context, name, arguments).await,
        "members" => member::run(&context, arguments).await,
        "completions" => {
            completions(arguments);
            Ok(())
        }
        name => unreachable!("clap knows no command {name}"),
    };
    match result {
        Ok(()) => OperatorExit::Success,
        Err(CommandFailure::Shown(exit)) => exit,
        Err(CommandFailure::Failed(error)) => fail(&error),
        Err(CommandFailure::Refused(answer)) => refuse(&context, &answer),
    }
}

fn fail(error: &Error) -> OperatorExit {
    eprintln!("waxwing: {error}");
    error.into()
}

fn refuse(context: &OperatorContext, answer: &AdminAnswer) -> OperatorExit {
    match context.format {
        OutputFormat::Json => print_json(answer),
        OutputFormat::Table => {
            eprintln!(
                "waxwing: {} ({}): {}",
                answer.name, answer.code, answer.message
            );
            for issue in &answer.issues {
                eprintln!("  {issue}");
            }
        }
    }
    answer
        .result_code()
        .map_or(OperatorExit::Failure, OperatorExit::from)
}

fn completions(arguments: &ArgMatches) {
    let shell: clap_complete::Shell = *arguments.get_one("shell").expect("clap demands it");
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut clap_app::operator_app(), "waxwing", &mut script);
    print_bytes(&script);
}

/// Prints a document for programs.
pub(super) fn print_json(document: &impl Serialize) {
    let mut text = serde_json::to_vec_pretty(document).unwrap_or_default();
    text.push(b'\n');
    print_bytes(&text);
}

/// Prints text for people.
pub(super) fn print_text(text: &str) {
    print_bytes(text.as_bytes());
}

/// A reader that closes the pipe early, as `head` does, is no failure of the command.
fn print_bytes(bytes: &[u8]) {
    let mut output = io::stdout().lock();
    let _ = output.write_all(bytes).and_then(|()| output.flush());
}

/// Prints the answer to an accepted change.
pub(super) fn print_answer(context: &OperatorContext, answer: &AdminAnswer) {
    match context.format {
        OutputFormat::Json => print_json(answer),
        OutputFormat::Table => {
            print_text(&format!("{}\n", answer.message));
            for warning in &answer.warnings {
                eprintln!("waxwing: warning: {warning}");
            }
        }
    }
}

/// Returns the request id of a change: the given one or a new one, which is shown so that the
/// command can be run again.
pub(super) fn request_id(arguments: &ArgMatches) -> String {
    if let Some(id) = arguments.get_one::<String>("request-id") {
        return id.clone();
    }
    let id = uuid::Uuid::now_v7().to_string();
    eprintln!("waxwing: request id {id}");
    id
}

/// Path of an endpoint.
pub(super) fn admin_path(rest: &str) -> String {
    format!("/admin/v1{rest}")
}

/// Reads a file, or standard input for `-`.
pub(super) fn read_input(name: &str) -> Result<Vec<u8>> {
    let mut text = Vec::new();
    let read = match name {
        "-" => io::Read::read_to_end(&mut io::stdin().lock(), &mut text),
        name => std::fs::File::open(name)
            .and_then(|mut file| io::Read::read_to_end(&mut file, &mut text)),
    };
    read.map_err(|source| Error::file(name, source))?;
    Ok(text)
}
