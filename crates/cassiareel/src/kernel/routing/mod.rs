/*!
Choice of a backend server.

A [`Policy`] scores the candidates that the settings allow for a request. Policies are plug-ins that
register themselves and are chosen by name in the settings; the plain ones are the baselines that
the others are measured against.
*/

mod least;
mod policy;

pub use policy::{policy, policy_names, Ask, Candidate, Choice, Pass, Policy};
