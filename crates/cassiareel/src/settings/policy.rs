/*!
Policies: the values that a child inherits.

A [`Policy`] is what one node of the tree says; each value is optional, and a node that says nothing
inherits. A [`ResolvedPolicy`] has every value, worked out along the path of a request. Values come
in groups, one for each part of the system that reads them.
*/

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DisplayFromStr};

use super::units::{DurationText, OrNone, Rate, Share, SizeText};

/// A named policy of the tree.
pub type PolicyId = Arc<str>;

/// A group of optional values.
pub trait Group {
    /// Reports whether nothing is said.
    fn is_empty(&self) -> bool;
}

/// Defines a group: the optional values that a node may say, and the values worked out.
macro_rules! group {
    (
        $(#[$doc:meta])*
        $said:ident => $resolved:ident {
            $($(#[$note:meta])* $field:ident: $ty:ty as $adapter:tt = $default:expr,)*
        }
    ) => {
        $(#[$doc])*
        ///
        /// As a node says it; what it leaves out it inherits.
        #[serde_as]
        #[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
        #[serde(deny_unknown_fields)]
        pub struct $said {
            $(
                $(#[$note])*
                #[serde_as(as = $adapter)]
                #[serde(default, skip_serializing_if = "Option::is_none")]
                pub $field: Option<$ty>,
            )*
        }

        impl $said {
            /// Takes the child's values where it says any.
            pub fn merge(&mut self, child: &$said) {
                $(
                    if child.$field.is_some() {
                        self.$field.clone_from(&child.$field);
                    }
                )*
            }
        }

        impl Group for $said {
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
            /// Takes a node's values where it says any.
            pub fn apply(&mut self, said: &$said) {
                $(
                    if let Some(value) = &said.$field {
                        self.$field = value.clone();
                    }
                )*
            }

            /// The same values, each as if a node had said it.
            pub fn to_policy(&self) -> $said {
                $said {
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
        /// The name of the policy that scores backend servers.
        policy: String as "Option<_>" = "first-token".to_owned(),
        /// Weight of load in a score.
        load: f64 as "Option<_>" = 1.0,
        /// Weight of prompt blocks that a cache holds.
        prefix: f64 as "Option<_>" = 1.0,
        /// Weight of memory that is taken.
        memory: f64 as "Option<_>" = 1.0,
        /// Weight of an engine's recent pace.
        pace: f64 as "Option<_>" = 1.0,
        /// Weight of another data centre.
        distance: f64 as "Option<_>" = 0.2,
        /// Backend servers of a version that one node uses; none uses all.
        subset: Option<u32> as "Option<OrNone<_>>" = None,
        /// The greatest share of a version's backend servers that may be ejected at one time.
        ejected: Share as "Option<DisplayFromStr>" = Share::from_percent(50),
        /// Failures in a row that eject a backend server.
        failures: u32 as "Option<_>" = 3,
        /// Time until an ejected backend server gets a trial.
        ejection: Duration as "Option<DurationText>" = Duration::from_secs(5),
    }
}

group! {
    /// Bounds on time.
    TimePolicy => Times {
        /// Time that a request may wait for a backend server.
        queue: Duration as "Option<DurationText>" = Duration::from_secs(5),
        /// Time from opening an attempt to its first token.
        first_token: Duration as "Option<DurationText>" = Duration::from_secs(20),
        /// Time between tokens of an attempt.
        between_tokens: Duration as "Option<DurationText>" = Duration::from_secs(2),
        /// Time to connect to a backend server.
        connect: Duration as "Option<DurationText>" = Duration::from_secs(1),
        /// Time to a plain service's whole answer.
        answer: Duration as "Option<DurationText>" = Duration::from_secs(30),
        /// Time that a planned stop gives open streams.
        drain: Duration as "Option<DurationText>" = Duration::from_secs(120),
    }
}

group! {
    /// Attempts after the first.
    RetryPolicy => Retries {
        /// Attempts at one generation in all.
        attempts: u32 as "Option<_>" = 4,
        /// Pause between looks for a backend server while none is fit.
        pause: Duration as "Option<DurationText>" = Duration::from_millis(50),
        /// Further attempts as a share of requests.
        budget: Share as "Option<DisplayFromStr>" = Share::from_percent(20),
        /// Further attempts that are allowed before the share counts.
        burst: u32 as "Option<_>" = 10,
        /// Backend servers that one request may take down before it is refused.
        engine_losses: u32 as "Option<_>" = 2,
    }
}

group! {
    /// Limits on what a client account, caller or service uses.
    ///
    /// Each level has its own count: an account's limit holds for all its callers together, and a
    /// caller that says none is bounded by the inherited value for itself alone.
    LimitPolicy => Limits {
        /// Requests in a time.
        requests: Option<Rate> as "Option<OrNone<DisplayFromStr>>" = None,
        /// Tokens of prompts and answers in a time.
        tokens: Option<Rate> as "Option<OrNone<DisplayFromStr>>" = None,
        /// Requests that run or wait at one time.
        open_requests: Option<u32> as "Option<OrNone<_>>" = None,
        /// Tokens that running requests hold and may still hold.
        open_tokens: Option<u64> as "Option<OrNone<_>>" = None,
        /// The longest answer in tokens.
        max_tokens: u32 as "Option<_>" = 8192,
        /// Weight against others that wait.
        weight: f64 as "Option<_>" = 1.0,
        /// Priority; lower runs earlier.
        priority: i32 as "Option<_>" = 0,
    }
}

group! {
    /// Memory for answers that callers have not read.
    BufferPolicy => Buffers {
        /// Bytes for one stream.
        stream: u64 as "Option<SizeText>" = 64 << 10,
        /// Bytes for all streams of a node.
        node: u64 as "Option<SizeText>" = 64 << 20,
    }
}

group! {
    /// Bounds on requests and connections.
    BoundPolicy => Bounds {
        /// Bytes of a request's head; the HTTP library reads no more than 8 KiB.
        head: u64 as "Option<SizeText>" = 8 << 10,
        /// Bytes of a request's body.
        body: u64 as "Option<SizeText>" = 4 << 20,
        /// Time for a request's head to arrive.
        head_time: Duration as "Option<DurationText>" = Duration::from_secs(10),
        /// Time for a request's body to arrive.
        body_time: Duration as "Option<DurationText>" = Duration::from_secs(30),
        /// Time for one write to make progress.
        write_time: Duration as "Option<DurationText>" = Duration::from_secs(30),
        /// Connections of callers to a node.
        connections: u32 as "Option<_>" = 4096,
    }
}

group! {
    /// Records of non-idempotent calls.
    OrderPolicy => Orders {
        /// Time that the record of a settled call is kept.
        expiry: Duration as "Option<DurationText>" = Duration::from_secs(7 * 86_400),
        /// The largest stored answer in bytes.
        answer: u64 as "Option<SizeText>" = 64 << 10,
        /// Time after which an unsettled call is reported to operators.
        alert: Duration as "Option<DurationText>" = Duration::from_secs(60),
    }
}

group! {
    /// Moves between versions.
    MovePolicy => Moves {
        /// Shares of traffic, one for each step; the last is the whole.
        steps: Vec<Share> as "Option<Vec<DisplayFromStr>>" = [1, 5, 25, 50, 100]
            .map(Share::from_percent)
            .to_vec(),
        /// The greatest share of a route that a version gets before it is judged good.
        cap: Share as "Option<DisplayFromStr>" = Share::from_percent(5),
        /// Requests of a version before the judge can find it good.
        evidence: u32 as "Option<_>" = 50,
        /// Chance of a false alarm over a whole move.
        alarms: Share as "Option<DisplayFromStr>" = Share::from_ppm(5_000),
        /// Failures above the version beside it that are tolerated.
        failures: Share as "Option<DisplayFromStr>" = Share::from_percent(2),
        /// Slowdown against the version beside it that is tolerated, as a factor.
        slowdown: f64 as "Option<_>" = 1.5,
        /// Time that a node may go without news before it returns to the proven version.
        news: Duration as "Option<DurationText>" = Duration::from_secs(10),
        /// Time over which a version goes on being judged after its move is done.
        watch: Duration as "Option<DurationText>" = Duration::from_secs(600),
    }
}

group! {
    /// Membership of the fleet, leases and the relay of settings.
    MembershipPolicy => Membership {
        /// Time between messages to peers.
        period: Duration as "Option<DurationText>" = Duration::from_millis(250),
        /// Peers that get a message each period.
        fanout: u32 as "Option<_>" = 2,
        /// Silence after which a node is suspected.
        suspect: Duration as "Option<DurationText>" = Duration::from_millis(1000),
        /// Silence after which a node counts as dead.
        dead: Duration as "Option<DurationText>" = Duration::from_millis(1800),
        /// Bytes that a node sends to peers in a time.
        bytes: Rate as "Option<DisplayFromStr>" = Rate::from_per_second(7_000),
        /// Time between looks at the VM list.
        list: Duration as "Option<DurationText>" = Duration::from_secs(5),
        /// Nodes of a data centre that watch the store for the others.
        watchers: u32 as "Option<_>" = 2,
        /// Duration of a lease.
        lease: Duration as "Option<DurationText>" = Duration::from_secs(10),
    }
}

group! {
    /// The decision log.
    LogPolicy => Logs {
        /// Lines of one node in a time; lines over it are counted in the next line written.
        lines: Rate as "Option<DisplayFromStr>" = Rate::from_per_second(2_000),
    }
}

/// Defines the groups of a policy once for the said and the resolved form.
macro_rules! groups {
    ($($(#[$note:meta])* $field:ident: $said:ident => $resolved:ident,)*) => {
        /// What one node of the tree says.
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
            /// A named policy whose values count where this one says nothing.
            #[serde(default, skip_serializing_if = "Option::is_none")]
            pub base: Option<PolicyId>,
            $(
                $(#[$note])*
                #[serde(default, skip_serializing_if = "Group::is_empty")]
                pub $field: $said,
            )*
        }

        impl Policy {
            /// Takes the child's values where it says any; the base stays.
            pub fn merge(&mut self, child: &Policy) {
                $(self.$field.merge(&child.$field);)*
            }

            /// Reports whether nothing is said.
            pub fn is_empty(&self) -> bool {
                self.base.is_none() $(&& self.$field.is_empty())*
            }
        }

        /// Every value, worked out along the path of a request.
        #[derive(Clone, Debug, Default, PartialEq)]
        pub struct ResolvedPolicy {
            $($(#[$note])* pub $field: $resolved,)*
        }

        impl ResolvedPolicy {
            /// Takes a node's values where it says any; its base is not looked up.
            pub fn apply(&mut self, said: &Policy) {
                $(self.$field.apply(&said.$field);)*
            }

            /// The same values, each as if a node had said it.
            pub fn to_policy(&self) -> Policy {
                Policy {
                    base: None,
                    $($field: self.$field.to_policy(),)*
                }
            }
        }

        /// Names of the groups.
        pub const GROUPS: &[&str] = &[$(stringify!($field)),*];
    };
}

groups! {
    /// Choice of a backend server.
    routing: RoutingPolicy => Routing,
    /// Bounds on time.
    time: TimePolicy => Times,
    /// Attempts after the first.
    retries: RetryPolicy => Retries,
    /// Limits on use.
    limits: LimitPolicy => Limits,
    /// Memory for unread answers.
    buffers: BufferPolicy => Buffers,
    /// Bounds on requests and connections.
    bounds: BoundPolicy => Bounds,
    /// Records of non-idempotent calls.
    orders: OrderPolicy => Orders,
    /// Moves between versions.
    moves: MovePolicy => Moves,
    /// Membership of the fleet.
    membership: MembershipPolicy => Membership,
    /// The decision log.
    logs: LogPolicy => Logs,
}
