//! A task that panics ends alone.

use std::time::Duration;

use cassiareel::runtime::{within, Runtime};

/// How long a test waits for a task.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

#[test]
fn a_task_that_panics_does_not_stop_the_others() {
    let runtime = Runtime::new("panics", 1);
    let (sender, receiver) = async_channel::bounded::<()>(1);
    let (begun_sender, begun) = async_channel::bounded(1);
    let before = runtime.spawn(async move {
        let _ = begun_sender.send(()).await;
        receiver.recv().await.is_err()
    });
    smol::block_on(begun.recv()).expect("the task begins");
    runtime.spawn(async { panic!("one task fails") }).detach();
    let after = runtime.spawn(async { 4 });
    assert_eq!(smol::block_on(within(WAIT_TIMEOUT, after)), Some(4));
    drop(sender);
    assert_eq!(smol::block_on(within(WAIT_TIMEOUT, before)), Some(true));
}
