use std::{
    collections::HashMap,
    hash::Hash,
    sync::{Mutex, PoisonError},
};

use compact_str::CompactString;

/// Maximum number of subjects whose last text is remembered.
const MAX_SUBJECTS: usize = 64;

/// Last text about each subject, so that what is repeated several times a second is logged only when it changes.
#[derive(Debug)]
pub struct ChangeLog<S> {
    last: Mutex<HashMap<S, CompactString>>,
}

impl<S> Default for ChangeLog<S> {
    fn default() -> Self {
        Self {
            last: Mutex::default(),
        }
    }
}

impl<S: Eq + Hash> ChangeLog<S> {
    /// Returns whether a text differs from the last one about the subject, and remembers it.
    pub fn is_new(&self, subject: S, text: &CompactString) -> bool {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        if last.get(&subject) == Some(text) {
            return false;
        }
        if last.len() >= MAX_SUBJECTS {
            last.clear();
        }
        last.insert(subject, text.clone());
        true
    }
}
