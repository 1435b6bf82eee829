/*!
Garbage collection of parts that no revision references.

A part must not be deleted while a writer is about to reference it in a new head. A writer writes
every part that the current head does not reference, stamped with the time of writing, and writes
the new head soon after. So a part that the head does not reference and that is older than
[`PART_GRACE_PERIOD`] is unused. A writer that uses such a part again writes it again, which changes
its version in the store, so the deletion, which is conditional on the version, fails.
*/

use std::time::Duration;

use super::{
    store::{read_object, HEAD_KIND, HEAD_NAME, PART_KIND},
    Head, LoadError,
};
use crate::store::{Objects, StoreError};

/// The age above which an unreferenced part is deleted.
///
/// The clock skew between two operators and the time that an edit takes must together stay below
/// it.
pub const PART_GRACE_PERIOD: Duration = Duration::from_secs(3600);

/// Deletes expired parts that no revision references, and returns how many.
///
/// `now` is in milliseconds since the Unix epoch.
///
/// # Errors
///
/// Fails if the store or the head can't be read, or if a deletion fails. Parts that were deleted
/// before the failure were unreferenced.
pub async fn collect_unreferenced_parts(
    objects: &dyn Objects,
    now: u64,
) -> Result<usize, LoadError> {
    // Parts are listed before the head is read: a part that a new head references in between is
    // then seen as referenced.
    let parts = objects.list(PART_KIND).await?.objects;
    let Some(head) = read_object(objects, HEAD_KIND, HEAD_NAME).await? else {
        return Ok(0);
    };
    let referenced = Head::decode(&head)?.referenced_parts();
    let mut deleted = 0;
    for part in parts {
        let is_referenced = part
            .name
            .parse()
            .is_ok_and(|digest| referenced.contains(&digest));
        let time = part.spec["time"].as_u64().unwrap_or(u64::MAX);
        let is_expired = u128::from(now.saturating_sub(time)) > PART_GRACE_PERIOD.as_millis();
        if is_referenced || !is_expired {
            continue;
        }
        match objects.delete(&part).await {
            Ok(()) => deleted += 1,
            Err(StoreError::Conflict { .. }) => {}
            Err(err) => return Err(err.into()),
        }
    }
    Ok(deleted)
}
