//! The relay's decisions, as functions of the time and of known facts, without input or output.

mod autoscale;
mod backoff;
#[cfg(test)]
mod backoff_tests;
mod baseline;
#[cfg(test)]
mod baseline_tests;
mod budget;
#[cfg(test)]
mod budget_tests;
mod call_pace;
mod catalog;
#[cfg(test)]
mod catalog_tests;
mod config_eras;
#[cfg(test)]
mod config_eras_tests;
mod continuation;
#[cfg(test)]
mod continuation_tests;
#[cfg(test)]
mod duty_model_tests;
mod duty_terms;
mod engine_load;
#[cfg(test)]
mod engine_load_tests;
mod events;
#[cfg(test)]
mod events_tests;
mod freshness;
#[cfg(test)]
mod freshness_model_tests;
#[cfg(test)]
mod freshness_tests;
mod health;
#[cfg(test)]
mod health_tests;
mod link_budget;
#[cfg(test)]
mod link_budget_tests;
mod load;
#[cfg(test)]
mod load_tests;
mod order_book;
#[cfg(test)]
mod order_book_tests;
mod placement;
#[cfg(test)]
mod placement_tests;
mod precedence;
#[cfg(test)]
mod precedence_tests;
mod read_schedule;
#[cfg(test)]
mod read_schedule_tests;
mod refusal_pause;
#[cfg(test)]
mod refusal_pause_tests;
mod registry;
#[cfg(test)]
mod registry_tests;
mod reported_load;
#[cfg(test)]
mod reported_load_tests;
mod rollout;
#[cfg(test)]
mod rollout_tests;
mod run_times;
#[cfg(test)]
mod run_times_tests;
#[cfg(test)]
mod samples;
mod send_rate;
#[cfg(test)]
mod send_rate_tests;
mod share_draw;
#[cfg(test)]
mod share_draw_tests;
mod shutdown;
#[cfg(test)]
mod shutdown_tests;
mod speeds;
#[cfg(test)]
mod speeds_tests;
mod start_schedule;
#[cfg(test)]
mod start_schedule_tests;
pub mod usage;
#[cfg(test)]
mod verdict_model_tests;
#[cfg(test)]
mod verdict_replace_model_tests;
#[cfg(test)]
mod verdict_restore_model_tests;
mod work_pace;
#[cfg(test)]
mod work_pace_tests;

pub use autoscale::{
    Autoscaler, BoundsError, DataCentreInput, DemandCoverage, DemandTotal, EngineFacts,
    FleetDemand, OrderOutcome, ServerOrders, ServiceInput, ServiceSize, SizeReason, WantedServers,
    DECISION_INTERVAL,
};
pub use backoff::{Backoff, StoreStatus};
pub use baseline::{Baseline, Baselines, LogTimes};
pub use budget::{RetryBudget, RetryCause};
pub use call_pace::CallPace;
pub use catalog::{Catalog, Lookup};
pub use config_eras::{ConfigEras, ConfigRead};
pub use continuation::{Continuation, StopReason};
pub use duty_terms::{CallEnd, DutyRules, DutyTerm, DutyTerms, TermChange};
pub use engine_load::{
    choose_least_loaded, choose_most_cached, choose_with_room, EngineLoad, PromptDemand,
    RunningRequest, Shortage, EXTRA_PROBED_ENGINES, HOLD_POLL_INTERVAL, MAX_HOLD_PART,
    PROBED_ENGINES,
};
pub use events::{Event, EventSplitter};
pub use freshness::ConfigFreshness;
pub use health::{DataCentreHealth, Health};
pub use link_budget::LinkBudget;
pub use load::{max_wait, AdmissionRequest, ServiceLoad};
pub use order_book::{BookChanges, KnownOrder, OrderBook};
pub use placement::{choose, Candidate, RequestDemand, SEARCHED_ENGINES};
pub use precedence::{Precedence, PriorityDemand, Rivals};
pub use read_schedule::{remaining, ReadSchedule};
pub use refusal_pause::RefusalPause;
pub use registry::{Registry, RegistryChanges};
pub use reported_load::ReportedLoad;
pub use rollout::{state_to_report, Exposure, Judge, RolloutDecision, Tally, MIN_SHARE};
pub use run_times::{ExpectedTimes, RunTimes};
pub use send_rate::SendRate;
pub use share_draw::ShareDraw;
pub use shutdown::{
    accepts_during_shutdown, Shutdown, ANSWER_MARGIN, BALANCER_DELAY, HAND_OVER_MARGIN,
};
pub use speeds::{EndedStream, ServiceSpeeds};
pub use start_schedule::StartSchedule;
pub use work_pace::WorkPace;
