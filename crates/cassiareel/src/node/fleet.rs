//! A node's part in the fleet: peers, settings in force, moves and the controller's lease.

use std::{net::SocketAddr, sync::Arc};

use arc_swap::ArcSwap;
use slog::Logger;

use super::{follow::Follower, Options};
use crate::{
    control::{self, lease::Candidate},
    kernel::{
        lease::Timing,
        membership::{Member, NodeState},
        Incarnation,
    },
    peer::{ActiveSettings, Peers, SharedState},
    runtime::Runtime,
    settings::{Snapshot, HEAD_KIND},
    store::Objects,
};

/// The duty of candidates for the controller's lease.
const DUTY: &str = "control";

/// Candidates in a data centre.
const CANDIDATES: usize = 1;

/// What a node runs to agree with the others.
pub(super) struct Fleet {
    /// Exchanges with peers; none for a node without keys.
    pub(super) peers: Option<Arc<Peers>>,
    /// The node's candidacy for the controller's lease.
    pub(super) candidate: Arc<Candidate>,
    /// Moves, verdicts and counts.
    pub(super) moves: Arc<SharedState>,
}

impl Fleet {
    /// Starts a node's part; `addr` is its bound address for peers.
    pub(super) fn start(
        options: &Options,
        addr: SocketAddr,
        runtime: &Runtime,
        settings: Arc<ArcSwap<Snapshot>>,
        moves: Arc<SharedState>,
        objects: Arc<dyn Objects>,
        log: &Logger,
    ) -> Fleet {
        let life = control::wall_millis();
        let alone = options.keys.is_none() || options.peers.is_empty();
        let held = Arc::new(ActiveSettings::new(settings, alone));
        let peers = options.keys.clone().map(|keys| {
            let me = me(options, addr, life);
            let seeds = options.peers.clone();
            let spawner = runtime.spawner();
            let log = log.clone();
            Peers::new(me, seeds, moves.clone(), held.clone(), keys, spawner, log)
        });
        if let Some(peers) = &peers {
            runtime.spawn(peers.clone().run()).detach();
        }
        let follower = Follower {
            objects: objects.clone(),
            settings: held,
            shared: moves.clone(),
            peers: peers.clone(),
            log: log.clone(),
        };
        for kind in [HEAD_KIND, control::moves::KIND] {
            runtime.spawn(follower.clone().follow(kind)).detach();
        }
        let candidate = Arc::new(Candidate::new(
            options.name.clone(),
            life,
            Timing::default(),
            objects.clone(),
            log.clone(),
        ));
        let judge = control::judge::run(moves.clone(), peers.clone(), log.clone());
        runtime.spawn(judge).detach();
        let record =
            control::judge::record_outcomes(objects, moves.clone(), candidate.clone(), log.clone());
        runtime.spawn(record).detach();
        let (own, duty) = (candidate.clone(), peers.clone());
        let wanted = move || duty.as_ref().is_none_or(|p| p.has_duty(DUTY, CANDIDATES));
        runtime.spawn(async move { own.run(wanted).await }).detach();
        Fleet {
            peers,
            candidate,
            moves,
        }
    }
}

/// A node's first word on itself.
fn me(options: &Options, addr: SocketAddr, life: Incarnation) -> Member {
    Member {
        name: options.name.clone(),
        incarnation: life,
        addr,
        data_centre: options.data_centre.clone(),
        content_version: 0,
        state: NodeState::Live,
        revision: 0,
    }
}
