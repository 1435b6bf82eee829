/*!
Deterministic subsets of backend servers for each node.

In a large fleet, a node that used every backend server would spend its budget on load reports, and
every server would serve connections from every node. Therefore each node uses a subset. All nodes
compute the same assignment from the same two lists, without exchanging messages.

Each pair of a node and a server has a hash as its weight, as in rendezvous hashing. Pairs are
assigned from the heaviest to the lightest, if the node still lacks servers and the server has fewer
than its share of nodes. The limits on both sides provide the balance that plain rendezvous hashing
lacks, and the weights preserve most pairs when either list changes.
*/

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::kernel::{BackendId, NodeId};

/// How far the number of nodes of a server may differ from the mean, as a fraction. The slack keeps
/// a change of the mean from moving the limit that many pairs depend on.
const DEGREE_SLACK: f64 = 0.1;

/// The servers that each node uses, as indices into the list of servers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Subsets {
    assigned: Vec<Vec<u32>>,
    degrees: Vec<u32>,
}

impl Subsets {
    /// Assigns `size` servers to each node.
    ///
    /// The assignment depends only on the names of nodes and servers, not on the order of the
    /// lists. With no more than `size` servers, every node gets all of them.
    pub fn assign(nodes: &[NodeId], servers: &[BackendId], size: usize) -> Subsets {
        if servers.len() <= size {
            let all: Vec<u32> = (0..servers.len() as u32).collect();
            return Subsets {
                assigned: vec![all; nodes.len()],
                degrees: vec![nodes.len() as u32; servers.len()],
            };
        }
        let mut assignment = Assignment::new(nodes, servers, size);
        assignment.assign_heaviest_pairs();
        assignment.fill_short_nodes();
        assignment.raise_low_servers();
        Subsets {
            assigned: assignment.assigned,
            degrees: assignment.degrees,
        }
    }

    /// Returns the servers of a node, as indices into the list of servers.
    pub fn servers_of(&self, node: usize) -> &[u32] {
        &self.assigned[node]
    }

    /// Returns the number of nodes that use a server.
    pub fn sharers(&self, server: usize) -> u32 {
        self.degrees[server]
    }
}

/// An assignment under construction.
struct Assignment {
    size: usize,
    // The largest and the smallest number of nodes that a server may have.
    max_degree: u32,
    min_degree: u32,
    // Ordered by server, then by node.
    weights: Vec<u64>,
    pairs: Vec<(u64, u32, u32)>,
    assigned: Vec<Vec<u32>>,
    degrees: Vec<u32>,
}

impl Assignment {
    fn new(nodes: &[NodeId], servers: &[BackendId], size: usize) -> Assignment {
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
        // Ties are broken by name, so that the order of the lists does not matter.
        pairs.sort_unstable_by(|a, b| {
            b.0.cmp(&a.0)
                .then_with(|| nodes[a.1 as usize].cmp(&nodes[b.1 as usize]))
                .then_with(|| servers[a.2 as usize].cmp(&servers[b.2 as usize]))
        });
        let mean = (nodes.len() * size) as f64 / servers.len() as f64;
        Assignment {
            size,
            max_degree: (mean.ceil() as u32).max((mean * (1.0 + DEGREE_SLACK)) as u32),
            min_degree: (mean as u32).min((mean * (1.0 - DEGREE_SLACK)).ceil() as u32),
            weights,
            pairs,
            assigned: vec![Vec::with_capacity(size); nodes.len()],
            degrees: vec![0; servers.len()],
        }
    }

    /// Assigns the heaviest pairs for which both sides have room.
    fn assign_heaviest_pairs(&mut self) {
        for i in 0..self.pairs.len() {
            let (_, n, s) = self.pairs[i];
            let room = self.assigned[n as usize].len() < self.size;
            if room && self.degrees[s as usize] < self.max_degree {
                self.assign_pair(n, s);
            }
        }
    }

    /// Assigns the least used servers to nodes that have too few.
    fn fill_short_nodes(&mut self) {
        for n in 0..self.assigned.len() as u32 {
            while self.assigned[n as usize].len() < self.size {
                let assigned = &self.assigned[n as usize];
                let rank = |s: &u32| (self.degrees[*s as usize], !self.weight(n, *s));
                let Some(s) = (0..self.degrees.len() as u32)
                    .filter(|s| !assigned.contains(s))
                    .min_by_key(rank)
                else {
                    break;
                };
                self.assign_pair(n, s);
            }
        }
    }

    /// Moves nodes from servers with many nodes to servers with too few.
    fn raise_low_servers(&mut self) {
        for s in 0..self.degrees.len() as u32 {
            while self.degrees[s as usize] < self.min_degree {
                let Some((n, from)) = self.donor(s) else {
                    break;
                };
                self.assigned[n as usize].retain(|&assigned| assigned != from);
                self.degrees[from as usize] -= 1;
                self.assign_pair(n, s);
            }
        }
    }

    /// Returns the heaviest node for server `s` that also uses a server with more than the smallest
    /// number of nodes, and that other server.
    fn donor(&self, s: u32) -> Option<(u32, u32)> {
        (0..self.assigned.len() as u32)
            .filter(|&n| !self.assigned[n as usize].contains(&s))
            .filter_map(|n| {
                let from = self.assigned[n as usize]
                    .iter()
                    .copied()
                    .filter(|&assigned| self.degrees[assigned as usize] > self.min_degree)
                    .max_by_key(|&assigned| {
                        (self.degrees[assigned as usize], !self.weight(n, assigned))
                    })?;
                Some((n, from))
            })
            .max_by_key(|&(n, _)| self.weight(n, s))
    }

    fn assign_pair(&mut self, n: u32, s: u32) {
        self.assigned[n as usize].push(s);
        self.degrees[s as usize] += 1;
    }

    fn weight(&self, n: u32, s: u32) -> u64 {
        self.weights[s as usize * self.assigned.len() + n as usize]
    }
}
