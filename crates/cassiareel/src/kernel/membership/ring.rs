//! The order in which nodes watch each other.

use xxhash_rust::xxh3::xxh3_64;

use super::Member;

/// Neighbours that a node sends its word to, and that watch over it.
pub(super) const WATCHERS: usize = 3;

/// Members in the order of the hashes of their names.
///
/// The order is the same at every node that knows the same members, and a member that comes or goes
/// changes the watchers of its neighbours only.
pub(super) struct Ring<'a> {
    members: Vec<(u64, &'a Member)>,
}

impl<'a> Ring<'a> {
    /// A ring of members.
    pub(super) fn new<I>(members: I) -> Ring<'a>
    where
        I: Iterator<Item = &'a Member>,
    {
        let mut members: Vec<(u64, &Member)> = members.map(|m| (place(&m.name), m)).collect();
        members.sort_unstable_by_key(|(place, _)| *place);
        Ring { members }
    }

    /// The members that watch over a name: those after it.
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
