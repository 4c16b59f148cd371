use crate::{code::ResultCode, error::Error};

macro_rules! exit_codes {
    ($($(#[$doc:meta])* $variant:ident = $number:literal, $meaning:literal;)*) => {
        /// Exit code of the command line; the table is in docs/operators.md.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum OperatorExit { $($(#[$doc])* $variant),* }

        impl OperatorExit {
            /// All exit codes in ascending order.
            pub const ALL: &'static [Self] = &[$(Self::$variant),*];

            /// Returns the exit status of the process.
            #[must_use]
            pub const fn number(self) -> u8 { match self { $(Self::$variant => $number),* } }

            /// Returns the description that the documentation lists.
            #[must_use]
            pub const fn meaning(self) -> &'static str {
                match self { $(Self::$variant => $meaning),* }
            }
        }
    };
}

exit_codes! {
    /// The command succeeded.
    Success = 0, "the command succeeded";
    /// A file is not readable, or an unexpected failure occurred.
    Failure = 1, "a file is not readable, or an unexpected failure";
    /// The command line or its settings are wrong.
    Usage = 2, "the command line or its settings are wrong";
    /// The configuration or change has errors.
    Invalid = 3, "the configuration or change has errors; nothing was changed";
    /// Another change was accepted first.
    Conflict = 4, "another change was accepted first; nothing was changed";
    /// The token is wrong.
    Unauthorized = 5, "the token is wrong";
    /// No control daemon could act on the request.
    Unreachable = 6, "no control daemon could act on the request; nothing was changed";
    /// The outcome of the change is unknown.
    Unconfirmed = 7, "the outcome is not known; run the command again with the same request id";
    /// The request id was used for another change.
    Reused = 8, "the request id was used for another change; nothing was changed";
    /// The change is durable, but some entries have not put it in force yet.
    NotInForce = 9, "the change is durable, but some entries do not have it in force yet";
    /// The requested revision does not exist or is no longer kept.
    NotFound = 10, "what was asked for does not exist or is not kept";
}

impl From<ResultCode> for OperatorExit {
    fn from(code: ResultCode) -> Self {
        match code {
            ResultCode::InvalidConfiguration
            | ResultCode::MalformedRequest
            | ResultCode::ChangeRefused
            | ResultCode::BodyTooLarge => Self::Invalid,
            ResultCode::RevisionConflict => Self::Conflict,
            ResultCode::Unauthorized => Self::Unauthorized,
            ResultCode::NotLeader => Self::Unreachable,
            ResultCode::Unconfirmed => Self::Unconfirmed,
            ResultCode::RequestIdReused => Self::Reused,
            ResultCode::NotInForce => Self::NotInForce,
            ResultCode::UnknownRevision => Self::NotFound,
            _ => Self::Failure,
        }
    }
}

impl From<&Error> for OperatorExit {
    fn from(error: &Error) -> Self {
        match error {
            Error::Settings { .. } => Self::Usage,
            Error::Transport { .. } | Error::NotLeader { .. } => Self::Unreachable,
            Error::Unconfirmed { .. } => Self::Unconfirmed,
            _ => Self::Failure,
        }
    }
}
