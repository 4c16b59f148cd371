//! A production state machine inside a specification.
#![allow(dead_code)] // Each test program uses its own part.

use std::{cell::RefCell, collections::HashMap, hash::Hash};

/// Numbers the distinct states of a state machine and remembers what each step led to, so that the
/// specification's own states stay small.
pub struct Machine<T, S, O> {
    apply: fn(&mut T, &S) -> O,
    /// Encodes what distinguishes two states.
    encode: fn(&T) -> Vec<u8>,
    states: RefCell<Vec<T>>,
    numbers: RefCell<HashMap<Vec<u8>, u32>>,
    known: RefCell<HashMap<(u32, S), (u32, O)>>,
}

impl<T: Clone, S: Clone + Eq + Hash, O: Clone> Machine<T, S, O> {
    pub fn new(apply: fn(&mut T, &S) -> O, encode: fn(&T) -> Vec<u8>) -> Self {
        Self {
            apply,
            encode,
            states: RefCell::default(),
            numbers: RefCell::default(),
            known: RefCell::default(),
        }
    }

    pub fn number(&self, state: &T) -> u32 {
        let mut states = self.states.borrow_mut();
        let next = u32::try_from(states.len()).expect("few states");
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
        if let Some(known) = self.known.borrow().get(&key) {
            return known.clone();
        }
        let mut state = self.states.borrow()[number as usize].clone();
        let outcome = (self.apply)(&mut state, step);
        let result = (self.number(&state), outcome);
        self.known.borrow_mut().insert(key, result.clone());
        result
    }
}
