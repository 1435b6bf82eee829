/*!
Executors that can be paused and dropped.

A node owns its executor and the threads that run it. Dropping the [`Runtime`] drops every task and
so closes every socket at once, which is how tests kill a node inside one process; pausing it stops
all its tasks while its sockets stay open, which is how they freeze one.
*/

use std::{
    future::Future,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex, MutexGuard, PoisonError, Weak,
    },
    thread,
    time::Duration,
};

use smol::{future, Executor, Task, Timer};

/// How long a paused thread sleeps between looks at the pause flag.
const PAUSE_POLL: Duration = Duration::from_millis(1);

/// Waits for a future for at most `limit`; `None` where it was not ready by then.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use cassiareel::runtime::within;
///
/// let ready = within(Duration::from_secs(60), async { 4 });
/// assert_eq!(smol::block_on(ready), Some(4));
/// let never = within(Duration::ZERO, std::future::pending::<()>());
/// assert_eq!(smol::block_on(never), None);
/// ```
pub async fn within<F>(limit: Duration, future: F) -> Option<F::Output>
where
    F: Future,
{
    let late = async {
        Timer::after(limit).await;
        None
    };
    future::or(async { Some(future.await) }, late).await
}

/// Locks a mutex, also one whose holder panicked: for values that are whole between statements.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A handle that spawns tasks on a [`Runtime`].
///
/// The handle does not keep the executor alive: tasks hold handles, and an executor that its own
/// tasks kept alive would never drop them.
#[derive(Clone, Debug)]
pub struct Spawner(Weak<Executor<'static>>);

impl Spawner {
    /// Spawns a task; on a runtime that was dropped, the task is dropped at once.
    pub fn spawn<F, T>(&self, future: F) -> Task<T>
    where
        F: Future<Output = T> + Send + 'static,
        T: Send + 'static,
    {
        match self.0.upgrade() {
            Some(executor) => executor.spawn(future),
            None => Executor::new().spawn(future),
        }
    }
}

/// An executor with threads of its own.
///
/// # Examples
///
/// ```
/// use cassiareel::runtime::Runtime;
///
/// let runtime = Runtime::new("example", 1);
/// let task = runtime.spawner().spawn(async { 2 + 2 });
/// assert_eq!(smol::block_on(task), 4);
/// ```
#[derive(Debug)]
pub struct Runtime {
    // INVARIANT: only this field and the runtime's threads hold the executor for longer than a call.
    executor: Arc<Executor<'static>>,
    paused: Arc<AtomicBool>,
    stop: Option<async_channel::Sender<()>>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Runtime {
    /// Starts `threads` threads (at least one) named after `name`.
    ///
    /// # Panics
    ///
    /// Panics when the operating system refuses a thread.
    pub fn new(name: &str, threads: usize) -> Runtime {
        let executor = Arc::new(Executor::new());
        let paused = Arc::new(AtomicBool::new(false));
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let threads = (0..threads.max(1))
            .map(|i| {
                let executor = executor.clone();
                let paused = paused.clone();
                let stopped = stopped.clone();
                thread::Builder::new()
                    .name(format!("{name}-{i}"))
                    .spawn(move || run(&executor, &paused, &stopped))
                    .expect("the operating system starts a thread")
            })
            .collect();
        Runtime {
            executor,
            paused,
            stop: Some(stop),
            threads,
        }
    }

    /// Returns the handle that spawns tasks here.
    pub fn spawner(&self) -> Spawner {
        Spawner(Arc::downgrade(&self.executor))
    }

    /// Spawns a task.
    pub fn spawn<F, T>(&self, future: F) -> Task<T>
    where
        F: Future<Output = T> + Send + 'static,
        T: Send + 'static,
    {
        self.executor.spawn(future)
    }

    /// Stops every task where it stands; sockets stay open.
    pub fn pause(&self) {
        self.paused.store(true, Ordering::SeqCst);
        // A task wakes the executor's threads so that they see the flag.
        for _ in &self.threads {
            self.executor.spawn(async {}).detach();
        }
    }

    /// Lets paused tasks go on.
    pub fn resume(&self) {
        self.paused.store(false, Ordering::SeqCst);
    }
}

impl Drop for Runtime {
    fn drop(&mut self) {
        self.paused.store(false, Ordering::SeqCst);
        drop(self.stop.take());
        let current = thread::current().id();
        for thread in self.threads.drain(..) {
            // A runtime dropped by one of its own tasks can't wait for its own thread.
            if thread.thread().id() != current {
                let _ = thread.join();
            }
        }
    }
}

/// Runs tasks until the stop channel closes, looking at the pause flag between tasks.
fn run(executor: &Executor<'static>, paused: &AtomicBool, stopped: &async_channel::Receiver<()>) {
    smol::block_on(async {
        while !stopped.is_closed() {
            if paused.load(Ordering::SeqCst) {
                thread::sleep(PAUSE_POLL);
                continue;
            }
            let stop = async {
                let _ = stopped.recv().await;
            };
            smol::future::or(stop, executor.tick()).await;
        }
    });
}
