use bytes::{Bytes, BytesMut};

/// Splits a stream of server-sent events at event boundaries, so that a caller receives only
/// complete events and tokens can be counted.
#[derive(Default)]
pub struct EventSplitter {
    pending: BytesMut,
}

/// A sequence of complete events from a stream.
#[derive(Debug, PartialEq, Eq)]
pub struct EventBatch {
    /// The events as sent by the engine.
    pub bytes: Bytes,
    /// Number of events that contain a token.
    pub tokens: u64,
    /// Whether the last event is the end mark.
    pub is_complete: bool,
}

/// Payload of the event that ends a complete stream.
const END_MARK: &[u8] = b"[DONE]";

impl EventSplitter {
    /// Adds bytes from the engine.
    pub fn push(&mut self, chunk: &[u8]) {
        self.pending.extend_from_slice(chunk);
    }

    /// Returns the number of buffered bytes.
    #[must_use]
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Removes and returns all complete events, up to the end mark.
    pub fn take(&mut self) -> Option<EventBatch> {
        let mut length = 0;
        let mut tokens = 0;
        let mut is_complete = false;
        while let Some(end) = event_end(&self.pending[length..]) {
            let event = &self.pending[length..length + end];
            length += end;
            match payload(event) {
                Some(payload) if payload == END_MARK => {
                    is_complete = true;
                    break;
                }
                Some(_) => tokens += 1,
                None => {}
            }
        }
        (length > 0).then(|| EventBatch {
            bytes: self.pending.split_to(length).freeze(),
            tokens,
            is_complete,
        })
    }
}

/// Returns the length of the first event, including its blank line.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        if matches!(&bytes[line_start..index], b"" | b"\r") {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

/// Returns the payload of an event's `data` line; `None` for comments.
fn payload(event: &[u8]) -> Option<&[u8]> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"data:"))
        .map(<[u8]>::trim_ascii)
}
