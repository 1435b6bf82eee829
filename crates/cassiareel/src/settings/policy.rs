/*!
Policies: the values that a child node inherits from its parent.

A [`Policy`] holds the values that one node of the tree sets. Each value is optional, and a node
inherits those that it does not set. A [`ResolvedPolicy`] holds every value, resolved along the path
of a request. Values come in groups, one for each part of the system that reads them.
*/

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DisplayFromStr};

use super::units::{DurationText, OrNone, Rate, Share, SizeText};

/// A named policy of the tree.
pub type PolicyId = Arc<str>;

/// A group of optional values.
pub trait Group {
    /// Reports whether no value is set.
    fn is_empty(&self) -> bool;
}

/// Defines a group: a type with the optional values that a node may set, and a type with the
/// resolved values.
macro_rules! group {
    (
        $(#[$doc:meta])*
        $set:ident => $resolved:ident {
            $($(#[$note:meta])* $field:ident: $ty:ty as $adapter:tt = $default:expr,)*
        }
    ) => {
        $(#[$doc])*
        ///
        /// These are the values that one node sets. It inherits the others.
        #[serde_as]
        #[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
        #[serde(deny_unknown_fields)]
        pub struct $set {
            $(
                $(#[$note])*
                #[serde_as(as = $adapter)]
                #[serde(default, skip_serializing_if = "Option::is_none")]
                pub $field: Option<$ty>,
            )*
        }

        impl $set {
            /// Overrides values with those that the child sets.
            pub fn merge(&mut self, child: &$set) {
                $(
                    if child.$field.is_some() {
                        self.$field.clone_from(&child.$field);
                    }
                )*
            }
        }

        impl Group for $set {
            fn is_empty(&self) -> bool {
                true $(&& self.$field.is_none())*
            }
        }

        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq)]
        pub struct $resolved {
            $($(#[$note])* pub $field: $ty,)*
        }

        impl $resolved {
            /// Overrides values with those that a node sets.
            pub fn apply(&mut self, set: &$set) {
                $(
                    if let Some(value) = &set.$field {
                        self.$field = value.clone();
                    }
                )*
            }

            /// Returns the same values, each as if a node set it.
            pub fn to_policy(&self) -> $set {
                $set {
                    $($field: Some(self.$field.clone()),)*
                }
            }
        }

        impl Default for $resolved {
            fn default() -> $resolved {
                $resolved {
                    $($field: $default,)*
                }
            }
        }
    };
}

group! {
    /// Choice of a backend server.
    RoutingPolicy => Routing {
        /// The name of the routing policy that scores backend servers.
        policy: String as "Option<_>" = "first-token".to_owned(),
        /// Weight of a backend server's load in its score.
        load: f64 as "Option<_>" = 1.0,
        /// Weight of the prompt blocks that its cache holds.
        prefix: f64 as "Option<_>" = 1.0,
        /// Weight of its memory in use.
        memory: f64 as "Option<_>" = 1.0,
        /// Weight of its recent speed.
        pace: f64 as "Option<_>" = 1.0,
        /// Weight of being in another data centre.
        distance: f64 as "Option<_>" = 0.2,
        /// Number of backend servers of a version that one node uses; `None` uses all.
        subset: Option<u32> as "Option<OrNone<_>>" = None,
        /// The greatest share of a version's backend servers that may be ejected at one time.
        ejected: Share as "Option<DisplayFromStr>" = Share::from_percent(50),
        /// Consecutive failures that eject a backend server.
        failures: u32 as "Option<_>" = 3,
        /// Time until an ejected backend server gets a trial request.
        ejection: Duration as "Option<DurationText>" = Duration::from_secs(5),
    }
}

group! {
    /// Timeouts.
    TimePolicy => Times {
        /// The longest time that a request may wait for a backend server.
        queue: Duration as "Option<DurationText>" = Duration::from_secs(5),
        /// The longest time from opening an attempt to its first token, and the longest silence of
        /// an attempt that no other may replace.
        first_token: Duration as "Option<DurationText>" = Duration::from_secs(20),
        /// The longest time between two tokens before another attempt replaces this one.
        between_tokens: Duration as "Option<DurationText>" = Duration::from_secs(2),
        /// The longest time to connect to a backend server.
        connect: Duration as "Option<DurationText>" = Duration::from_secs(1),
        /// The longest time until a plain service's answer is complete.
        answer: Duration as "Option<DurationText>" = Duration::from_secs(30),
        /// Time that a planned shutdown leaves open streams to end.
        drain: Duration as "Option<DurationText>" = Duration::from_secs(120),
    }
}

group! {
    /// Attempts after the first one.
    RetryPolicy => Retries {
        /// The most attempts at one generation, including the first.
        attempts: u32 as "Option<_>" = 4,
        /// Time between two tries to find a backend server while none is suitable.
        pause: Duration as "Option<DurationText>" = Duration::from_millis(50),
        /// The most further attempts, as a share of requests.
        budget: Share as "Option<DisplayFromStr>" = Share::from_percent(20),
        /// Further attempts that are allowed before the share applies.
        burst: u32 as "Option<_>" = 10,
        /// Number of backend servers that may crash under one request before it is rejected.
        engine_losses: u32 as "Option<_>" = 2,
    }
}

group! {
    /// Limits on the use by a client account, caller or service.
    ///
    /// Each level is counted separately: an account's limit applies to all its callers together,
    /// and a caller that sets no limit is limited to the inherited value by itself.
    LimitPolicy => Limits {
        /// Rate of requests.
        requests: Option<Rate> as "Option<OrNone<DisplayFromStr>>" = None,
        /// Rate of tokens, of prompts and answers together.
        tokens: Option<Rate> as "Option<OrNone<DisplayFromStr>>" = None,
        /// Number of requests that run or wait at the same time.
        open_requests: Option<u32> as "Option<OrNone<_>>" = None,
        /// Tokens that running requests occupy or may still come to occupy in engine memory.
        open_tokens: Option<u64> as "Option<OrNone<_>>" = None,
        /// The longest answer in tokens.
        max_tokens: u32 as "Option<_>" = 8192,
        /// Weight relative to other waiting requests, for fair queueing.
        weight: f64 as "Option<_>" = 1.0,
        /// Priority; lower values run earlier.
        priority: i32 as "Option<_>" = 0,
    }
}

group! {
    /// Buffers for answers that callers have not read yet.
    BufferPolicy => Buffers {
        /// Bytes that one stream may buffer.
        stream: u64 as "Option<SizeText>" = 64 << 10,
        /// Bytes that all streams of a node may buffer together.
        node: u64 as "Option<SizeText>" = 64 << 20,
    }
}

group! {
    /// Limits on the size and time of requests, and on connections.
    BoundPolicy => Bounds {
        /// The most bytes of a request's head; the HTTP library reads no more than 8 KiB.
        head: u64 as "Option<SizeText>" = 8 << 10,
        /// The most bytes of a request's body.
        body: u64 as "Option<SizeText>" = 4 << 20,
        /// The longest time for a request's head to arrive.
        head_time: Duration as "Option<DurationText>" = Duration::from_secs(10),
        /// The longest time for a request's body to arrive.
        body_time: Duration as "Option<DurationText>" = Duration::from_secs(30),
        /// The longest time that a write may go without progress.
        write_time: Duration as "Option<DurationText>" = Duration::from_secs(30),
        /// The most connections from callers to a node.
        connections: u32 as "Option<_>" = 4096,
    }
}

group! {
    /// Records of non-idempotent calls.
    OrderPolicy => Orders {
        /// Time that the record of a settled call is kept.
        expiry: Duration as "Option<DurationText>" = Duration::from_secs(7 * 86_400),
        /// The most bytes of an answer that are stored.
        answer: u64 as "Option<SizeText>" = 64 << 10,
        /// Time after which an unsettled call is reported to operators.
        alert: Duration as "Option<DurationText>" = Duration::from_secs(60),
    }
}

group! {
    /// Moves of traffic between versions.
    MovePolicy => Moves {
        /// The share of traffic at each step; the last one is 100%.
        steps: Vec<Share> as "Option<Vec<DisplayFromStr>>" = [1, 5, 25, 50, 100]
            .map(Share::from_percent)
            .to_vec(),
        /// The greatest share of a route's traffic that a version gets before it is judged good.
        cap: Share as "Option<DisplayFromStr>" = Share::from_percent(5),
        /// Number of requests that a version has to serve before it can be judged good.
        evidence: u32 as "Option<_>" = 50,
        /// Probability of a false alarm over a whole move.
        alarms: Share as "Option<DisplayFromStr>" = Share::from_ppm(5_000),
        /// Tolerated excess of the failure rate over that of the version it is compared with.
        failures: Share as "Option<DisplayFromStr>" = Share::from_percent(2),
        /// Tolerated slowdown against the version it is compared with, as a factor.
        slowdown: f64 as "Option<_>" = 1.5,
        /// Time without updates after which a node returns to the proven version.
        news: Duration as "Option<DurationText>" = Duration::from_secs(10),
        /// Time for which a version is still judged after its move is done.
        watch: Duration as "Option<DurationText>" = Duration::from_secs(600),
    }
}

group! {
    /// Membership of the fleet, leases, and the relaying of settings between nodes.
    MembershipPolicy => Membership {
        /// Interval between messages to peers.
        period: Duration as "Option<DurationText>" = Duration::from_millis(250),
        /// Number of peers that get a message each period.
        fanout: u32 as "Option<_>" = 2,
        /// Silence after which a node is suspected.
        suspect: Duration as "Option<DurationText>" = Duration::from_millis(1000),
        /// Silence after which a node counts as dead.
        dead: Duration as "Option<DurationText>" = Duration::from_millis(1800),
        /// Rate of bytes that a node sends to peers.
        bytes: Rate as "Option<DisplayFromStr>" = Rate::from_per_second(7_000),
        /// Interval between polls of the VM list.
        list: Duration as "Option<DurationText>" = Duration::from_secs(5),
        /// Number of nodes in a data centre that watch the store for the others.
        watchers: u32 as "Option<_>" = 2,
        /// Duration of a lease.
        lease: Duration as "Option<DurationText>" = Duration::from_secs(10),
    }
}

group! {
    /// The decision log.
    LogPolicy => Logs {
        /// The greatest rate of lines of one node. Lines above it are not written; the next line
        /// that is written gives their count.
        lines: Rate as "Option<DisplayFromStr>" = Rate::from_per_second(2_000),
    }
}

/// Defines the groups of a policy, for [`Policy`] and [`ResolvedPolicy`] at once.
macro_rules! groups {
    ($($(#[$note:meta])* $field:ident: $set:ident => $resolved:ident,)*) => {
        /// The values that one node of the tree sets.
        ///
        /// # Examples
        ///
        /// ```
        /// use cassiareel::settings::{Group, Policy};
        ///
        /// let policy: Policy = toml::from_str("limits.requests = \"100/s\"").unwrap();
        /// assert!(policy.time.is_empty());
        /// ```
        #[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
        #[serde(deny_unknown_fields)]
        pub struct Policy {
            /// The named policy whose values apply where this one sets none.
            #[serde(default, skip_serializing_if = "Option::is_none")]
            pub base: Option<PolicyId>,
            $(
                $(#[$note])*
                #[serde(default, skip_serializing_if = "Group::is_empty")]
                pub $field: $set,
            )*
        }

        impl Policy {
            /// Overrides values with those that the child sets; the base stays.
            pub fn merge(&mut self, child: &Policy) {
                $(self.$field.merge(&child.$field);)*
            }

            /// Reports whether neither a base nor a value is set.
            pub fn is_empty(&self) -> bool {
                self.base.is_none() $(&& self.$field.is_empty())*
            }
        }

        /// Every policy value, resolved along the path of a request.
        #[derive(Clone, Debug, Default, PartialEq)]
        pub struct ResolvedPolicy {
            $($(#[$note])* pub $field: $resolved,)*
        }

        impl ResolvedPolicy {
            /// Overrides values with those that a node sets; the node's base is not looked up.
            pub fn apply(&mut self, policy: &Policy) {
                $(self.$field.apply(&policy.$field);)*
            }

            /// Returns the same values, each as if a node set it.
            pub fn to_policy(&self) -> Policy {
                Policy {
                    base: None,
                    $($field: self.$field.to_policy(),)*
                }
            }
        }

        /// The names of the groups.
        pub const GROUPS: &[&str] = &[$(stringify!($field)),*];
    };
}

groups! {
    /// Choice of a backend server.
    routing: RoutingPolicy => Routing,
    /// Timeouts.
    time: TimePolicy => Times,
    /// Attempts after the first one.
    retries: RetryPolicy => Retries,
    /// Limits on use by client accounts, callers and services.
    limits: LimitPolicy => Limits,
    /// Buffers for unread answers.
    buffers: BufferPolicy => Buffers,
    /// Limits on requests and connections.
    bounds: BoundPolicy => Bounds,
    /// Records of non-idempotent calls.
    orders: OrderPolicy => Orders,
    /// Moves of traffic between versions.
    moves: MovePolicy => Moves,
    /// Membership of the fleet, leases, and the relaying of settings.
    membership: MembershipPolicy => Membership,
    /// The decision log.
    logs: LogPolicy => Logs,
}
