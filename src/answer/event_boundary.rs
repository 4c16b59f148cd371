/// Tracks whether a stream of server-sent events is between two events.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventBoundary {
    line: LineContent,
    /// Whether the current event has a complete line that is no comment.
    has_field: bool,
    /// Whether the last byte was a carriage return, which a line feed may follow.
    is_after_return: bool,
    /// Number of complete events.
    events: u64,
}

/// What the current line holds so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LineContent {
    #[default]
    Empty,
    Comment,
    Field,
}

impl EventBoundary {
    /// Adds the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            let is_after_return = std::mem::take(&mut self.is_after_return);
            match byte {
                b'\n' if is_after_return => {}
                b'\n' => self.end_line(),
                b'\r' => {
                    self.end_line();
                    self.is_after_return = true;
                }
                b':' if self.line == LineContent::Empty => self.line = LineContent::Comment,
                _ if self.line == LineContent::Empty => self.line = LineContent::Field,
                _ => {}
            }
        }
    }

    fn end_line(&mut self) {
        match self.line {
            LineContent::Empty => {
                self.events += u64::from(self.has_field);
                self.has_field = false;
            }
            LineContent::Comment => {}
            LineContent::Field => self.has_field = true,
        }
        self.line = LineContent::Empty;
    }

    /// Returns the number of complete events.
    #[must_use]
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns whether an event has begun and its blank line has not come yet.
    #[must_use]
    pub fn is_inside_event(&self) -> bool {
        self.has_field || self.line != LineContent::Empty
    }
}
