//! Settings and moves, followed from the object API.
//!
//! A waiting watch counts as a call of the store, so that two nodes of a data centre watch and the
//! others hear of changes from peers. Those look at the store now and then all the same.

use std::{sync::Arc, time::Duration};

use slog::{info, warn, Logger};
use smol::Timer;

use crate::{
    control::{moves, wall_seconds},
    kernel::{revision::Source, ServiceId, Time},
    peer::{Held, Peers, Shared},
    settings::{load_from_head, LoadError, HEAD_NAME},
    store::{Object, Objects, StoreError, StoreVersion},
};

/// How long a watch waits for news.
const WATCH: Duration = Duration::from_secs(30);

/// The first wait after a failure; it doubles up to [`LONGEST_RETRY`].
const RETRY: Duration = Duration::from_millis(500);

/// The longest wait after failures.
const LONGEST_RETRY: Duration = Duration::from_secs(20);

/// How often a node that does not watch looks at the store, give or take a half.
const LOOK: Duration = Duration::from_secs(60);

/// Watching nodes of a data centre.
const WATCHERS: usize = 2;

/// How often a node asks itself whether it is a watcher.
const DUTY: Duration = Duration::from_secs(1);

/// What a follower gives news to.
#[derive(Clone)]
pub(super) struct Follower {
    pub(super) objects: Arc<dyn Objects>,
    pub(super) settings: Arc<Held>,
    pub(super) shared: Arc<Shared>,
    pub(super) peers: Option<Arc<Peers>>,
    pub(super) log: Logger,
}

impl Follower {
    /// Follows a kind until dropped.
    pub(super) async fn follow(self, kind: &'static str) {
        let mut since = None;
        let mut failures = 0;
        loop {
            let seen = match self.news(kind, since).await {
                Ok((news, version)) => {
                    let now = self.shared.now();
                    self.shared
                        .change(|view| view.freshness.record_store_answer(now));
                    self.take(kind, &news).await.map(|()| version)
                }
                Err(err) => Err(err.into()),
            };
            match seen {
                // What could not be read whole is asked for again.
                Ok(version) => {
                    failures = 0;
                    since = Some(version);
                }
                Err(err) => {
                    warn!(self.log, "not followed"; "kind" => kind, "cause" => %err);
                    // After a lost watch only a listing tells what changed.
                    since = since.filter(|_| !is_expired(&err));
                    Timer::after(backoff(failures)).await;
                    failures += 1;
                    continue;
                }
            }
            self.wait_for_duty(kind, &mut since).await;
        }
    }

    /// Waits while this node has no duty to watch; after that the next call is a listing.
    async fn wait_for_duty(&self, kind: &str, since: &mut Option<StoreVersion>) {
        let Some(peers) = &self.peers else {
            return;
        };
        let mut left = LOOK.mul_f64(0.5 + fastrand::f64());
        while !peers.has_duty(kind, WATCHERS) && left > Duration::ZERO {
            *since = None;
            Timer::after(DUTY).await;
            left = left.saturating_sub(DUTY);
        }
    }

    /// Lists at first, and watches from there.
    async fn news(
        &self,
        kind: &str,
        since: Option<StoreVersion>,
    ) -> Result<(Vec<Object>, StoreVersion), StoreError> {
        match since {
            None => {
                let listing = self.objects.list(kind).await?;
                Ok((listing.objects, listing.version))
            }
            Some(since) => {
                let news = self.objects.watch(kind, since, WATCH).await?;
                let newest = news.iter().map(|object| object.version).max();
                Ok((news, newest.unwrap_or(since).max(since)))
            }
        }
    }

    /// Takes news, and tells peers of what was new.
    async fn take(&self, kind: &str, news: &[Object]) -> Result<(), LoadError> {
        let mut changed = false;
        for object in news.iter().filter(|object| !object.spec.is_null()) {
            changed |= match kind {
                moves::KIND => self.adopt_moves(object),
                _ if object.name == HEAD_NAME => self.adopt_settings(object).await?,
                _ => false,
            };
        }
        if let Some(peers) = self.peers.as_ref().filter(|_| changed) {
            peers.tell();
        }
        Ok(())
    }

    fn adopt_moves(&self, object: &Object) -> bool {
        let stored: moves::Stored = match serde_json::from_value(object.spec.clone()) {
            Ok(stored) => stored,
            Err(err) => {
                warn!(self.log, "moves refused"; "service" => &object.name, "cause" => %err);
                return false;
            }
        };
        let service: ServiceId = object.name.as_str().into();
        let wall = wall_seconds();
        let started = stored.record.latest.as_ref().map_or(wall, |s| s.started);
        let age = Time::from_secs(wall.saturating_sub(started));
        let now = self.shared.now();
        let news = self
            .shared
            .change(|view| view.merge_record(now, &service, stored.record.clone(), age));
        if let Some(status) = stored.record.latest.as_ref().filter(|_| news) {
            info!(self.log, "move in force"; "service" => &*service, "move" => status.id,
                "state" => ?status.state, "to" => &*status.plan.to);
        }
        news
    }

    async fn adopt_settings(&self, head: &Object) -> Result<bool, LoadError> {
        let loaded = load_from_head(&*self.objects, head).await?;
        let revision = loaded.revision();
        let now = self.shared.now();
        let enforced = self
            .settings
            .offer(now, Source::Store, revision, loaded.tree);
        if let Some(revision) = enforced {
            info!(self.log, "settings in force"; "revision" => revision, "source" => "store");
        }
        Ok(enforced.is_some())
    }
}

/// Reports whether the store forgot where a watch stood.
fn is_expired(err: &LoadError) -> bool {
    matches!(
        err,
        LoadError::Store {
            source: StoreError::Expired
        }
    )
}

/// The wait after a failure: doubled each time, with half of it at random, so that a fleet does not
/// come back in step.
fn backoff(failures: u32) -> Duration {
    let most = RETRY * 2u32.saturating_pow(failures.min(16));
    most.min(LONGEST_RETRY).mul_f64(0.5 + fastrand::f64() / 2.0)
}
