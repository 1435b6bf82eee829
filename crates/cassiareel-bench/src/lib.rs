/*!
Measurements of cassiareel.

The binaries measure; the library holds what they share: a least-squares [`fit`], whose slopes the
capacity page multiplies by the sizes, readings of this [`process`], and [`moves`]
in virtual time.
*/

pub mod fit;
pub mod moves;
pub mod process;
