/*!
Deterministic subsets of backend servers for each node.

In a large fleet a node that talked to every backend server would spend its budget on load reports,
and every server would serve connections of every node. So each node uses a subset. All nodes work
the same assignment out from the same two lists, without a message.

Each pair of node and server has a weight by hash, as in rendezvous hashing. Pairs are taken from the
heaviest on, where the node has fewer than its count of servers and the server fewer than its share
of nodes. The bound on both sides gives the balance that plain rendezvous hashing lacks, and the
weights keep most pairs when either list changes.
*/

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::kernel::{BackendId, NodeId};

/// How far a server's count of nodes may be from the mean. Some room keeps a change of the mean from
/// moving the bound that many pairs depend on.
const SLACK: f64 = 0.1;

/// The servers that each node uses, as indices into the list of servers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Subsets {
    held: Vec<Vec<u32>>,
    degrees: Vec<u32>,
}

impl Subsets {
    /// Assigns `size` servers to each node.
    ///
    /// Nodes and servers may come in any order; the assignment depends on their names alone. With
    /// no more than `size` servers every node has them all.
    pub fn assign(nodes: &[NodeId], servers: &[BackendId], size: usize) -> Subsets {
        if servers.len() <= size {
            let all: Vec<u32> = (0..servers.len() as u32).collect();
            return Subsets {
                held: vec![all; nodes.len()],
                degrees: vec![nodes.len() as u32; servers.len()],
            };
        }
        let mut work = Work::new(nodes, servers, size);
        work.take_pairs();
        work.fill_nodes();
        work.raise_servers();
        Subsets {
            held: work.held,
            degrees: work.degrees,
        }
    }

    /// The servers of a node.
    pub fn servers_of(&self, node: usize) -> &[u32] {
        &self.held[node]
    }

    /// The count of nodes that use a server.
    pub fn sharers(&self, server: usize) -> u32 {
        self.degrees[server]
    }
}

/// An assignment in the making.
struct Work {
    size: usize,
    // The most nodes that a server may have, and the fewest.
    most: u32,
    fewest: u32,
    // By server, then by node.
    weights: Vec<u64>,
    pairs: Vec<(u64, u32, u32)>,
    held: Vec<Vec<u32>>,
    degrees: Vec<u32>,
}

impl Work {
    fn new(nodes: &[NodeId], servers: &[BackendId], size: usize) -> Work {
        let seeds: Vec<u64> = nodes
            .iter()
            .map(|n| xxh3_64_with_seed(n.as_bytes(), 0))
            .collect();
        let mut pairs = Vec::with_capacity(nodes.len() * servers.len());
        for (s, server) in servers.iter().enumerate() {
            for (n, &seed) in seeds.iter().enumerate() {
                let weight = xxh3_64_with_seed(server.as_bytes(), seed);
                pairs.push((weight, n as u32, s as u32));
            }
        }
        let weights = pairs.iter().map(|pair| pair.0).collect();
        // Equal weights fall by name, so that the order of the lists does not matter.
        pairs.sort_unstable_by(|a, b| {
            b.0.cmp(&a.0)
                .then_with(|| nodes[a.1 as usize].cmp(&nodes[b.1 as usize]))
                .then_with(|| servers[a.2 as usize].cmp(&servers[b.2 as usize]))
        });
        let mean = (nodes.len() * size) as f64 / servers.len() as f64;
        Work {
            size,
            most: (mean.ceil() as u32).max((mean * (1.0 + SLACK)) as u32),
            fewest: (mean as u32).min((mean * (1.0 - SLACK)).ceil() as u32),
            weights,
            pairs,
            held: vec![Vec::with_capacity(size); nodes.len()],
            degrees: vec![0; servers.len()],
        }
    }

    /// Takes the heaviest pairs that both sides have room for.
    fn take_pairs(&mut self) {
        for i in 0..self.pairs.len() {
            let (_, n, s) = self.pairs[i];
            let room = self.held[n as usize].len() < self.size;
            if room && self.degrees[s as usize] < self.most {
                self.hold(n, s);
            }
        }
    }

    /// Gives nodes that are short the least used servers.
    fn fill_nodes(&mut self) {
        for n in 0..self.held.len() as u32 {
            while self.held[n as usize].len() < self.size {
                let held = &self.held[n as usize];
                let rank = |s: &u32| (self.degrees[*s as usize], !self.weight(n, *s));
                let Some(s) = (0..self.degrees.len() as u32)
                    .filter(|s| !held.contains(s))
                    .min_by_key(rank)
                else {
                    break;
                };
                self.hold(n, s);
            }
        }
    }

    /// Moves nodes from well used servers to those with too few.
    fn raise_servers(&mut self) {
        for s in 0..self.degrees.len() as u32 {
            while self.degrees[s as usize] < self.fewest {
                let Some((n, from)) = self.giver(s) else {
                    break;
                };
                self.held[n as usize].retain(|&held| held != from);
                self.degrees[from as usize] -= 1;
                self.hold(n, s);
            }
        }
    }

    /// The heaviest node of a server that can give it a place held on a server with more than
    /// enough.
    fn giver(&self, s: u32) -> Option<(u32, u32)> {
        (0..self.held.len() as u32)
            .filter(|&n| !self.held[n as usize].contains(&s))
            .filter_map(|n| {
                let from = self.held[n as usize]
                    .iter()
                    .copied()
                    .filter(|&held| self.degrees[held as usize] > self.fewest)
                    .max_by_key(|&held| (self.degrees[held as usize], !self.weight(n, held)))?;
                Some((n, from))
            })
            .max_by_key(|&(n, _)| self.weight(n, s))
    }

    fn hold(&mut self, n: u32, s: u32) {
        self.held[n as usize].push(s);
        self.degrees[s as usize] += 1;
    }

    fn weight(&self, n: u32, s: u32) -> u64 {
        self.weights[s as usize * self.held.len() + n as usize]
    }
}
