/*!
An object API in memory, for tests and examples.

It keeps the interface's promises (versions, conditional updates, watches, the size limit) and
breaks them only as told: by scripted faults that hit one named call, and by random faults drawn
from one seed. It waits for nothing but a watch, so that tests need no timing.
*/

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Mutex,
    time::Duration,
};

use async_trait::async_trait;
use futures_lite::FutureExt;

use super::{Listing, Object, Objects, StoreError, StoreVersion};

/// The largest object that is taken, in bytes of JSON.
pub const OBJECT_LIMIT: usize = 1 << 20;

/// A method of the object API.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Call {
    /// [`Objects::get`].
    Get,
    /// [`Objects::create`].
    Create,
    /// [`Objects::update`].
    Update,
    /// [`Objects::delete`].
    Delete,
    /// [`Objects::list`].
    List,
    /// [`Objects::watch`].
    Watch,
}

impl Call {
    /// Reports whether the call changes an object.
    pub fn is_write(self) -> bool {
        matches!(self, Call::Create | Call::Update | Call::Delete)
    }
}

/// What goes wrong with a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The call has no effect and is answered with [`StoreError::NotApplied`].
    Refuse,
    /// A write takes effect and its answer is lost; a read fails.
    LoseAnswer,
    /// A write is lost before it takes effect, and the writer can't tell; a read fails.
    LoseCall,
    /// The call is answered with [`StoreError::Throttled`].
    Throttle(Duration),
}

/// FaultRates of random faults, each from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FaultRates {
    /// Of [`Fault::Refuse`], for any call.
    pub refuse: f64,
    /// Of [`Fault::LoseAnswer`], for writes.
    pub lose_answer: f64,
    /// Of [`Fault::LoseCall`], for writes.
    pub lose_call: f64,
    /// Of a read that is answered from an old state.
    pub stale: f64,
    /// How many writes old a stale answer is at most.
    pub stale_writes: u64,
}

/// Calls that were answered or failed so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallCounts {
    /// Gets and lists.
    pub reads: u64,
    /// Creates, updates and deletes.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
}

/// An object API in memory.
///
/// # Examples
///
/// ```
/// use cassiareel::store::{Call, Fault, MemoryObjects, Object, Objects, StoreError};
///
/// smol::block_on(async {
///     let store = MemoryObjects::new(1);
///     let mut object = Object::new("orders", "o1", serde_json::json!({"state": "sent"}));
///     store.inject_fault(Call::Create, 0, Fault::LoseAnswer);
///     assert!(matches!(store.create(&object).await, Err(StoreError::Ambiguous { .. })));
///     let kept = store.get("orders", "o1").await.unwrap().unwrap();
///     object.version = kept.version;
///     assert_eq!(object, kept);
/// });
/// ```
#[derive(Debug)]
pub struct MemoryObjects {
    state: Mutex<State>,
}

impl MemoryObjects {
    /// An empty store whose random faults come from `seed`.
    pub fn new(seed: u64) -> MemoryObjects {
        MemoryObjects {
            state: Mutex::new(State::new(seed)),
        }
    }

    /// Lets one call fail: the one after the next `skip` calls of its method.
    ///
    /// Faults of one method are taken in the order in which they were given, each counting its
    /// `skip` from the one before.
    pub fn inject_fault(&self, call: Call, skip: usize, fault: Fault) {
        self.lock().script.push_back(Scripted { call, skip, fault });
    }

    /// Scripted faults that no call has met yet.
    pub fn pending_faults(&self) -> usize {
        self.lock().script.len()
    }

    /// Sets the chances of random faults.
    pub fn set_fault_rates(&self, chances: FaultRates) {
        self.lock().chances = chances;
    }

    /// Starts or ends an outage, in which each call fails as [`StoreError::NotApplied`].
    pub fn set_outage(&self, outage: bool) {
        self.lock().outage = outage;
    }

    /// Answers reads from the state `writes` writes ago, until set back to 0.
    pub fn set_read_lag(&self, writes: u64) {
        self.lock().lag = writes;
    }

    /// Replaces an object's contents behind every writer's back, as a tampering hand would.
    ///
    /// # Panics
    ///
    /// Panics when there is no such object.
    pub fn tamper(&self, kind: &str, name: &str, spec: serde_json::Value) {
        let mut state = self.lock();
        let kept = state
            .current(kind, name)
            .expect("a test tampers with an object that exists");
        state.write(kind, name, Some(Object { spec, ..kept }));
    }

    /// Calls so far.
    pub fn call_counts(&self) -> CallCounts {
        self.lock().counts
    }

    /// Names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.lock();
        state
            .list(kind, state.version)
            .into_iter()
            .map(|object| object.name)
            .collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Carries a write out under the fault that meets it.
    fn write<F>(&self, call: Call, apply: F) -> Result<StoreVersion, StoreError>
    where
        F: FnOnce(&mut State) -> Result<StoreVersion, StoreError>,
    {
        let mut state = self.lock();
        match state.enter(call)? {
            Some(Fault::LoseCall) => Err(lost()),
            Some(Fault::LoseAnswer) => match apply(&mut state) {
                // An answer that would have said "conflict" is lost as well.
                Ok(_) | Err(StoreError::Conflict { .. }) => Err(lost()),
                Err(err) => Err(err),
            },
            _ => apply(&mut state),
        }
    }

    /// Carries a read out under the fault that meets it; `read` gets the version to read at.
    fn read<F, T>(&self, call: Call, read: F) -> Result<T, StoreError>
    where
        F: FnOnce(&State, StoreVersion) -> T,
    {
        let mut state = self.lock();
        if state.enter(call)?.is_some() {
            return Err(lost());
        }
        let at = state.read_version();
        Ok(read(&state, at))
    }
}

#[async_trait]
impl Objects for MemoryObjects {
    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
        self.read(Call::Get, |state, at| state.at(kind, name, at))
    }

    async fn create(&self, object: &Object) -> Result<StoreVersion, StoreError> {
        check_size(object)?;
        self.write(Call::Create, |state| {
            if state.current(&object.kind, &object.name).is_some() {
                return Err(conflict(&object.name));
            }
            Ok(state.write(&object.kind, &object.name, Some(object.clone())))
        })
    }

    async fn update(&self, object: &Object) -> Result<StoreVersion, StoreError> {
        check_size(object)?;
        self.write(Call::Update, |state| {
            state.check_version(object)?;
            Ok(state.write(&object.kind, &object.name, Some(object.clone())))
        })
    }

    async fn delete(&self, object: &Object) -> Result<(), StoreError> {
        self.write(Call::Delete, |state| {
            state.check_version(object)?;
            Ok(state.write(&object.kind, &object.name, None))
        })
        .map(drop)
    }

    async fn list(&self, kind: &str) -> Result<Listing, StoreError> {
        self.read(Call::List, |state, at| Listing {
            objects: state.list(kind, at),
            version: at,
        })
    }

    async fn watch(
        &self,
        kind: &str,
        since: StoreVersion,
        wait: Duration,
    ) -> Result<Vec<Object>, StoreError> {
        let read = |state: &State, at| state.changes(kind, since, at);
        let deadline = smol::Timer::after(wait);
        let found = self.read(Call::Watch, read)?;
        if !found.is_empty() {
            return Ok(found);
        }
        let changes = async {
            loop {
                let (state_version, changed) = self.lock().subscribe();
                if state_version > since {
                    let state = self.lock();
                    let found = read(&state, state.version);
                    if !found.is_empty() {
                        return found;
                    }
                }
                let _ = changed.recv().await;
            }
        };
        let found = changes
            .or(async {
                deadline.await;
                Vec::new()
            })
            .await;
        // A watch that an outage meets is cut, not answered.
        if self.lock().outage {
            return Err(refused("outage"));
        }
        Ok(found)
    }
}

/// A fault that waits for its call.
#[derive(Debug)]
struct Scripted {
    call: Call,
    skip: usize,
    fault: Fault,
}

/// What an object was after a write; none where it was deleted.
type Write = (StoreVersion, Option<Object>);

#[derive(Debug)]
struct State {
    version: StoreVersion,
    // All writes of each object, oldest first, for stale reads.
    objects: BTreeMap<(String, String), Vec<Write>>,
    waiting: Vec<async_channel::Sender<()>>,
    script: VecDeque<Scripted>,
    chances: FaultRates,
    random: fastrand::Rng,
    outage: bool,
    lag: u64,
    counts: CallCounts,
}

impl State {
    fn new(seed: u64) -> State {
        State {
            version: 0,
            objects: BTreeMap::new(),
            waiting: Vec::new(),
            script: VecDeque::new(),
            chances: FaultRates::default(),
            random: fastrand::Rng::with_seed(seed),
            outage: false,
            lag: 0,
            counts: CallCounts::default(),
        }
    }

    /// CallCounts a call and finds the fault that meets it; faults that refuse it are errors.
    fn enter(&mut self, call: Call) -> Result<Option<Fault>, StoreError> {
        match call {
            Call::Get | Call::List => self.counts.reads += 1,
            Call::Watch => self.counts.watches += 1,
            _ => self.counts.writes += 1,
        }
        if self.outage {
            return Err(refused("outage"));
        }
        let fault = self.scripted(call).or_else(|| self.drawn(call));
        match fault {
            Some(Fault::Refuse) => Err(refused("injected fault")),
            Some(Fault::Throttle(wait)) => Err(StoreError::Throttled { wait }),
            other => Ok(other),
        }
    }

    fn scripted(&mut self, call: Call) -> Option<Fault> {
        let index = self.script.iter().position(|s| s.call == call)?;
        if self.script[index].skip > 0 {
            self.script[index].skip -= 1;
            return None;
        }
        self.script.remove(index).map(|s| s.fault)
    }

    fn drawn(&mut self, call: Call) -> Option<Fault> {
        let FaultRates {
            refuse,
            lose_answer,
            lose_call,
            ..
        } = self.chances;
        let draw = self.random.f64();
        if draw < refuse {
            return Some(Fault::Refuse);
        }
        if !call.is_write() {
            return None;
        }
        if draw < refuse + lose_answer {
            return Some(Fault::LoseAnswer);
        }
        (draw < refuse + lose_answer + lose_call).then_some(Fault::LoseCall)
    }

    /// The version at which a read is answered.
    fn read_version(&mut self) -> StoreVersion {
        let mut lag = self.lag;
        if self.random.f64() < self.chances.stale {
            lag = lag.max(self.random.u64(0..=self.chances.stale_writes));
        }
        self.version.saturating_sub(lag)
    }

    fn at(&self, kind: &str, name: &str, at: StoreVersion) -> Option<Object> {
        let writes = self.objects.get(&(kind.to_owned(), name.to_owned()))?;
        last_write(writes, at)
    }

    fn current(&self, kind: &str, name: &str) -> Option<Object> {
        self.at(kind, name, self.version)
    }

    fn list(&self, kind: &str, at: StoreVersion) -> Vec<Object> {
        self.objects
            .iter()
            .filter(|((k, _), _)| k == kind)
            .filter_map(|(_, writes)| last_write(writes, at))
            .collect()
    }

    /// The last changes of objects after a version; a deleted one has a null spec.
    fn changes(&self, kind: &str, since: StoreVersion, at: StoreVersion) -> Vec<Object> {
        self.objects
            .iter()
            .filter(|((k, _), _)| k == kind)
            .filter_map(|((_, name), writes)| {
                let (version, object) = writes.iter().rev().find(|(v, _)| *v <= at)?;
                let deleted = || Object {
                    version: *version,
                    ..Object::new(kind, name, serde_json::Value::Null)
                };
                (*version > since).then(|| object.clone().unwrap_or_else(deleted))
            })
            .collect()
    }

    fn check_version(&self, object: &Object) -> Result<(), StoreError> {
        match self.current(&object.kind, &object.name) {
            Some(kept) if kept.version == object.version => Ok(()),
            _ => Err(conflict(&object.name)),
        }
    }

    fn write(&mut self, kind: &str, name: &str, object: Option<Object>) -> StoreVersion {
        self.version += 1;
        let version = self.version;
        let object = object.map(|object| Object { version, ..object });
        self.objects
            .entry((kind.to_owned(), name.to_owned()))
            .or_default()
            .push((version, object));
        // Closing the channels wakes the watchers.
        self.waiting.clear();
        version
    }

    fn subscribe(&mut self) -> (StoreVersion, async_channel::Receiver<()>) {
        let (sender, receiver) = async_channel::bounded(1);
        self.waiting.retain(|waiting| waiting.receiver_count() > 0);
        self.waiting.push(sender);
        (self.version, receiver)
    }
}

fn last_write(writes: &[Write], at: StoreVersion) -> Option<Object> {
    let (_, object) = writes.iter().rev().find(|(version, _)| *version <= at)?;
    object.clone()
}

fn check_size(object: &Object) -> Result<(), StoreError> {
    let bytes = object.spec.to_string().len();
    if bytes <= OBJECT_LIMIT {
        return Ok(());
    }
    Err(StoreError::Invalid {
        cause: format!("{bytes} bytes are over the limit of {OBJECT_LIMIT}"),
    })
}

fn conflict(name: &str) -> StoreError {
    StoreError::Conflict {
        name: name.to_owned(),
    }
}

fn refused(cause: &str) -> StoreError {
    StoreError::NotApplied {
        cause: cause.to_owned(),
    }
}

fn lost() -> StoreError {
    StoreError::Ambiguous {
        cause: "injected fault".to_owned(),
    }
}
