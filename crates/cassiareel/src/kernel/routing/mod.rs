/*!
Choice of a backend server.

A [`Policy`] scores the candidates that the settings allow for a request. Policies are plug-ins that
register themselves and are chosen by name in the settings; the plain ones are the baselines that
the others are measured against. A [`PrefixIndex`] holds what is believed of the engines' caches,
and [`Subsets`] gives each node of a large fleet its part of the backend servers.
*/

mod blocks;
mod expect;
mod first_token;
mod fitness;
mod home;
mod least;
mod load;
#[cfg(test)]
mod load_tests;
mod policy;
#[cfg(test)]
mod policy_tests;
mod prefix;
#[cfg(test)]
mod prefix_tests;
mod random;
mod robin;
mod subset;
#[cfg(test)]
mod subset_tests;
mod two;

pub use blocks::{block_hashes, BLOCK_TOKENS};
pub(crate) use expect::{expected_ms, unread_tokens};
pub(crate) use home::{home_seed, home_weight, prefix_key};
pub use load::{Load, ReportedLoad};
pub use policy::{
    named_policy, policy, policy_names, Candidate, Choice, Policy, RoutingRequest, SkipReason,
};
pub use prefix::{PrefixIndex, Slot};
pub use subset::Subsets;
