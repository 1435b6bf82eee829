//! The ring that determines which nodes watch each other.

use xxhash_rust::xxh3::xxh3_64;

use super::Member;

/// The number of neighbours to which a node sends its state, and which watch it.
pub(super) const WATCHERS: usize = 3;

/// Members in the order of the hashes of their names.
///
/// The order is the same on every node that knows the same members, and a member that joins or
/// leaves changes only the watchers of its neighbours.
pub(super) struct Ring<'a> {
    members: Vec<(u64, &'a Member)>,
}

impl<'a> Ring<'a> {
    /// Creates a ring of members.
    pub(super) fn new<I>(members: I) -> Ring<'a>
    where
        I: Iterator<Item = &'a Member>,
    {
        let mut members: Vec<(u64, &Member)> = members.map(|m| (place(&m.name), m)).collect();
        members.sort_unstable_by_key(|(place, _)| *place);
        Ring { members }
    }

    /// Returns the members that watch a node: the next ones on the ring after its name.
    pub(super) fn after(&self, name: &str) -> impl Iterator<Item = &'a Member> + use<'a, '_> {
        let at = place(name);
        let start = self.members.partition_point(|(place, _)| *place <= at);
        let own = self.members.iter().any(|(place, _)| *place == at);
        let others = self.members.len() - usize::from(own);
        let round = self.members[start..].iter().chain(&self.members[..start]);
        round.map(|(_, member)| *member).take(WATCHERS.min(others))
    }
}

fn place(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}
