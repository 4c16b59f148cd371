//! Exhaustive search of small specifications.

use std::{fmt::Debug, hash::Hash, time::Instant};

use pathfinding::prelude::bfs;

/// Maximum number of states in one search, which bounds its memory and time.
const MAX_STATES: usize = 1_000_000;

/// A specification with finitely many states.
pub trait Specification {
    type State: Clone + Eq + Hash;
    type Action: Debug;

    fn initial(&self) -> Self::State;
    /// Returns the possible actions in a state, each with the state that it leads to.
    fn next(&self, state: &Self::State) -> Vec<(Self::Action, Self::State)>;
    /// Returns the name of the property that the state violates, if any.
    fn violation(&self, state: &Self::State) -> Option<&'static str>;
}

/// Result of a search: the number of expanded states and the shortest trace to a violation.
pub struct Search {
    pub states: usize,
    pub trace: Option<(Vec<String>, &'static str)>,
}

/// Searches all reachable states in breadth-first order.
pub fn search<S: Specification>(name: &str, specification: &S) -> Search {
    let started = Instant::now();
    let mut states = 0;
    let path = bfs(
        &specification.initial(),
        |state| {
            states += 1;
            assert!(
                states <= MAX_STATES,
                "{name}: more than {MAX_STATES} states"
            );
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

/// Asserts that no state violates a property, and that the complete search covered at least
/// `min_states` states.
pub fn assert_holds<S: Specification>(name: &str, specification: &S, min_states: usize) {
    let result = search(name, specification);
    assert_eq!(result.trace, None);
    assert!(
        result.states >= min_states,
        "only {} states were searched",
        result.states
    );
}

/// Asserts that the search finds a violation of the given property.
pub fn assert_violates<S: Specification>(name: &str, specification: &S, property: &str) {
    let (_, violation) = search(name, specification)
        .trace
        .expect("no violation was found");
    assert_eq!(violation, property);
}
