//! The faults of the matrix.

/// A fault that is injected while a request's task is stopped at a step.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Fault {
    /// The engine that runs the request is killed: its connections are reset.
    EngineKilled,
    /// The engine that runs the request freezes forever: its connections stay open and silent.
    EngineFrozen,
    /// The engine that runs the request freezes, and resumes after the answer has ended.
    EnginePaused,
    /// The connection between node and engine is reset; the engine keeps running.
    StreamCut,
    /// The node is killed: its connections are reset.
    NodeKilled,
    /// The node freezes, and resumes after the caller has received its answer from another node.
    NodePaused,
    /// The caller loses its connection to the node.
    CallerLost,
    /// The object API rejects every call for a while.
    StoreDown,
    /// The object API applies writes and loses their answers, for a while.
    StoreLosesAnswers,
    /// The plain service runs orders and loses its answers, for a while.
    ServiceLosesAnswers,
    /// The plain service runs orders and never answers, for a while.
    ServiceHangs,
    /// A newer revision of the settings removes the engine from its placement.
    SettingsChanged,
}

impl Fault {
    /// Returns the name of the fault in the page.
    pub fn label(self) -> &'static str {
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
