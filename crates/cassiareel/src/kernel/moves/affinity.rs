//! The choice of the requests that go to the new version at a given share.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{MoveId, CANARY_SHARE};

/// The number of callers in a cell from which the small first share selects callers.
///
/// With fewer callers a single one may exceed the share, so requests are selected instead.
const MIN_CALLERS_FOR_AFFINITY: usize = 100;

/// The caller and the request for which a version is chosen.
#[derive(Clone, Copy, Debug)]
pub struct Caller<'a> {
    /// The client account and the caller within it.
    pub name: &'a str,
    /// The request's name.
    pub request: &'a str,
    /// The number of callers in the cell.
    pub callers: usize,
}

/// Reports whether a request goes to the new version at a share between 0 and 1.
///
/// The choice is made by a hash, so that every node makes the same one. Above the first share it
/// depends on the caller alone and is never reversed while the share increases: a caller's version
/// changes once. The same holds within the first share if there are many callers; if there are
/// few, a caller gets the new version for a few of its requests.
///
/// # Examples
///
/// ```
/// use cassiareel::kernel::moves::{uses_new_version, Caller};
///
/// let caller = Caller { name: "zrinski/shop", request: "r1", callers: 3 };
/// assert!(!uses_new_version(7, caller, 0.0));
/// assert!(uses_new_version(7, caller, 1.0));
/// ```
pub fn uses_new_version(id: MoveId, caller: Caller<'_>, share: f64) -> bool {
    let caller_hash = unit_hash(caller.name, id);
    if share > CANARY_SHARE || caller.callers >= MIN_CALLERS_FOR_AFFINITY {
        return caller_hash < share;
    }
    unit_hash(
        caller.request,
        id ^ xxh3_64_with_seed(caller.name.as_bytes(), id),
    ) < share
}

/// Hashes a name to a number in the range 0 to 1, evenly distributed over names.
fn unit_hash(name: &str, seed: u64) -> f64 {
    (xxh3_64_with_seed(name.as_bytes(), seed) >> 11) as f64 / (1u64 << 53) as f64
}
