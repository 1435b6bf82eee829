//! A node's part of a limit that holds for the fleet.

/// Part of a limit that is divided evenly, whatever the demand: it serves the first requests that
/// come to a node with no demand yet.
const EVEN: f64 = 0.2;

/// The part of a fleet-wide limit that a node enforces.
///
/// `members` counts the nodes of the platform's list of VMs, reachable or not. `own` and `others`
/// are the demand at this node and at the others, by the last word from each. The parts of nodes
/// that agree on these add up to at most 1.
///
/// Without a word from the others (`others` is none: a partition, or a node that has just started)
/// the part is even, 1 in `members`. So a partition lets no more pass than the limit, however long
/// it lasts, once the last words have expired.
///
/// # Examples
///
/// ```
/// use cassiareel::kernel::admission::fleet_share;
///
/// // All the demand comes to one of six nodes.
/// assert!(fleet_share(6, 100.0, Some(0.0)) > 0.8);
/// assert!((fleet_share(6, 100.0, None) - 1.0 / 6.0).abs() < 1e-9);
/// ```
pub fn fleet_share(members: u32, own: f64, others: Option<f64>) -> f64 {
    let even = 1.0 / f64::from(members.max(1));
    let Some(others) = others else {
        return even;
    };
    let total = own + others;
    if total <= 0.0 {
        return even;
    }
    EVEN * even + (1.0 - EVEN) * own / total
}
