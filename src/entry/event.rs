use bytes::{Bytes, BytesMut};

/// Splits a stream of server-sent events at event boundaries, so that a caller sees whole events
/// only and tokens can be counted.
#[derive(Default)]
pub struct EventSplitter {
    pending: BytesMut,
}

/// Whole events taken from a stream.
#[derive(Debug, PartialEq, Eq)]
pub struct EventBatch {
    /// The events as the engine sent them.
    pub bytes: Bytes,
    /// Number of events that carry a token.
    pub tokens: u64,
    /// Whether the last event is the end mark.
    pub ended: bool,
}

/// Payload of the event that ends a complete stream.
const END_MARK: &[u8] = b"[DONE]";

impl EventSplitter {
    /// Adds bytes from the engine.
    pub fn push(&mut self, chunk: &[u8]) {
        self.pending.extend_from_slice(chunk);
    }

    /// Bytes of an event that has not ended.
    #[must_use]
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Takes all whole events, up to the end mark.
    pub fn take(&mut self) -> Option<EventBatch> {
        let mut length = 0;
        let mut tokens = 0;
        let mut ended = false;
        while let Some(end) = event_end(&self.pending[length..]) {
            let event = &self.pending[length..length + end];
            length += end;
            match payload(event) {
                Some(payload) if payload == END_MARK => {
                    ended = true;
                    break;
                }
                Some(_) => tokens += 1,
                None => {}
            }
        }
        (length > 0).then(|| EventBatch {
            bytes: self.pending.split_to(length).freeze(),
            tokens,
            ended,
        })
    }
}

/// Length of the first event with its blank line.
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

/// Payload of an event's `data` line; `None` for comments.
fn payload(event: &[u8]) -> Option<&[u8]> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"data:"))
        .map(<[u8]>::trim_ascii)
}
