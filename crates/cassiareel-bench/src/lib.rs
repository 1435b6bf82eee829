/*!
Measurements of cassiareel.

The binaries run the measurements; the library holds the code that they share:

- [`fit`]: least-squares lines, whose slopes docs/CAPACITY.md multiplies by the fleet's sizes;
- [`process`]: processor time and resident memory of this process;
- [`load`]: the cost of a node on the path of a request, measured on loopback;
- [`model`] and [`compare`]: routing policies on simulated engines in virtual time;
- [`fleet`]: membership of a fleet of nodes in virtual time;
- [`moves`]: moves between versions in virtual time;
- [`relay`]: the relay's decisions in virtual time, under the load patterns that they address;
- [`plain`]: plain services of few servers and many nodes, in virtual time;
- [`plot`]: charts of the results.
*/

pub mod compare;
pub mod fit;
pub mod fleet;
pub mod load;
pub mod model;
pub mod moves;
pub mod plain;
pub mod plot;
pub mod process;
pub mod relay;
