//! Exhaustive search of small specifications.

use std::{fmt::Debug, hash::Hash, time::Instant};

use pathfinding::prelude::bfs;

/// Bound on memory and time of one search.
const LIMIT: usize = 1_000_000;

/// A specification with finitely many states.
pub trait Specification {
    type State: Clone + Eq + Hash;
    type Action: Debug;

    fn initial(&self) -> Self::State;
    /// Returns what can happen next.
    fn next(&self, state: &Self::State) -> Vec<(Self::Action, Self::State)>;
    /// Names the property that the state violates.
    fn violation(&self, state: &Self::State) -> Option<&'static str>;
}

/// Result of a search: the states that were expanded and the shortest trace to a violation.
pub struct Search {
    pub states: usize,
    pub trace: Option<(Vec<String>, &'static str)>,
}

/// Searches all states in the order of their distance from the initial one.
pub fn search<S: Specification>(name: &str, specification: &S) -> Search {
    let started = Instant::now();
    let mut states = 0;
    let path = bfs(
        &specification.initial(),
        |state| {
            states += 1;
            assert!(states <= LIMIT, "{name}: more than {LIMIT} states");
            let next = specification.next(state);
            next.into_iter().map(|(_, state)| state).collect::<Vec<_>>()
        },
        |state| specification.violation(state).is_some(),
    );
    let trace = path.map(|path| {
        let steps = path.windows(2).map(|pair| {
            let next = specification.next(&pair[0]);
            let step = next.into_iter().find(|(_, state)| *state == pair[1]);
            format!("{:?}", step.expect("the path follows the specification").0)
        });
        let violation = path.last().and_then(|last| specification.violation(last));
        (steps.collect::<Vec<_>>(), violation.unwrap_or_default())
    });
    println!("{name}: {states} states in {:?}", started.elapsed());
    if let Some((steps, violation)) = &trace {
        println!(
            "  violates '{violation}' after {} steps: {steps:?}",
            steps.len()
        );
    }
    Search { states, trace }
}

/// Asserts that the whole space was searched, that it is at least as large as recorded, and that no
/// state violates a property.
pub fn assert_holds<S: Specification>(name: &str, specification: &S, least_states: usize) {
    let found = search(name, specification);
    assert_eq!(found.trace, None);
    assert!(
        found.states >= least_states,
        "the space has shrunk to {}",
        found.states
    );
}

/// Asserts that a seeded fault leads to a violation of this property.
pub fn assert_caught<S: Specification>(name: &str, specification: &S, property: &str) {
    let (_, violation) = search(name, specification).trace.expect("a trace");
    assert_eq!(violation, property);
}
