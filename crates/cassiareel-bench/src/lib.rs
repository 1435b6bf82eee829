/*!
Measurements of cassiareel.

The binaries measure; the library holds what they share: a least-squares [`fit`], whose slopes the
capacity page multiplies by the sizes, readings of this [`process`], a [`model`] of engines in
virtual time, the cost of a node on the path of a request ([`load`]), a [`fleet`] and its [`moves`]
in virtual time, and the [`relay`]'s decisions under the loads that they answer.
*/

pub mod compare;
pub mod fit;
pub mod fleet;
pub mod load;
pub mod model;
pub mod moves;
pub mod plot;
pub mod process;
pub mod relay;
