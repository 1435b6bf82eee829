//! Settings in force, followed from the object API.

use std::{sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use slog::{info, warn, Logger};
use smol::Timer;

use crate::{
    platform::{Object, Objects, StoreVersion},
    settings::{fetch, LoadError, Snapshot, HEAD_KIND, HEAD_NAME},
};

/// How long a watch waits for news.
const WATCH: Duration = Duration::from_secs(30);

/// Time before the next try after a failure.
const RETRY: Duration = Duration::from_millis(500);

/// Puts each newer revision of the settings in force.
pub(super) async fn follow(
    objects: Arc<dyn Objects>,
    settings: Arc<ArcSwap<Snapshot>>,
    log: Logger,
) {
    let mut since = 0;
    loop {
        let seen = match objects.watch(HEAD_KIND, since, WATCH).await {
            Ok(news) => adopt(&*objects, &news, &settings, &log).await,
            Err(err) => Err(err.into()),
        };
        match seen {
            // A head whose revision could not be read is asked for again.
            Ok(version) => since = since.max(version),
            Err(err) => {
                warn!(log, "settings not followed"; "cause" => %err);
                Timer::after(RETRY).await;
            }
        }
    }
}

/// Puts a revision in force if it is newer and whole, and returns the head's version.
async fn adopt(
    objects: &dyn Objects,
    news: &[Object],
    settings: &ArcSwap<Snapshot>,
    log: &Logger,
) -> Result<StoreVersion, LoadError> {
    let Some(head) = news.iter().find(|object| object.name == HEAD_NAME) else {
        return Ok(0);
    };
    let loaded = fetch(objects, head).await?;
    let revision = loaded.revision();
    // INVARIANT: the revision in force only rises.
    if revision > settings.load().revision {
        settings.store(Arc::new(Snapshot::new(revision, loaded.tree)));
        info!(log, "settings in force"; "revision" => revision);
    }
    Ok(head.version)
}
