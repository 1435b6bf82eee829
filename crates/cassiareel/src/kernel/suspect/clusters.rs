use std::time::Duration;

use super::Loss;

/// Splits losses into clusters that may have one cause: each spans less than `span`. A request that
/// is sent again at once after each crash must not make a single cluster without an end.
pub(super) fn clusters(losses: &[Loss], span: Duration) -> impl Iterator<Item = &[Loss]> {
    let mut rest = losses;
    std::iter::from_fn(move || {
        let first = rest.first()?;
        let count = rest.partition_point(|loss| loss.at.saturating_sub(first.at) < span);
        let (cluster, after) = rest.split_at(count);
        rest = after;
        Some(cluster)
    })
}
