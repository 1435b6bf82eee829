/*!
The fault matrix: every fault at every step of each protocol, singly and in pairs.

A [`Cell`] is a step of a protocol and the faults that meet there. Each runs real nodes against
stand-ins over loopback: a [`Gate`] holds the driver exactly at the step, the faults are brought
about, the driver goes on, and the caller's view is checked against the invariants. The same code
serves the tests and the command that writes docs/FAULTS.md.
*/

mod cell;
mod fault;
pub mod gate;
mod generation;
mod order;
mod page;

pub use cell::{run_all, Cell, Result, Verdict};
pub use fault::Fault;
pub use gate::Gate;
pub use generation::Generations;
pub use order::Orders;
pub use page::page;

use cassiareel::hooks::Step;

/// A protocol whose steps and faults make a table of the matrix.
pub trait Protocol: Sync {
    /// The name, for titles.
    fn name(&self) -> &'static str;

    /// The invariants that each cell is checked against.
    fn invariants(&self) -> &'static [&'static str];

    /// The steps, in their order.
    fn steps(&self) -> &'static [Step];

    /// The faults that may come at any step.
    fn faults(&self) -> &'static [Fault];

    /// Tells why a cell can't be, if it can't.
    fn skip(&self, cell: &Cell) -> Option<&'static str>;

    /// Runs a cell.
    fn run(&self, cell: &Cell) -> Result;
}
