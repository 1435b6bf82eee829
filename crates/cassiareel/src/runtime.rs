/*!
Executors that can be paused and dropped.

A node owns its executor and the threads that run it. Dropping the [`Runtime`] drops all tasks and
thereby closes all sockets at once; tests do this to kill a node within one process. Pausing it stops
all tasks while the sockets stay open; tests do this to freeze a node.
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

/// Time that a paused thread sleeps between checks of the pause flag.
const PAUSE_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Waits at most `limit` for a future; returns `None` if it was not ready in time.
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
    let timed_out = async {
        Timer::after(limit).await;
        None
    };
    future::or(async { Some(future.await) }, timed_out).await
}

/// Locks a mutex even if a thread panicked while it held the lock.
///
/// This is for values that are consistent after each statement of their users.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A handle that spawns tasks on a [`Runtime`].
///
/// The handle does not keep the executor alive. Tasks hold handles, so an executor that its handles
/// kept alive would never drop its tasks.
#[derive(Clone, Debug)]
pub struct Spawner(Weak<Executor<'static>>);

impl Spawner {
    /// Spawns a task. If the runtime was dropped, the task is dropped at once.
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

/// An executor with its own threads.
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
    // INVARIANT: only this field and the runtime's threads hold the executor for longer than a call,
    // so that dropping the runtime drops the executor and its tasks.
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
    /// Panics if the operating system can't start a thread.
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
                    .spawn(move || run_tasks(&executor, &paused, &stopped))
                    .expect("the operating system can start a thread")
            })
            .collect();
        Runtime {
            executor,
            paused,
            stop: Some(stop),
            threads,
        }
    }

    /// Returns a handle that spawns tasks on this runtime.
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

    /// Pauses all tasks at their current state; sockets stay open.
    pub fn pause(&self) {
        self.paused.store(true, Ordering::SeqCst);
        // The empty tasks wake the executor's threads so that they see the flag.
        for _ in &self.threads {
            self.executor.spawn(async {}).detach();
        }
    }

    /// Resumes paused tasks.
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
            // A runtime that one of its own tasks drops can't wait for that task's thread.
            if thread.thread().id() != current {
                let _ = thread.join();
            }
        }
    }
}

/// Runs tasks until the stop channel closes; checks the pause flag between tasks.
fn run_tasks(
    executor: &Executor<'static>,
    paused: &AtomicBool,
    stopped: &async_channel::Receiver<()>,
) {
    smol::block_on(async {
        while !stopped.is_closed() {
            if paused.load(Ordering::SeqCst) {
                thread::sleep(PAUSE_POLL_INTERVAL);
                continue;
            }
            let stop = async {
                let _ = stopped.recv().await;
            };
            smol::future::or(stop, executor.tick()).await;
        }
    });
}
