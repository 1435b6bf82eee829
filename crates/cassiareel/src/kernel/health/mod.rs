/*!
Outlier detection: which backend servers are healthy, per route.

A [`Group`] compares the servers of one route of one version with each other. A server that fails
far more often than its peers is ejected for some time, then tried with one idempotent call at a
time, and finally gets its traffic back gradually. A fraction of the group is never ejected, and
nothing is ejected while most of the group fails, since such failures point to the network or the
requests and not to a server.

Groups are independent, so that one bad route does not eject a server for the others. The loss of a
connection is recorded in every group of the server.
*/

mod group;
#[cfg(test)]
mod group_tests;
mod server;

pub use group::{Change, Group, Limits};
pub use server::{Outcome, Stage};
