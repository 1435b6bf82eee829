//! Settings in force, followed from the object API.

use std::{sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use slog::{info, warn, Logger};
use smol::Timer;

use crate::{
    platform::{Object, Objects},
    settings::{Snapshot, Tree},
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
        match objects.watch("settings", since, WATCH).await {
            Ok(news) => {
                for object in news {
                    since = since.max(object.version);
                    adopt(&object, &settings, &log);
                }
            }
            Err(err) => {
                warn!(log, "settings not followed"; "cause" => %err);
                Timer::after(RETRY).await;
            }
        }
    }
}

/// Puts a revision in force if it is newer and whole.
fn adopt(object: &Object, settings: &ArcSwap<Snapshot>, log: &Logger) {
    let tree = object.spec["tree"].as_str().map(toml::from_str::<Tree>);
    let revision = object.spec["revision"].as_u64().unwrap_or(0);
    match tree {
        // INVARIANT: the revision in force only rises.
        Some(Ok(tree)) if revision > settings.load().revision => {
            settings.store(Arc::new(Snapshot::new(revision, tree)));
            info!(log, "settings in force"; "revision" => revision);
        }
        Some(Ok(_)) => {}
        Some(Err(err)) => warn!(log, "settings refused"; "revision" => revision, "cause" => %err),
        None => warn!(log, "settings refused"; "revision" => revision, "cause" => "no tree"),
    }
}
