//! Cells of the matrix, and runs over many of them.

use std::{sync::Mutex, thread};

use cassiareel::hooks::Step;

use super::{Fault, Protocol};

/// A step and the faults that meet there.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Cell {
    /// The step at which the driver is held.
    pub step: Step,
    /// The faults, in the order of their coming.
    pub faults: Vec<Fault>,
}

impl Cell {
    /// Reports whether more than one of its faults is of these kinds.
    pub(super) fn has_several(&self, kinds: &[Fault]) -> bool {
        let found = self.faults.iter().filter(|fault| kinds.contains(fault));
        found.count() > 1
    }
}

/// What a cell's run came to, where no invariant was broken.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The caller has its whole answer.
    Whole,
    /// The caller was told that nothing ran.
    NotRun,
    /// The caller was told how far its answer is whole.
    Partial,
    /// The caller was told that the outcome is unknown, and operators see it.
    Unknown,
    /// The cell can't be, for a reason.
    Skipped(&'static str),
}

/// A cell's verdict, or the invariant that was broken and how.
pub type Result = std::result::Result<Verdict, String>;

/// Runs every cell of a protocol with one fault, and with two where `pairs`, on `threads` threads.
///
/// The results come in the order of the cells, whatever the order of the runs.
pub fn run_all<P>(protocol: &P, pairs: bool, threads: usize) -> Vec<(Cell, Result)>
where
    P: Protocol,
{
    let cells = cells(protocol, pairs);
    let next = Mutex::new(0..cells.len());
    let results = Mutex::new(vec![None; cells.len()]);
    thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| loop {
                let Some(i) = next.lock().expect("no runner panics").next() else {
                    return;
                };
                let result = match protocol.skip(&cells[i]) {
                    Some(why) => Ok(Verdict::Skipped(why)),
                    None => protocol.run(&cells[i]),
                };
                results.lock().expect("no runner panics")[i] = Some(result);
            });
        }
    });
    let results = results.into_inner().expect("no runner panics");
    cells
        .into_iter()
        .zip(results.into_iter().flatten())
        .collect()
}

/// The cells of a protocol.
fn cells<P>(protocol: &P, pairs: bool) -> Vec<Cell>
where
    P: Protocol,
{
    let faults = protocol.faults();
    let singles = faults.iter().map(|&fault| vec![fault]);
    let doubles = faults.iter().enumerate().flat_map(|(i, &first)| {
        let later = &faults[i + 1..];
        later.iter().map(move |&second| vec![first, second])
    });
    let sets: Vec<Vec<Fault>> = match pairs {
        true => singles.chain(doubles).collect(),
        false => singles.collect(),
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
