/*!
An in-memory object API for tests and examples.

It behaves as the interface specifies (versions, eras, conditional updates, watches, the size limit)
except for injected faults: scripted faults, each for one call of a given method, and random faults drawn
from one seed. Only watches wait, so that tests don't depend on timing.
*/

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Mutex,
    time::Duration,
};

use async_trait::async_trait;
use futures_lite::FutureExt;

use super::{Listing, Object, Objects, StoreEra, StoreError, StoreVersion};

/// Maximum size of an object's contents, as JSON.
pub const MAX_OBJECT_BYTES: usize = 1 << 20;

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

/// A fault of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The call has no effect and is answered with [`StoreError::NotApplied`].
    Refuse,
    /// A write takes effect, and its answer is lost; a read fails.
    LoseAnswer,
    /// A write is lost before it takes effect, with the same error as [`Fault::LoseAnswer`]; a read
    /// fails.
    LoseCall,
    /// The call is answered with [`StoreError::Throttled`].
    Throttle(Duration),
}

/// Probabilities of random faults, each from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FaultRates {
    /// The probability of [`Fault::Refuse`], for any call.
    pub refuse: f64,
    /// The probability of [`Fault::LoseAnswer`], for writes.
    pub lose_answer: f64,
    /// The probability of [`Fault::LoseCall`], for writes.
    pub lose_call: f64,
    /// The probability that a read is answered from an older state.
    pub stale: f64,
    /// The maximum age of a stale answer, as a number of writes.
    pub stale_writes: u64,
}

/// Numbers of calls so far, including failed ones.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallCounts {
    /// Gets and lists.
    pub reads: u64,
    /// Creates, updates and deletes.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
}

/// An in-memory object API.
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
///     let current = store.get("orders", "o1").await.unwrap().unwrap();
///     object.version = current.version;
///     assert_eq!(object, current);
/// });
/// ```
#[derive(Debug)]
pub struct MemoryObjects {
    state: Mutex<State>,
}

impl MemoryObjects {
    /// Creates an empty store whose random faults are drawn from `seed`.
    pub fn new(seed: u64) -> MemoryObjects {
        MemoryObjects {
            state: Mutex::new(State::new(seed)),
        }
    }

    /// Makes one call fail: the one after the next `skip` calls of the method.
    ///
    /// Faults of one method occur in the order in which they were injected; each counts its `skip` from
    /// the previous one.
    pub fn inject_fault(&self, call: Call, skip: usize, fault: Fault) {
        self.lock()
            .script
            .push_back(ScriptedFault { call, skip, fault });
    }

    /// Returns the number of scripted faults that have not occurred yet.
    pub fn pending_faults(&self) -> usize {
        self.lock().script.len()
    }

    /// Sets the probabilities of random faults.
    pub fn set_fault_rates(&self, fault_rates: FaultRates) {
        self.lock().fault_rates = fault_rates;
    }

    /// Starts or ends an outage, during which every call fails with [`StoreError::NotApplied`].
    pub fn set_outage(&self, outage: bool) {
        self.lock().outage = outage;
    }

    /// Takes a copy of all objects, which replaces an earlier copy.
    pub fn copy(&self) {
        let mut state = self.lock();
        state.copy = (state.revision, state.objects.clone());
    }

    /// Restores the objects of the last copy, or no objects if there is none, and begins a new era.
    ///
    /// All writes since the copy are lost, and their revisions are given out again.
    pub fn restore(&self) {
        let mut state = self.lock();
        (state.revision, state.objects) = state.copy.clone();
        state.era += 1;
        state.watchers.clear();
    }

    /// Makes reads lag behind by a number of writes, until it is set back to 0.
    pub fn set_read_lag(&self, writes: u64) {
        self.lock().read_lag = writes;
    }

    /// Replaces an object's contents without a version check, to simulate tampering.
    ///
    /// # Panics
    ///
    /// Panics if there is no such object.
    pub fn tamper(&self, kind: &str, name: &str, spec: serde_json::Value) {
        let mut state = self.lock();
        let current = state
            .current(kind, name)
            .expect("the tampered object exists");
        state.write(kind, name, Some(Object { spec, ..current }));
    }

    /// Returns the numbers of calls so far.
    pub fn call_counts(&self) -> CallCounts {
        self.lock().counts
    }

    /// Returns the names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.lock();
        state
            .list(kind, state.revision)
            .into_iter()
            .map(|object| object.name)
            .collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("the lock is not poisoned")
    }

    /// Executes a write, subject to the fault of this call.
    fn write<F>(&self, call: Call, apply: F) -> Result<StoreVersion, StoreError>
    where
        F: FnOnce(&mut State) -> Result<StoreVersion, StoreError>,
    {
        let mut state = self.lock();
        match state.begin_call(call)? {
            Some(Fault::LoseCall) => Err(answer_lost()),
            Some(Fault::LoseAnswer) => match apply(&mut state) {
                // An answer that reports a conflict is lost as well.
                Ok(_) | Err(StoreError::Conflict { .. }) => Err(answer_lost()),
                Err(err) => Err(err),
            },
            _ => apply(&mut state),
        }
    }

    /// Executes a read, subject to the fault of this call; `read` receives the revision to read at.
    fn read<F, T>(&self, call: Call, read: F) -> Result<T, StoreError>
    where
        F: FnOnce(&State, u64) -> T,
    {
        let mut state = self.lock();
        if state.begin_call(call)?.is_some() {
            return Err(answer_lost());
        }
        let at = state.read_revision();
        Ok(read(&state, at))
    }
}

#[async_trait]
impl Objects for MemoryObjects {
    fn era(&self) -> StoreEra {
        self.lock().era
    }

    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
        self.read(Call::Get, |state, at| state.object_at(kind, name, at))
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
            version: state.version(at),
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
        let found = self.read(Call::Watch, read)?.ok_or(StoreError::Expired)?;
        if !found.is_empty() {
            return Ok(found);
        }
        let changes = async {
            loop {
                let (state_version, changed) = self.lock().subscribe();
                if state_version != since {
                    let state = self.lock();
                    let found = read(&state, state.revision);
                    if found.as_ref().is_none_or(|changes| !changes.is_empty()) {
                        return found;
                    }
                }
                let _ = changed.recv().await;
            }
        };
        let found = changes
            .or(async {
                deadline.await;
                Some(Vec::new())
            })
            .await;
        // An outage interrupts a running watch.
        if self.lock().outage {
            return Err(not_applied("outage"));
        }
        found.ok_or(StoreError::Expired)
    }
}

/// A scripted fault that has not occurred yet.
#[derive(Debug)]
struct ScriptedFault {
    call: Call,
    skip: usize,
    fault: Fault,
}

/// The revision of a write and the object after it, or `None` if the write deleted it.
type Write = (u64, Option<Object>);

/// All writes to each object by kind and name, the oldest first, for stale reads.
type Writes = BTreeMap<(String, String), Vec<Write>>;

#[derive(Debug)]
struct State {
    era: StoreEra,
    revision: u64,
    objects: Writes,
    copy: (u64, Writes),
    watchers: Vec<async_channel::Sender<()>>,
    script: VecDeque<ScriptedFault>,
    fault_rates: FaultRates,
    random: fastrand::Rng,
    outage: bool,
    read_lag: u64,
    counts: CallCounts,
}

impl State {
    fn new(seed: u64) -> State {
        State {
            era: 0,
            revision: 0,
            objects: Writes::new(),
            copy: (0, Writes::new()),
            watchers: Vec::new(),
            script: VecDeque::new(),
            fault_rates: FaultRates::default(),
            random: fastrand::Rng::with_seed(seed),
            outage: false,
            read_lag: 0,
            counts: CallCounts::default(),
        }
    }

    /// Counts a call and returns its fault, if any; faults that reject the call are returned as errors.
    fn begin_call(&mut self, call: Call) -> Result<Option<Fault>, StoreError> {
        match call {
            Call::Get | Call::List => self.counts.reads += 1,
            Call::Watch => self.counts.watches += 1,
            _ => self.counts.writes += 1,
        }
        if self.outage {
            return Err(not_applied("outage"));
        }
        let fault = self
            .scripted_fault(call)
            .or_else(|| self.random_fault(call));
        match fault {
            Some(Fault::Refuse) => Err(not_applied("injected fault")),
            Some(Fault::Throttle(wait)) => Err(StoreError::Throttled { wait }),
            other => Ok(other),
        }
    }

    fn scripted_fault(&mut self, call: Call) -> Option<Fault> {
        let index = self.script.iter().position(|s| s.call == call)?;
        if self.script[index].skip > 0 {
            self.script[index].skip -= 1;
            return None;
        }
        self.script.remove(index).map(|s| s.fault)
    }

    fn random_fault(&mut self, call: Call) -> Option<Fault> {
        let FaultRates {
            refuse,
            lose_answer,
            lose_call,
            ..
        } = self.fault_rates;
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

    /// Returns the revision at which a read is answered.
    fn read_revision(&mut self) -> u64 {
        let mut read_lag = self.read_lag;
        if self.random.f64() < self.fault_rates.stale {
            read_lag = read_lag.max(self.random.u64(0..=self.fault_rates.stale_writes));
        }
        self.revision.saturating_sub(read_lag)
    }

    fn version(&self, revision: u64) -> StoreVersion {
        StoreVersion::new(self.era, revision)
    }

    fn object_at(&self, kind: &str, name: &str, at: u64) -> Option<Object> {
        let writes = self.objects.get(&(kind.to_owned(), name.to_owned()))?;
        self.last_write(writes, at)
    }

    /// Returns an object after its last write until a revision.
    fn last_write(&self, writes: &[Write], at: u64) -> Option<Object> {
        let (revision, object) = writes.iter().rev().find(|(revision, _)| *revision <= at)?;
        Some(Object {
            version: self.version(*revision),
            ..object.clone()?
        })
    }

    fn current(&self, kind: &str, name: &str) -> Option<Object> {
        self.object_at(kind, name, self.revision)
    }

    fn list(&self, kind: &str, at: u64) -> Vec<Object> {
        self.objects
            .iter()
            .filter(|((k, _), _)| k == kind)
            .filter_map(|(_, writes)| self.last_write(writes, at))
            .collect()
    }

    /// Returns the latest change of each object that changed after version `since`, or `None` if the
    /// store does not have that version; a deleted object has a null spec.
    fn changes(&self, kind: &str, since: StoreVersion, at: u64) -> Option<Vec<Object>> {
        if since > self.version(self.revision) || since.era() != self.era {
            return None;
        }
        let changes = self
            .objects
            .iter()
            .filter(|((k, _), _)| k == kind)
            .filter_map(|((_, name), writes)| {
                let (revision, _) = writes.iter().rev().find(|(r, _)| *r <= at)?;
                let deleted = || Object {
                    version: self.version(*revision),
                    ..Object::new(kind, name, serde_json::Value::Null)
                };
                (*revision > since.revision())
                    .then(|| self.last_write(writes, *revision).unwrap_or_else(deleted))
            })
            .collect();
        Some(changes)
    }

    fn check_version(&self, object: &Object) -> Result<(), StoreError> {
        match self.current(&object.kind, &object.name) {
            Some(current) if current.version == object.version => Ok(()),
            _ => Err(conflict(&object.name)),
        }
    }

    fn write(&mut self, kind: &str, name: &str, object: Option<Object>) -> StoreVersion {
        self.revision += 1;
        let revision = self.revision;
        self.objects
            .entry((kind.to_owned(), name.to_owned()))
            .or_default()
            .push((revision, object));
        // Dropping the senders closes the channels, which wakes the watchers.
        self.watchers.clear();
        self.version(revision)
    }

    fn subscribe(&mut self) -> (StoreVersion, async_channel::Receiver<()>) {
        let (sender, receiver) = async_channel::bounded(1);
        self.watchers.retain(|watcher| watcher.receiver_count() > 0);
        self.watchers.push(sender);
        (self.version(self.revision), receiver)
    }
}

fn check_size(object: &Object) -> Result<(), StoreError> {
    let bytes = object.spec.to_string().len();
    if bytes <= MAX_OBJECT_BYTES {
        return Ok(());
    }
    Err(StoreError::Invalid {
        cause: format!("{bytes} bytes are over the limit of {MAX_OBJECT_BYTES}"),
    })
}

fn conflict(name: &str) -> StoreError {
    StoreError::Conflict {
        name: name.to_owned(),
    }
}

fn not_applied(cause: &str) -> StoreError {
    StoreError::NotApplied {
        cause: cause.to_owned(),
    }
}

fn answer_lost() -> StoreError {
    StoreError::Ambiguous {
        cause: "injected fault".to_owned(),
    }
}
