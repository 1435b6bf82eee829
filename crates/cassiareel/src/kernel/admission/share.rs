//! A node's part of a limit that applies to the whole fleet.

/// Fraction of a limit that is divided evenly regardless of demand, so that a node without recent
/// demand can serve its first requests.
const EVEN_FRACTION: f64 = 0.2;

/// Returns the fraction of a fleet-wide limit that a node enforces.
///
/// `members` is the number of nodes in the platform's list of VMs, reachable or not. `own` and
/// `others` are the demand at this node and at the other nodes, according to their last reports.
/// The fractions of nodes that agree on these values add up to at most 1.
///
/// `others` is `None` if there are no current reports: during a network partition, or right after
/// the node has started. The fraction is then `1 / members`. Once the last reports have expired, a
/// partition of any length therefore admits no more than the limit.
///
/// # Examples
///
/// ```
/// use cassiareel::kernel::admission::fleet_share;
///
/// // One of six nodes receives all the demand.
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
    EVEN_FRACTION * even + (1.0 - EVEN_FRACTION) * own / total
}
