//! Cells of the matrix, and the function that runs them all.

use std::{sync::Mutex, thread};

use cassiareel::hooks::Step;

use super::{Fault, Protocol};

/// A step and the faults that are injected there.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Cell {
    /// The step at which the request's task is stopped.
    pub step: Step,
    /// The faults, in the order in which they are injected.
    pub faults: Vec<Fault>,
}

impl Cell {
    /// Reports whether more than one of the cell's faults is in `kinds`.
    pub(super) fn has_several(&self, kinds: &[Fault]) -> bool {
        let found = self.faults.iter().filter(|fault| kinds.contains(fault));
        found.count() > 1
    }
}

/// The outcome of a cell in which no invariant was broken.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The caller received the complete answer.
    Complete,
    /// The caller received an error that says that nothing ran.
    NotRun,
    /// The caller received a part of the answer, and an error that says so.
    Partial,
    /// The caller was told that the outcome is unknown, and operators see the order as unknown.
    Unknown,
    /// The cell was not run since its faults can't occur together, for this reason.
    Skipped(&'static str),
}

/// A cell's verdict, or a description of the broken invariant.
pub type Result = std::result::Result<Verdict, String>;

/// Runs every cell of a protocol that has one fault, and if `pairs` is set also those with two, on
/// `threads` threads.
///
/// The results are in the order of the cells, whatever the order in which the runs end.
pub fn run_all<P>(protocol: &P, pairs: bool, threads: usize) -> Vec<(Cell, Result)>
where
    P: Protocol,
{
    let cells = list_cells(protocol, pairs);
    let next = Mutex::new(0..cells.len());
    let results = Mutex::new(vec![None; cells.len()]);
    thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| loop {
                let Some(i) = next
                    .lock()
                    .expect("no thread panics while it holds the lock")
                    .next()
                else {
                    return;
                };
                let result = match protocol.skip_reason(&cells[i]) {
                    Some(reason) => Ok(Verdict::Skipped(reason)),
                    None => protocol.run(&cells[i]),
                };
                results
                    .lock()
                    .expect("no thread panics while it holds the lock")[i] = Some(result);
            });
        }
    });
    let results = results
        .into_inner()
        .expect("no thread panics while it holds the lock");
    cells
        .into_iter()
        .zip(results.into_iter().flatten())
        .collect()
}

/// Returns the cells of a protocol, ordered by step.
fn list_cells<P>(protocol: &P, pairs: bool) -> Vec<Cell>
where
    P: Protocol,
{
    let faults = protocol.faults();
    let single_faults = faults.iter().map(|&fault| vec![fault]);
    let pairs_of_faults = faults.iter().enumerate().flat_map(|(i, &first)| {
        let later = &faults[i + 1..];
        later.iter().map(move |&second| vec![first, second])
    });
    let sets: Vec<Vec<Fault>> = match pairs {
        true => single_faults.chain(pairs_of_faults).collect(),
        false => single_faults.collect(),
    };
    protocol
        .steps()
        .iter()
        .flat_map(|&step| {
            sets.iter().map(move |faults| Cell {
                step,
                faults: faults.clone(),
            })
        })
        .collect()
}
