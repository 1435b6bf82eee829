/*!
Which backend servers are healthy, on which route.

A [`Group`] judges the servers of one route of one version against each other. A server that fails
far more than its peers is ejected for a time, tried with one idempotent call at a time, and given
its traffic back gradually. A share of the group is never ejected, and nothing is ejected while most
of the group fails: such a signal says something of the network or the request, not of a server.

Groups are apart, so that one bad route does not eject a server for the others. The loss of a
connection is told to every group of the server.
*/

mod group;
#[cfg(test)]
mod group_tests;
mod server;

pub use group::{Change, Group, Limits};
pub use server::{Outcome, Stage};
