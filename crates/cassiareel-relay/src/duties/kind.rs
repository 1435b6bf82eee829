//! The kinds of duties.

/// A kind of duty.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum DutyKind {
    /// The usage of client accounts is reported.
    Usage,
    /// The number of backend servers is adapted to the demand.
    Autoscale,
}

impl DutyKind {
    /// All kinds, in the order in which they make calls.
    pub(crate) const ALL: [DutyKind; 2] = [DutyKind::Usage, DutyKind::Autoscale];

    /// Returns the name in settings, logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            DutyKind::Usage => "usage",
            DutyKind::Autoscale => "autoscale",
        }
    }

    /// Returns the kind of a name.
    pub(crate) fn from_name(name: &str) -> Option<DutyKind> {
        DutyKind::ALL.into_iter().find(|kind| kind.name() == name)
    }
}
