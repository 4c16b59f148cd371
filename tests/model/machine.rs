//! Adapter that runs a production state machine inside a specification.
#![allow(dead_code)] // Each test binary uses only some of the items.

use std::{cell::RefCell, collections::HashMap, hash::Hash};

/// Numbers the distinct states of a state machine and caches the result of each step, so that the
/// states of the specification contain only numbers.
pub struct Machine<T, S, O> {
    apply: fn(&mut T, &S) -> O,
    /// Encodes a state; states with equal encodings count as one.
    encode: fn(&T) -> Vec<u8>,
    states: RefCell<Vec<T>>,
    numbers: RefCell<HashMap<Vec<u8>, u32>>,
    cache: RefCell<HashMap<(u32, S), (u32, O)>>,
}

impl<T: Clone, S: Clone + Eq + Hash, O: Clone> Machine<T, S, O> {
    pub fn new(apply: fn(&mut T, &S) -> O, encode: fn(&T) -> Vec<u8>) -> Self {
        Self {
            apply,
            encode,
            states: RefCell::default(),
            numbers: RefCell::default(),
            cache: RefCell::default(),
        }
    }

    pub fn number(&self, state: &T) -> u32 {
        let mut states = self.states.borrow_mut();
        let next = u32::try_from(states.len()).expect("too many states");
        let mut numbers = self.numbers.borrow_mut();
        *numbers.entry((self.encode)(state)).or_insert_with(|| {
            states.push(state.clone());
            next
        })
    }

    pub fn query<R>(&self, number: u32, query: impl Fn(&T) -> R) -> R {
        query(&self.states.borrow()[number as usize])
    }

    pub fn step(&self, number: u32, step: &S) -> (u32, O) {
        let key = (number, step.clone());
        if let Some(result) = self.cache.borrow().get(&key) {
            return result.clone();
        }
        let mut state = self.states.borrow()[number as usize].clone();
        let outcome = (self.apply)(&mut state, step);
        let result = (self.number(&state), outcome);
        self.cache.borrow_mut().insert(key, result.clone());
        result
    }
}
