/*!
Memory for the bodies that a process holds, bounded over all of them.

The peers of a connection decide how long a body is and in which pieces it arrives, so a limit for
each body does not bound what a process holds. A body may therefore grow only while it is no larger
than a multiple of what it leaves for the others. Large bodies are refused first, and small ones find
room beside any number of endless ones.
*/

mod budget;
mod buffer;
mod charge;

pub use budget::BodyBudget;
pub use buffer::{BufferError, ChargedBuffer};
pub use charge::BodyCharge;
