//! The project's program as a process, and the platform's watch over its memory.

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU16, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::record::Record;

/// Has the kernel send a process the signal in the second argument when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;
const SIGHUP: i32 = 1;

extern "C" {
    fn prctl(option: i32, arg2: u64, arg3: u64, arg4: u64, arg5: u64) -> i32;
    fn kill(id: i32, signal: i32) -> i32;
}

/// How often the platform looks at a process.
const WATCH_INTERVAL: Duration = Duration::from_millis(5);

/// The delay after which a process that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// A node.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Child>,
    is_over: AtomicBool,
    /// How often the process was killed since it exceeded its memory.
    pub memory_kills: AtomicU64,
    /// How often the process ended otherwise.
    pub ends: AtomicU64,
    /// The most memory of the process, in KiB.
    pub peak_kib: AtomicU64,
    memory_mb: u64,
    record: Arc<Record>,
}

/// The first port for nodes, below those that the kernel gives to connections, and the ports of a process.
const FIRST_PORT: u16 = 10_000;
const PORTS_PER_PROCESS: u16 = 100;
const PROCESS_SLOTS: u32 = 200;

/// The number of ports that this process has tried.
static TRIED_PORTS: AtomicU16 = AtomicU16::new(0);

/// Returns an address at which nothing listens.
pub fn free_address() -> SocketAddr {
    let process = (std::process::id() % PROCESS_SLOTS) as u16;
    loop {
        let offset = TRIED_PORTS.fetch_add(1, Ordering::Relaxed) % PORTS_PER_PROCESS;
        let port = FIRST_PORT + process * PORTS_PER_PROCESS + offset;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return SocketAddr::from(([127, 0, 0, 1], port));
        }
    }
}

impl Node {
    /// Starts a node whose process may use `memory_mb` of memory.
    pub fn start(
        name: &str,
        zone: &str,
        memory_mb: u64,
        store: SocketAddr,
        folder: &Path,
        record: &Arc<Record>,
    ) -> Arc<Node> {
        let [front, ready, metrics, peers] = std::array::from_fn(|_| free_address());
        let settings = folder.join(format!("{name}.toml"));
        let text = format!(
            "[node]\nname = \"{name}\"\ndata_centre = \"{zone}\"\nbootstrap = true\n\
             [listen]\nfront = \"{front}\"\nready = \"{ready}\"\nmetrics = \"{metrics}\"\npeers = \"{peers}\"\n\
             [limits]\nmemory_mb = {memory_mb}\nmax_fds = 4100\n[store]\naddress = \"{store}\"\n\
             [bounds]\ngrace_s = 8\nconfig_apply_ms = 2000\ndrain_ms = 2000\nrevoke_ms = 5000\n\
             retry_ratio = 0.8\nretry_window_s = 10\nretry_slack = 150\nexposure_share = 0.1\nexposure_slack = 50\n"
        );
        fs::write(&settings, text).expect("the settings can be written");
        let program = PathBuf::from("target/release/cassiareel-platform");
        let log = folder.join(format!("{name}.log"));
        let child = spawn(&program, &settings, &log);
        let node = Arc::new(Node {
            name: name.to_owned(),
            front,
            ready,
            program,
            settings,
            log,
            child: Mutex::new(child),
            is_over: AtomicBool::new(false),
            memory_kills: AtomicU64::new(0),
            ends: AtomicU64::new(0),
            peak_kib: AtomicU64::new(0),
            memory_mb,
            record: record.clone(),
        });
        let watched = node.clone();
        thread::spawn(move || watched.watch());
        node
    }

    /// Waits until the node is ready; returns `false` if it is not within a while.
    pub fn wait_ready(&self) -> bool {
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(20) {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Kills the process, which is started again after a short delay.
    pub fn kill(&self) {
        self.record.say(&format!("{} is killed", self.name));
        let _ = self.child.lock().unwrap().kill();
    }

    /// Changes the settings file, and sends SIGHUP.
    pub fn change_settings(&self, old: &str, new: &str) {
        let text = fs::read_to_string(&self.settings).unwrap_or_default();
        let _ = fs::write(&self.settings, text.replace(old, new));
        let id = self.child.lock().unwrap().id();
        // SAFETY: the call takes plain numbers; the process is a child of this one.
        let _ = unsafe { kill(id as i32, SIGHUP) };
        self.record.say(&format!(
            "the settings of {} change: {new}; SIGHUP",
            self.name
        ));
    }

    /// Returns the last line of the log that contains a text.
    pub fn last_line(&self, text: &str) -> Option<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines()
            .rfind(|line| line.contains(text))
            .map(str::to_owned)
    }

    /// Returns whether it is ready, by the balancer's check.
    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.ready) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let request = b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let mut answer = [0; 12];
        stream.write_all(request).is_ok()
            && stream.read_exact(&mut answer).is_ok()
            && answer.ends_with(b"200")
    }

    /// Ends the process for good.
    pub fn end(&self) {
        self.is_over.store(true, Ordering::SeqCst);
        let mut child = self.child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Takes `bootstrap` out of the settings: it is true only when the whole system starts first.
    fn end_bootstrap(&self) {
        let text = fs::read_to_string(&self.settings).unwrap_or_default();
        let _ = fs::write(&self.settings, text.replace("bootstrap = true\n", ""));
    }

    /// Does what the platform does: kills a process that exceeds its memory, and starts one again
    /// that has ended.
    fn watch(&self) {
        while !self.is_over.load(Ordering::SeqCst) {
            thread::sleep(WATCH_INTERVAL);
            let mut child = self.child.lock().unwrap();
            if self.is_over.load(Ordering::SeqCst) {
                return;
            }
            let kib = resident_kib(child.id());
            self.peak_kib.fetch_max(kib, Ordering::Relaxed);
            let exceeds = kib > self.memory_mb * 1024;
            if exceeds {
                self.memory_kills.fetch_add(1, Ordering::Relaxed);
                self.record.say(&format!(
                    "{} uses {} MiB, more than {} MiB: the platform kills it",
                    self.name,
                    kib / 1024,
                    self.memory_mb
                ));
                let _ = child.kill();
                let _ = child.wait();
            } else if !matches!(child.try_wait(), Ok(None)) {
                self.ends.fetch_add(1, Ordering::Relaxed);
                self.record
                    .say(&format!("{} has ended by itself", self.name));
            } else {
                continue;
            }
            thread::sleep(RESTART_DELAY);
            if !self.is_over.load(Ordering::SeqCst) {
                self.end_bootstrap();
                *child = spawn(&self.program, &self.settings, &self.log);
            }
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.end();
    }
}

fn spawn(program: &Path, settings: &Path, log: &Path) -> Child {
    let log = fs::File::options().create(true).append(true).open(log);
    let log = log.expect("the log can be written");
    let errors = log.try_clone().unwrap();
    let mut command = Command::new(program);
    command
        .env("CASSIAREEL_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors);
    // SAFETY: the call takes plain numbers and touches no memory.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
            Ok(())
        });
    }
    command.spawn().expect("the program starts; build it first")
}

/// Returns the memory of a process, in KiB; 0 if it has ended.
fn resident_kib(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().split(' ').next()?.parse().ok())
        .unwrap_or(0)
}
