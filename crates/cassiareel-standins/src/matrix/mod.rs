/*!
The fault matrix: every fault at every step of each protocol, singly and in pairs.

A [`Cell`] is a step of a protocol and the faults that are injected there. Each cell runs real nodes
against stand-ins over loopback: a [`Breakpoint`] stops the request's task at the step, the faults
are injected, the task continues, and what the caller received is checked against the invariants.
The tests and the command that writes docs/FAULTS.md use the same code.
*/

pub mod breakpoint;
mod cell;
mod fault;
mod generation;
mod order;
mod page;

pub use breakpoint::Breakpoint;
pub use cell::{run_all, Cell, Result, Verdict};
pub use fault::Fault;
pub use generation::Generations;
pub use order::Orders;
pub use page::format_section;

use cassiareel::hooks::Step;

/// A protocol whose steps and faults make a table of the matrix.
pub trait Protocol: Sync {
    /// The name, for titles.
    fn name(&self) -> &'static str;

    /// The invariants that each cell is checked against.
    fn invariants(&self) -> &'static [&'static str];

    /// The steps, in the order in which a request reaches them.
    fn steps(&self) -> &'static [Step];

    /// The faults that may occur at any step.
    fn faults(&self) -> &'static [Fault];

    /// Returns the reason why a cell's faults can't occur together, if they can't.
    fn skip_reason(&self, cell: &Cell) -> Option<&'static str>;

    /// Runs a cell.
    fn run(&self, cell: &Cell) -> Result;
}
