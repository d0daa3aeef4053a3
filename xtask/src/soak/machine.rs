//! A simulated machine: a daemon process, the proxies around it, and the instance next to it.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use http_edge::Conn;
use http_edge::Limits;
use http_edge::Request;
use http_edge::Server;
use http_edge::ServerCfg;

use crate::error::Result;
use crate::error::TaskError;
use crate::process::Process;
use crate::process::Signal;
use crate::soak::instance::Instance;
use crate::soak::instance::Shared;
use crate::soak::plan::Link;
use crate::soak::proxy::Proxy;
use crate::soak::wire;

/// Time after SIGTERM in which a daemon must exit; equals `Grace` in the settings of the daemons.
pub const GRACE_PERIOD: Duration = Duration::from_secs(6);

/// Time that a process must run undisturbed before it counts as settled.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Timeout of a readiness request.
const READY_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval at which a stopping process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A machine with its own loopback address.
pub struct Machine {
    /// Number of the machine, from 0.
    pub number: usize,
    /// Instance on the machine.
    pub instance: Rc<Instance>,
    ip: IpAddr,
    name: String,
    program: PathBuf,
    dir: PathBuf,
    process: RefCell<Option<Process>>,
    /// Number of daemon processes started so far.
    start_count: Cell<u32>,
    /// Time since which the process has run without a stop or pause.
    undisturbed_since: Cell<Option<Instant>>,
    proxies: [Proxy; 3],
    _server: Server,
}

impl Machine {
    /// Starts the instance and the proxies of a machine and writes the daemon's settings. The
    /// daemon is started by [`Machine::start`].
    pub fn new(
        number: usize,
        ip: IpAddr,
        store: SocketAddr,
        (program, dir): (&Path, &Path),
        shared: &Rc<Shared>,
    ) -> Result<Self> {
        let name = format!("machine-{number}");
        let kind = match number % 4 {
            0 => (wire::OTHER_SERVICE, wire::OLD_VERSION),
            3 => (wire::ROLLOUT_SERVICE, wire::NEW_VERSION),
            _ => (wire::ROLLOUT_SERVICE, wire::OLD_VERSION),
        };
        let at = |port: u16| SocketAddr::new(ip, port);
        let (instance_addr, control) = (at(wire::INSTANCE_PROXY_PORT), at(wire::CONTROL_PORT));
        let seed = u64::try_from(number).unwrap_or(0);
        let instance = Rc::new(Instance::new(
            kind,
            instance_addr,
            control,
            Rc::clone(shared),
            seed,
        ));
        let io_error = |e: io::Error| TaskError::Io(format!("{name} at {ip}"), e);
        let listener = http_edge::listen(at(wire::INSTANCE_PORT)).map_err(io_error)?;
        let server = Server::start(listener, Rc::clone(&instance), ServerCfg::default());
        let proxy = |from: u16, to: SocketAddr| Proxy::start(at(from), to).map_err(io_error);
        let proxies = [
            proxy(wire::CLIENTS_PROXY_PORT, at(wire::CLIENTS_PORT))?,
            proxy(wire::INSTANCE_PROXY_PORT, at(wire::INSTANCE_PORT))?,
            proxy(wire::STORE_PORT, store)?,
        ];
        let settings = wire::settings(&name, ip, &format!("zone-{}", number % 3), kind.0);
        let path = dir.join(format!("{name}.yaml"));
        std::fs::write(&path, settings)
            .map_err(|e| TaskError::Io(path.display().to_string(), e))?;
        monoio::spawn(Rc::clone(&instance).run_heartbeats());
        Ok(Self {
            number,
            instance,
            ip,
            name,
            program: program.to_owned(),
            dir: dir.to_owned(),
            process: RefCell::default(),
            start_count: Cell::new(0),
            undisturbed_since: Cell::new(None),
            proxies,
            _server: server,
        })
    }

    /// Returns the address at which clients reach the daemon, directly or through the proxy.
    pub fn clients_addr(&self, is_direct: bool) -> SocketAddr {
        let port = if is_direct {
            wire::CLIENTS_PORT
        } else {
            wire::CLIENTS_PROXY_PORT
        };
        SocketAddr::new(self.ip, port)
    }

    /// Returns the proxy of a link.
    pub fn proxy(&self, link: Link) -> &Proxy {
        match link {
            Link::Clients => &self.proxies[0],
            Link::Instance => &self.proxies[1],
            Link::Store => &self.proxies[2],
        }
    }

    /// Returns the number of the current daemon process, from 1; 0 before the first start.
    pub fn process_number(&self) -> u32 {
        self.start_count.get()
    }

    /// Returns whether the process has run for [`SETTLE_TIME`] without an injected stop or pause.
    pub fn is_settled(&self) -> bool {
        self.undisturbed_since
            .get()
            .is_some_and(|since| since.elapsed() > SETTLE_TIME)
    }

    /// Starts the daemon process.
    pub fn start(&self) -> Result<()> {
        let mut command = Command::new(&self.program);
        command.env(
            wire::SETTINGS_VARIABLE,
            self.dir.join(format!("{}.yaml", self.name)),
        );
        let process = Process::spawn(&self.name, command, &self.dir)?;
        *self.process.borrow_mut() = Some(process);
        self.start_count.set(self.start_count.get() + 1);
        self.undisturbed_since.set(Some(Instant::now()));
        Ok(())
    }

    /// Sends a signal to the process, if it runs.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        match &mut *self.process.borrow_mut() {
            Some(process) => process.signal(signal),
            None => Ok(()),
        }
    }

    /// Suspends the process for `time` with SIGSTOP and SIGCONT.
    pub async fn pause(&self, time: Duration) -> Result<()> {
        let process = self.process_number();
        self.undisturbed_since.set(None);
        self.signal(Signal::Stop)?;
        monoio::time::sleep(time).await;
        if self.process_number() == process {
            self.signal(Signal::Continue)?;
            self.undisturbed_since.set(Some(Instant::now()));
        }
        Ok(())
    }

    /// Kills the process and starts a new one.
    pub fn kill(&self) -> Result<()> {
        self.undisturbed_since.set(None);
        let Some(process) = self.process.take() else {
            return Ok(());
        };
        process.kill();
        self.start()
    }

    /// Sends SIGTERM and waits for the exit; returns the time that it took, or `None` if another
    /// restart is in progress.
    pub async fn stop(&self) -> Result<Option<Duration>> {
        self.undisturbed_since.set(None);
        let Some(mut process) = self.process.take() else {
            return Ok(None);
        };
        let since = Instant::now();
        process.signal(Signal::Terminate)?;
        // A suspended process acts on the signal once it goes on, and is no longer found by the pause.
        process.signal(Signal::Continue)?;
        while process.exit_status().is_none() && since.elapsed() < GRACE_PERIOD * 2 {
            monoio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(Some(since.elapsed()))
    }

    /// Starts a new process if the present one has ended by itself; returns whether it had.
    pub fn restart_if_ended(&self) -> Result<bool> {
        let has_ended = |process: &mut Process| process.exit_status().is_some();
        let has_ended = self.process.borrow_mut().as_mut().is_some_and(has_ended);
        if has_ended {
            self.undisturbed_since.set(None);
            self.start()?;
        }
        Ok(has_ended)
    }

    /// Returns whether the daemon reports that it is ready.
    pub async fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.ip, wire::READY_PORT);
        let Ok(mut conn) = Conn::connect(address, READY_TIMEOUT, Limits::default()).await else {
            return false;
        };
        let answered = conn
            .call(Request::get(wire::READY_PATH), READY_TIMEOUT)
            .await;
        answered.is_ok_and(|res| res.status == StatusCode::OK)
    }
}
