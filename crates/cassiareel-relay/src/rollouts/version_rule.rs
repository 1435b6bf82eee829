//! To which version of a service a request goes.

use crate::model::{UnprovenVersion, Version};

/// The versions to which one request may be sent.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum VersionRule {
    /// Any version.
    Any,
    /// This version, or another where no backend server has it.
    Prefer(Version),
    /// Any version but this one, or this one where there is no other.
    Avoid(Version),
    /// Any version but this one.
    Never(Version),
}

/// The order in which versions get a request: the first one that is available.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum VersionRank {
    /// The version that the request is for.
    Preferred,
    /// No order has named it, or its rollout was completed.
    Proven,
    /// Another order replaced its rollout before there was a verdict.
    Superseded,
    /// The new version of the rollout, for a request that is not for it.
    OnTrial,
    /// An earlier rollout of it was rolled back.
    RolledBack,
}

impl VersionRule {
    /// Returns the rank of a version for a request; `None` where it must not get the request.
    pub(crate) fn rank(
        &self,
        version: &Version,
        unproven: &[UnprovenVersion],
    ) -> Option<VersionRank> {
        match self {
            VersionRule::Prefer(target) if target == version => {
                return Some(VersionRank::Preferred)
            }
            VersionRule::Avoid(target) if target == version => return Some(VersionRank::OnTrial),
            VersionRule::Never(target) if target == version => return None,
            _ => {}
        }
        let mut unproven = unproven.iter();
        let rank = match unproven.find(|unproven| unproven.version == *version) {
            None => VersionRank::Proven,
            Some(found) if found.rolled_back => VersionRank::RolledBack,
            Some(_) => VersionRank::Superseded,
        };
        Some(rank)
    }
}
