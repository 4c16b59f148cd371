use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

/// Response of a claimed request, returned again when the caller resends the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers in the order in which the target sent them.
    pub headers: Vec<(CompactString, String)>,
    /// Body; `None` when it was larger than [`Self::MAX_BODY_BYTES`], or discarded to free memory.
    pub body: Option<ByteBuf>,
}

impl RecordedResponse {
    /// Maximum size of a recorded body, in bytes.
    pub const MAX_BODY_BYTES: usize = 16 * 1024;
    /// Maximum total size of recorded header names and values, in bytes.
    pub const MAX_HEADER_BYTES: usize = 8 * 1024;

    /// Returns the size of headers and body in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.header_size() + self.body.as_ref().map_or(0, |body| body.len())
    }

    /// Returns the size of header names and values in bytes.
    #[must_use]
    pub fn header_size(&self) -> usize {
        self.headers
            .iter()
            .map(|(name, value)| name.len() + value.len())
            .sum()
    }
}
