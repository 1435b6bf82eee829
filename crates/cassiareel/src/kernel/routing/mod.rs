/*!
Selection of a backend server for a request.

A [`Policy`] scores the candidates that the settings allow. Policies are plug-ins that register
themselves and are selected by name in the settings; the simple ones are baselines for comparison
with the others. A [`PrefixIndex`] estimates the contents of the engines' prefix caches, and
[`Subsets`] assigns a subset of the backend servers to each node of a large fleet.
*/

mod blocks;
mod eligibility;
mod expected;
mod first_token;
mod home;
mod least_outstanding;
mod load;
#[cfg(test)]
mod load_tests;
mod policy;
#[cfg(test)]
mod policy_tests;
mod power_of_two;
mod prefix;
#[cfg(test)]
mod prefix_tests;
mod random;
mod round_robin;
mod subset;
#[cfg(test)]
mod subset_tests;

pub use blocks::{block_hashes, BLOCK_TOKENS};
pub(crate) use expected::{expected_ms, unread_tokens};
pub(crate) use home::{home_seed, home_weight, prefix_key};
pub use load::{Load, ReportedLoad};
pub use policy::{
    named_policy, policy, policy_names, Candidate, Choice, Policy, RoutingRequest, SkipReason,
};
pub use prefix::{PrefixIndex, Slot};
pub use subset::Subsets;
