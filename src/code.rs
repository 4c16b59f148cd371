//! Numbered result codes; the table is in docs/result-codes.md.

use serde::{Deserialize, Serialize};

macro_rules! result_codes {
    ($($(#[doc = $meaning:literal])+ $variant:ident = $number:literal, $name:literal, $status:literal;)*) => {
        /// Result code of a refusal or failure, stable across releases.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        pub enum ResultCode { $($(#[doc = $meaning])+ $variant),* }

        impl ResultCode {
            /// Every code, in the order of the numbers.
            pub const ALL: &'static [Self] = &[$(Self::$variant),*];

            /// Number of the code, for programs.
            #[must_use]
            pub const fn number(self) -> u16 { match self { $(Self::$variant => $number),* } }

            /// Name of the code, for people and metrics.
            #[must_use]
            pub const fn name(self) -> &'static str { match self { $(Self::$variant => $name),* } }

            /// HTTP status that goes with the code.
            #[must_use]
            pub const fn status(self) -> u16 { match self { $(Self::$variant => $status),* } }

            /// What the code means, for the documentation.
            #[must_use]
            pub const fn meaning(self) -> &'static str {
                match self { $(Self::$variant => concat!($($meaning),+)),* }
            }
        }
    };
}

result_codes! {
    /// The request cannot be parsed.
    MalformedRequest = 1001, "malformed_request", 400;
    /// No route serves the path.
    UnknownRoute = 1002, "unknown_route", 404;
    /// No model or adapter has this name.
    UnknownModel = 1003, "unknown_model", 404;
    /// The body is larger than the route allows.
    BodyTooLarge = 1004, "body_too_large", 413;
    /// The route needs a key and none was sent.
    MissingKey = 1005, "missing_key", 401;
    /// The key is unknown or revoked.
    UnknownKey = 1006, "unknown_key", 401;
    /// The team's allowance does not cover the request within its deadline.
    RateLimited = 1101, "rate_limited", 429;
    /// The request needs more tokens than the team's burst.
    ExceedsBurst = 1102, "exceeds_burst", 429;
    /// The team's queue is full.
    QueueFull = 1103, "queue_full", 429;
    /// The request cannot start before its deadline.
    DeadlineExceeded = 1104, "deadline_exceeded", 503;
    /// The entry cannot prove that its configuration is fresh.
    StaleConfiguration = 1105, "stale_configuration", 503;
    /// The daemon is shutting down.
    ShuttingDown = 1106, "shutting_down", 503;
    /// The route demands an idempotency key.
    IdempotencyKeyMissing = 1201, "idempotency_key_missing", 400;
    /// The idempotency key is not a UUID version 7.
    IdempotencyKeyInvalid = 1202, "idempotency_key_invalid", 400;
    /// The idempotency key is older than the retention.
    IdempotencyKeyExpired = 1203, "idempotency_key_expired", 409;
    /// The first request with this idempotency key still runs.
    InProgress = 1204, "in_progress", 409;
    /// Whether the first request with this key ran is not known.
    OutcomeUnknown = 1205, "outcome_unknown", 409;
    /// The idempotency key was used for another request.
    IdempotencyKeyReused = 1206, "idempotency_key_reused", 422;
    /// The claim could not be recorded, so the request was not sent.
    ClaimUnavailable = 1207, "claim_unavailable", 503;
    /// No target can take the request.
    NoTarget = 1301, "no_target", 503;
    /// The connection to the target failed.
    TargetUnreachable = 1302, "target_unreachable", 502;
    /// The target did not answer in time.
    TargetTimeout = 1303, "target_timeout", 504;
    /// The target's answer ended early.
    AnswerCut = 1304, "answer_cut", 502;
    /// The target answered another request.
    AnswerMismatch = 1305, "answer_mismatch", 502;
    /// The request crashed several targets and is blocked.
    RequestCrashesTargets = 1306, "request_crashes_targets", 422;
    /// The target refused to start the request.
    TargetRefused = 1307, "target_refused", 503;
    /// The key was revoked while the answer was streaming.
    KeyRevoked = 1308, "key_revoked", 403;
    /// The request took a target down and another attempt of it runs.
    SuspectBusy = 1309, "suspect_busy", 503;
    /// Another configuration was accepted first.
    RevisionConflict = 2001, "revision_conflict", 409;
    /// The configuration has errors and nothing was changed.
    InvalidConfiguration = 2002, "invalid_configuration", 422;
    /// Another control daemon leads.
    NotLeader = 2003, "not_leader", 421;
    /// The outcome of the change is not known; send it again with the same request id.
    Unconfirmed = 2004, "unconfirmed", 503;
    /// The credentials do not allow this.
    Unauthorized = 2005, "unauthorized", 401;
    /// The revision is durable but not yet in force on every VM.
    NotInForce = 2006, "not_in_force", 504;
    /// The request id was used for another change.
    RequestIdReused = 2007, "request_id_reused", 422;
    /// The membership change does not apply or would put the quorum at risk.
    ChangeRefused = 2008, "change_refused", 409;
    /// The revision is not kept or was never accepted.
    UnknownRevision = 2009, "unknown_revision", 404;
    /// An unexpected condition; the log has the details.
    Internal = 3001, "internal", 500;
}
