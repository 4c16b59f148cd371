use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

/// Response of a claimed request, replayed to the caller's resends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers in the order in which the target sent them.
    pub headers: Vec<(CompactString, String)>,
    /// Body; `None` when it was larger than [`Self::MAX_BODY_BYTES`] and not recorded.
    pub body: Option<ByteBuf>,
}

impl RecordedResponse {
    /// Largest body that is recorded, in bytes.
    pub const MAX_BODY_BYTES: usize = 16 * 1024;
    /// Most bytes of header names and values that are recorded.
    pub const MAX_HEADER_BYTES: usize = 8 * 1024;

    /// Returns the bytes that headers and body take.
    #[must_use]
    pub fn size(&self) -> usize {
        self.header_size() + self.body.as_ref().map_or(0, |body| body.len())
    }

    /// Returns the bytes that headers take.
    #[must_use]
    pub fn header_size(&self) -> usize {
        self.headers
            .iter()
            .map(|(name, value)| name.len() + value.len())
            .sum()
    }
}
