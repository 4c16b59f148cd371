//! Everything that can go wrong inside the library, apart from answers to callers.

use std::{io, path::PathBuf};

use quick_error::quick_error;

/// Result with the library's [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;

quick_error! {
    /// An error with a message that names the offending input.
    #[derive(Debug)]
    #[allow(missing_docs)] // The fields are named in the messages.
    pub enum Error {
        /// A settings file has a field that cannot be used.
        Settings { path: PathBuf, field: String, reason: String } {
            display("{}: field '{}': {}", path.display(), field, reason)
        }
        /// A file or folder operation failed.
        File { path: PathBuf, source: io::Error } {
            source(source)
            display("{}: {}", path.display(), source)
        }
        /// A file of the journal holds something else than what was synced to it.
        Corrupt { path: PathBuf, offset: u64, reason: String } {
            display("{}: offset {}: {}", path.display(), offset, reason)
        }
        /// A peer, target or control daemon could not be reached or sent an unusable answer.
        Transport { peer: String, reason: String } {
            display("{}: {}", peer, reason)
        }
        /// A message from another process does not decode.
        Decode { what: &'static str, reason: String } {
            display("{} does not decode: {}", what, reason)
        }
        /// This voter does not lead; `leader` is the administration address of the one that does.
        NotLeader { leader: Option<String> } {
            display("not the leader; leader: {}", leader.as_deref().unwrap_or("unknown"))
        }
        /// The command or membership change has no effect.
        Refused { reason: String } {
            display("refused: {}", reason)
        }
        /// The command may or may not be committed later.
        Unconfirmed { reason: String } {
            display("outcome unknown: {}", reason)
        }
        /// The part has stopped.
        Stopped { part: &'static str } {
            display("{} has stopped", part)
        }
        /// The HTTP server did not start or failed.
        Server { reason: String } {
            display("server: {}", reason)
        }
        /// A command line argument cannot be used.
        Argument { reason: String } {
            display("{}", reason)
        }
    }
}

impl Error {
    /// Wraps an I/O error with the path it concerns.
    pub fn file(path: impl Into<PathBuf>, source: io::Error) -> Self {
        Self::File {
            path: path.into(),
            source,
        }
    }
}
