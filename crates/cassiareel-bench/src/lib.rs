/*!
Measurements of cassiareel.

The binaries measure; the library holds what they share: a least-squares [`fit`], whose slopes the
capacity page multiplies by the sizes, and readings of this [`process`].
*/

pub mod fit;
pub mod process;
