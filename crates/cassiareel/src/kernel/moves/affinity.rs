//! Which requests of a share go to the new version.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{MoveId, CANARY_SHARE};

/// Callers in a scope from which the small first share is made of whole callers.
///
/// With fewer, one caller can be more than the share allows, so that the share is made of requests.
const MANY_CALLERS: usize = 100;

/// Who asks, for the choice of a version.
#[derive(Clone, Copy, Debug)]
pub struct Caller<'a> {
    /// Client account and caller.
    pub name: &'a str,
    /// The request's name.
    pub request: &'a str,
    /// Callers in the cell.
    pub callers: usize,
}

/// Reports whether a request goes to the new version at a share between 0 and 1.
///
/// The answer is a hash, so that every node gives the same one. Above the first share it depends on
/// the caller alone and never goes back while the share rises: a caller sees the version change
/// once. Within the first share it does so too where callers are many; where they are few, a caller
/// sees the new version for a few of its requests.
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
    let whole = unit(caller.name, id);
    if share > CANARY_SHARE || caller.callers >= MANY_CALLERS {
        return whole < share;
    }
    unit(
        caller.request,
        id ^ xxh3_64_with_seed(caller.name.as_bytes(), id),
    ) < share
}

/// A number from 0 to 1 that is spread evenly over names.
fn unit(name: &str, seed: u64) -> f64 {
    (xxh3_64_with_seed(name.as_bytes(), seed) >> 11) as f64 / (1u64 << 53) as f64
}
