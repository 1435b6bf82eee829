//! The faults of the matrix.

/// A fault that is brought about while a driver stands at a step.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Fault {
    /// The engine that runs the request dies: its connections are reset.
    EngineKilled,
    /// The engine that runs the request freezes for good: no reset, no byte.
    EngineFrozen,
    /// The engine that runs the request freezes, and comes back after the answer has ended.
    EnginePaused,
    /// The connection between node and engine is cut; the engine lives on.
    StreamCut,
    /// The node dies: its connections are reset.
    NodeKilled,
    /// The node freezes, and comes back after the caller has turned to another.
    NodePaused,
    /// The caller loses its connection to the node.
    CallerLost,
    /// The object API refuses every call for a while.
    StoreDown,
    /// The object API loses the answers of writes that took effect, for a while.
    StoreLosesAnswers,
    /// The plain service runs orders and its answers are lost, for a while.
    ServiceLosesAnswers,
    /// The plain service runs orders and never answers, for a while.
    ServiceHangs,
    /// A newer revision of the settings takes the engine out of its placement.
    SettingsChanged,
}

impl Fault {
    /// The words in the page.
    pub fn words(self) -> &'static str {
        match self {
            Fault::EngineKilled => "engine killed",
            Fault::EngineFrozen => "engine frozen",
            Fault::EnginePaused => "engine paused",
            Fault::StreamCut => "stream cut",
            Fault::NodeKilled => "node killed",
            Fault::NodePaused => "node paused",
            Fault::CallerLost => "caller cut off",
            Fault::StoreDown => "store down",
            Fault::StoreLosesAnswers => "store loses answers",
            Fault::ServiceLosesAnswers => "service loses answers",
            Fault::ServiceHangs => "service hangs",
            Fault::SettingsChanged => "settings changed",
        }
    }
}
