/*!
Backend servers: model engines and plain services.

Both are traits, implemented by thin HTTP adapters. Model engines provide the OpenAI completions API
with a few extra fields, listed in docs/design/engine-interface.md. Plain services are called by
path.
*/

mod engine;
mod http_engine;
mod http_service;
mod load_report;
mod service;

pub use engine::{
    AttemptRequest, CacheEvent, CacheEventKind, CacheEvents, ChunkStream, Engine, EngineCommand,
    EngineCommandKind, LoadReport, StreamChunk, StreamError,
};
pub(crate) use http_engine::is_transient;
pub use http_engine::HttpEngine;
pub use http_service::HttpService;
pub use service::{Answer, Call, CallError, CallStatus, Service};
