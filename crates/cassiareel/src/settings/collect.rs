/*!
Collection of parts that no revision needs.

A part may be deleted only where nobody is about to name it in a head. An author writes each part
that the head he builds on does not need, with the time of writing, and has his head accepted soon
after. So a part that the head does not need and that is older than [`PART_GRACE_PERIOD`] is nobody's: an author
who takes it up again changes its version, and the deletion, which is conditional on the version,
fails.
*/

use std::time::Duration;

use super::{
    store::{read, HEAD_KIND, HEAD_NAME, PART_KIND},
    Head, LoadError,
};
use crate::store::{Objects, StoreError};

/// Age from which a part that nothing needs is deleted.
///
/// It bounds how far the clocks of two operators may be apart, together with the time that an edit
/// may take.
pub const PART_GRACE_PERIOD: Duration = Duration::from_secs(3600);

/// Deletes old parts that no revision needs, and tells how many.
///
/// `now` is in milliseconds since 1970.
///
/// # Errors
///
/// Fails where the store does; what was deleted until then was not needed.
pub async fn collect_unreferenced_parts(
    objects: &dyn Objects,
    now: u64,
) -> Result<usize, LoadError> {
    // The parts are listed before the head is read, so that a part named in between is seen.
    let parts = objects.list(PART_KIND).await?.objects;
    let Some(head) = read(objects, HEAD_KIND, HEAD_NAME).await? else {
        return Ok(0);
    };
    let needed = Head::decode(&head)?.needed();
    let mut deleted = 0;
    for part in parts {
        let is_needed = part
            .name
            .parse()
            .is_ok_and(|digest| needed.contains(&digest));
        let time = part.spec["time"].as_u64().unwrap_or(u64::MAX);
        let is_old = u128::from(now.saturating_sub(time)) > PART_GRACE_PERIOD.as_millis();
        if is_needed || !is_old {
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
