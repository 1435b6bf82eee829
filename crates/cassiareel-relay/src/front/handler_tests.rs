//! A caller whose request fails inside the relay is answered.

use http::StatusCode;
use slog::{o, Discard, Logger};

use super::{body::empty_reply, handler::answer_panic};

#[test]
fn a_panic_of_a_handler_is_answered() {
    let log = Logger::root(Discard, o!());
    let failed = smol::block_on(answer_panic(&log, async { panic!("a fault") }));
    assert_eq!(failed.status(), StatusCode::BAD_GATEWAY);
    let sound = smol::block_on(answer_panic(&log, async { empty_reply(StatusCode::OK) }));
    assert_eq!(sound.status(), StatusCode::OK);
}
