//! Subcommands of the `waxwing` command line.

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
    /// The failure has already been printed; the command exits with this code.
    Reported(OperatorExit),
    /// The command failed before it got an answer, or the answer is not usable.
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

/// Runs the subcommand that was parsed by [`clap_app::operator_app`] and returns its exit code.
///
/// # Panics
/// When the arguments were parsed by another [`clap::Command`].
pub async fn run(matches: &ArgMatches) -> OperatorExit {
    let (name, arguments) = matches.subcommand().expect("clap requires a subcommand");
    let context = match OperatorContext::new(arguments) {
        Ok(context) => context,
        Err(error) => return report_error(&error),
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
            print_completions(arguments);
            Ok(())
        }
        name => unreachable!("command {name} is declared to clap but not handled"),
    };
    match result {
        Ok(()) => OperatorExit::Success,
        Err(CommandFailure::Reported(exit)) => exit,
        Err(CommandFailure::Failed(error)) => report_error(&error),
        Err(CommandFailure::Refused(answer)) => report_refusal(&context, &answer),
    }
}

fn report_error(error: &Error) -> OperatorExit {
    eprintln!("waxwing: {error}");
    error.into()
}

fn report_refusal(context: &OperatorContext, answer: &AdminAnswer) -> OperatorExit {
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

fn print_completions(arguments: &ArgMatches) {
    let shell: clap_complete::Shell = *arguments
        .get_one("shell")
        .expect("clap requires the argument");
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut clap_app::operator_app(), "waxwing", &mut script);
    print_bytes(&script);
}

/// Prints a document as JSON to standard output.
pub(super) fn print_json(document: &impl Serialize) {
    let mut text = serde_json::to_vec_pretty(document).unwrap_or_default();
    text.push(b'\n');
    print_bytes(&text);
}

/// Prints text to standard output.
pub(super) fn print_text(text: &str) {
    print_bytes(text.as_bytes());
}

/// Write errors are ignored: a reader that closes the pipe early, such as `head`, must not fail the
/// command.
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

/// Returns the request id of a change. A generated id is printed so that the operator can retry the
/// command with it.
pub(super) fn request_id(arguments: &ArgMatches) -> String {
    if let Some(id) = arguments.get_one::<String>("request-id") {
        return id.clone();
    }
    let id = uuid::Uuid::now_v7().to_string();
    eprintln!("waxwing: request id {id}");
    id
}

/// Returns the URL path of an endpoint of the administration API; `rest` is its path below the
/// version.
pub(super) fn admin_path(rest: &str) -> String {
    format!("/admin/v1{rest}")
}

/// Reads a file, or standard input if the name is `-`.
pub(super) fn read_input(name: &str) -> Result<Vec<u8>> {
    let mut content = Vec::new();
    let result = match name {
        "-" => io::Read::read_to_end(&mut io::stdin().lock(), &mut content),
        name => std::fs::File::open(name)
            .and_then(|mut file| io::Read::read_to_end(&mut file, &mut content)),
    };
    result.map_err(|source| Error::file(name, source))?;
    Ok(content)
}
