use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::ids::{ServiceId, SoftwareVersion, StreamKey};

/// A stream and the version of the target's software that began it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamStart {
    /// The stream.
    pub stream: StreamKey,
    /// Version that began it.
    pub version: SoftwareVersion,
}

/// Question which version began a stream that a caller takes up.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamQuery {
    /// Service that runs the stream.
    pub service: ServiceId,
    /// The stream; `None` if the caller does not name it.
    pub stream: Option<StreamKey>,
}

/// What the log knows of the version that began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamOrigin {
    /// The version was recorded for the stream.
    Recorded(SoftwareVersion),
    /// The service has had no other version as long as streams last.
    OnlyVersion(SoftwareVersion),
    /// Any of several versions may have begun it.
    Unknown,
}

/// Answer to a [`StreamQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamAnswer {
    /// The question.
    pub query: StreamQuery,
    /// What is known.
    pub origin: StreamOrigin,
}

/// Versions of the software of all listed targets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionObservation {
    /// Versions by service, in the order of the services.
    pub services: Vec<(ServiceId, BTreeSet<SoftwareVersion>)>,
    /// Time after which a stream is not continued any more, in milliseconds.
    pub retention_ms: u64,
}
