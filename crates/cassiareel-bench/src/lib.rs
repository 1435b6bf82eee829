/*!
Measurements of cassiareel.

The binaries measure; the library holds what they share: a least-squares [`fit`], whose slopes the
capacity page multiplies by the sizes, readings of this [`process`], a [`model`] of engines in
virtual time, and the cost of a node on the path of a request ([`load`]).
*/

pub mod compare;
pub mod fit;
pub mod load;
pub mod model;
pub mod plot;
pub mod process;
