//! Headers of requests that gateways pass to each other, and of the answers; see docs/design/stranded.md.

use std::time::Duration;

use hyper::{
    HeaderMap,
    header::{CONTENT_LENGTH, HeaderName, HeaderValue},
};
use subtle::ConstantTimeEq;

use crate::{adapter::remove_connection_headers, sync::SECRET_HEADER};

/// Time left for a passed request, in milliseconds.
const TIME_LEFT_HEADER: HeaderName = HeaderName::from_static("x-waxwing-time-left");
/// Marks an answer that the neighbour itself gives.
const ANSWER_HEADER: HeaderName = HeaderName::from_static("x-waxwing-hop");
/// What a neighbour itself answers to a passed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HopAnswer {
    /// The answer is for the caller.
    Refused,
    /// The neighbour reaches no target of the route either; the request has not run.
    Unreachable,
    /// The neighbour has lost its links to all targets; the request has not run.
    CutOff,
    /// The neighbour serves as many passed requests as it may; the request has not run.
    Busy,
    /// The neighbour stops; the request has not run.
    Stopping,
    /// The request has no valid secret and has not run.
    Denied,
}

impl HopAnswer {
    const ALL: [Self; 6] = [
        Self::Refused,
        Self::Unreachable,
        Self::CutOff,
        Self::Busy,
        Self::Stopping,
        Self::Denied,
    ];

    /// Returns the name on the wire and in log lines.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::CutOff => "cut-off",
            Self::Busy => "busy",
            Self::Stopping => "stopping",
            Self::Denied => "denied",
        }
    }

    /// Returns whether the answer is for the caller. Otherwise another neighbour may be asked.
    #[must_use]
    pub fn is_final(self) -> bool {
        self == Self::Refused
    }

    /// Marks an answer of the neighbour itself.
    pub fn write(self, headers: &mut HeaderMap) {
        headers.insert(ANSWER_HEADER, HeaderValue::from_static(self.name()));
    }

    /// Removes the mark from an answer; `None` if the answer is a target's.
    pub fn take(headers: &mut HeaderMap) -> Option<Self> {
        let value = headers.remove(ANSWER_HEADER)?;
        let mut all = Self::ALL.into_iter();
        let known = all.find(|answer| value.as_bytes() == answer.name().as_bytes());
        // A newer release may know further reasons; its answer stays one for the caller.
        Some(known.unwrap_or(Self::Refused))
    }
}

/// Prepares the headers of a request for the way to a neighbour.
pub fn prepare_request(headers: &mut HeaderMap, secret: &str, time_left: Duration) {
    remove_connection_headers(headers);
    headers.remove(CONTENT_LENGTH);
    let time_left = time_left.as_millis().max(1).to_string();
    for (name, value) in [
        (HeaderName::from_static(SECRET_HEADER), secret),
        (TIME_LEFT_HEADER, &time_left),
    ] {
        // A secret that is no valid header value is refused by all processes of the system.
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    }
}

/// Removes the headers of the hop from a passed request, and returns the time left; `None` without the
/// secret of the system.
pub fn take_time_left(headers: &mut HeaderMap, secret: &str) -> Option<Duration> {
    let sent = headers.remove(SECRET_HEADER)?;
    let time_left = headers.remove(TIME_LEFT_HEADER)?;
    if !bool::from(sent.as_bytes().ct_eq(secret.as_bytes())) {
        return None;
    }
    let millis = time_left.to_str().ok()?.parse().ok()?;
    Some(Duration::from_millis(millis))
}
