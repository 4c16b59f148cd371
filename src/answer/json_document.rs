/// Tracks whether a JSON document is complete. It only follows strings and brackets: whether the
/// document is valid is for its reader to say.
#[derive(Clone, Copy, Debug, Default)]
pub struct JsonDocument {
    depth: u64,
    has_value: bool,
    is_in_string: bool,
    is_escaped: bool,
}

impl JsonDocument {
    /// Adds the next bytes of the document.
    pub fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            match byte {
                _ if std::mem::take(&mut self.is_escaped) => {}
                b'\\' if self.is_in_string => self.is_escaped = true,
                b'"' => {
                    self.is_in_string = !self.is_in_string;
                    self.has_value = true;
                }
                _ if self.is_in_string || byte.is_ascii_whitespace() => {}
                b'{' | b'[' => {
                    self.depth += 1;
                    self.has_value = true;
                }
                b'}' | b']' => self.depth = self.depth.saturating_sub(1),
                _ => self.has_value = true,
            }
        }
    }

    /// Returns whether all strings and brackets are closed.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.has_value && self.depth == 0 && !self.is_in_string
    }
}
