//! Errors inside the library; refusals that are sent to callers have their own types.

use std::{io, path::PathBuf};

use quick_error::quick_error;

/// Result type with the library's [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;

quick_error! {
    /// Error whose message identifies the offending input.
    #[derive(Debug)]
    #[allow(missing_docs)] // The fields are named in the messages.
    pub enum Error {
        /// A field of a settings file is missing or invalid.
        Settings { path: PathBuf, field: String, reason: String } {
            display("{}: field '{}': {}", path.display(), field, reason)
        }
        /// A file or folder operation failed.
        File { path: PathBuf, source: io::Error } {
            source(source)
            display("{}: {}", path.display(), source)
        }
        /// The content of a journal file differs from what was synced to it.
        Corrupt { path: PathBuf, offset: u64, reason: String } {
            display("{}: offset {}: {}", path.display(), offset, reason)
        }
        /// A peer, target or control daemon could not be reached or sent an invalid response.
        Transport { peer: String, reason: String } {
            display("{}: {}", peer, reason)
        }
        /// A message or document could not be decoded.
        Decode { what: &'static str, reason: String } {
            display("{} does not decode: {}", what, reason)
        }
        /// This voter is not the leader; `leader` is the administration address of the leader.
        NotLeader { leader: Option<String> } {
            display("not the leader; leader: {}", leader.as_deref().unwrap_or("unknown"))
        }
        /// The command or membership change was rejected and has no effect.
        Refused { reason: String } {
            display("refused: {}", reason)
        }
        /// The outcome is unknown: the command may or may not be committed later.
        Unconfirmed { reason: String } {
            display("outcome unknown: {}", reason)
        }
        /// The component has stopped.
        Stopped { part: &'static str } {
            display("{} has stopped", part)
        }
        /// The HTTP server did not start or failed.
        Server { reason: String } {
            display("server: {}", reason)
        }
        /// A command line argument is invalid.
        Argument { reason: String } {
            display("{}", reason)
        }
    }
}

impl Error {
    /// Wraps an I/O error with the path of the file or folder.
    pub fn file(path: impl Into<PathBuf>, source: io::Error) -> Self {
        Self::File {
            path: path.into(),
            source,
        }
    }
}
