/*!
Backend servers: model engines and plain services.

Both are traits, met by thin HTTP adapters. Model engines speak the OpenAI completions API with the
few extra fields that docs/design/engine-interface.md lists; plain services are called by path.
*/

mod engine;

pub use engine::{
    CacheEvent, CacheEvents, CacheKind, Engine, LoadReport, Order, OrderKind, Piece, Pieces, Start,
    StreamError,
};
