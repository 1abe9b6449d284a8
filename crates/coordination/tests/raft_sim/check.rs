//! Linearizability check: searches a sequential order that explains every result of a history.

use std::collections::HashSet;
use std::hash::Hash;

/// One operation of a history; one that never returned may have taken effect or not.
#[derive(Clone, Debug)]
pub struct Operation<I, O> {
    pub called: u64,
    pub input: I,
    pub returned: Option<(u64, O)>,
}

/// Returns whether an order of `operations` exists that `step` accepts from `start` on.
///
/// An operation may come before another only if it was called before the other returned. `step`
/// returns the states that may follow an operation, none if the output is wrong.
pub fn is_linearizable<S: Clone + Eq + Hash, I, O>(
    start: S,
    operations: &[Operation<I, O>],
    step: impl Fn(&S, &I, Option<&O>) -> Vec<S>,
) -> bool {
    assert!(
        operations.len() <= 128,
        "history has more than 128 operations"
    );
    let mut seen = HashSet::new();
    let mut open = vec![(0_u128, start)];
    while let Some((done, state)) = open.pop() {
        let left = |index: &usize| done & (1 << index) == 0;
        let rest = (0..operations.len()).filter(left);
        let returns = rest.clone().filter_map(|i| operations[i].returned.as_ref());
        let Some(first) = returns.map(|(at, _)| *at).min() else {
            return true;
        };
        for index in rest.filter(|i| operations[*i].called < first) {
            let operation = &operations[index];
            let output = operation.returned.as_ref().map(|(_, output)| output);
            for next in step(&state, &operation.input, output) {
                let reached = (done | (1 << index), next);
                if seen.insert(reached.clone()) {
                    open.push(reached);
                }
            }
        }
    }
    false
}
