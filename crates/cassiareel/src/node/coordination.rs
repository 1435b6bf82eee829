//! The tasks that coordinate a node with the fleet: peers, settings, moves and the controller's lease.

use std::{net::SocketAddr, sync::Arc};

use arc_swap::ArcSwap;
use slog::Logger;

use super::{follow::Follower, Options};
use crate::{
    control::{
        self,
        lease::{Candidate, LeaseOptions},
    },
    kernel::{
        membership::{Member, NodeState},
        Incarnation,
    },
    peer::{ActiveSettings, Peers, SharedState},
    runtime::Runtime,
    settings::{Snapshot, HEAD_KIND},
    store::Objects,
};

/// The name of the duty to be a candidate for the controller's lease.
const LEASE_DUTY: &str = "control";

/// Maximum number of candidates per data centre.
const MAX_CANDIDATES: usize = 1;

/// The tasks that coordinate a node with the other nodes.
pub(super) struct Coordination {
    /// Exchanges with peers, or `None` for a node without keys.
    pub(super) peers: Option<Arc<Peers>>,
    /// The node's candidacy for the controller's lease.
    pub(super) candidate: Arc<Candidate>,
    /// Moves, verdicts and counts.
    pub(super) moves: Arc<SharedState>,
}

impl Coordination {
    /// Starts the tasks; `addr` is the node's bound address for peers.
    pub(super) fn start(
        options: &Options,
        addr: SocketAddr,
        runtime: &Runtime,
        settings: Arc<ArcSwap<Snapshot>>,
        moves: Arc<SharedState>,
        objects: Arc<dyn Objects>,
        log: &Logger,
    ) -> Coordination {
        let incarnation = control::wall_millis();
        let alone = options.keys.is_none() || options.peers.is_empty();
        let active_settings = Arc::new(ActiveSettings::new(settings, alone));
        let peers = options.keys.clone().map(|keys| {
            let local = local_member(options, addr, incarnation);
            let seeds = options.peers.clone();
            let spawner = runtime.spawner();
            let log = log.clone();
            Peers::new(
                local,
                seeds,
                moves.clone(),
                active_settings.clone(),
                keys,
                spawner,
                log,
            )
        });
        if let Some(peers) = &peers {
            runtime.spawn(peers.clone().run()).detach();
        }
        let follower = Follower {
            objects: objects.clone(),
            settings: active_settings,
            shared: moves.clone(),
            peers: peers.clone(),
            log: log.clone(),
        };
        for kind in [HEAD_KIND, control::moves::KIND] {
            runtime.spawn(follower.clone().follow(kind)).detach();
        }
        let candidate = Arc::new(Candidate::new(
            options.name.clone(),
            incarnation,
            LeaseOptions::default(),
            Arc::new(objects.clone()),
            log.clone(),
        ));
        let judge = control::judge::run(moves.clone(), peers.clone(), log.clone());
        runtime.spawn(judge).detach();
        let recorder =
            control::judge::record_outcomes(objects, moves.clone(), candidate.clone(), log.clone());
        runtime.spawn(recorder).detach();
        let (own, duty_peers) = (candidate.clone(), peers.clone());
        let wanted = move || {
            duty_peers
                .as_ref()
                .is_none_or(|p| p.has_duty(LEASE_DUTY, MAX_CANDIDATES))
        };
        runtime.spawn(async move { own.run(wanted).await }).detach();
        Coordination {
            peers,
            candidate,
            moves,
        }
    }
}

/// Returns a node's initial member record.
fn local_member(options: &Options, addr: SocketAddr, incarnation: Incarnation) -> Member {
    Member {
        name: options.name.clone(),
        incarnation,
        addr,
        data_centre: options.data_centre.clone(),
        content_version: 0,
        state: NodeState::Live,
        revision: 0,
    }
}
