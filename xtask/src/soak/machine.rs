//! A machine: the daemon as a process of its own, proxies around it, and the instance beside it.

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

/// Time after SIGTERM in which a daemon has to end; the settings give it as grace period.
pub const GRACE_PERIOD: Duration = Duration::from_secs(6);

/// Time that a process must run untroubled before it counts as in touch.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Longest time for an answer about readiness.
const READY_TIMEOUT: Duration = Duration::from_millis(500);

/// How often the end of a process is looked for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// One machine.
pub struct Machine {
    /// Its number.
    pub number: usize,
    /// The instance on it.
    pub instance: Rc<Instance>,
    ip: IpAddr,
    name: String,
    program: PathBuf,
    dir: PathBuf,
    process: RefCell<Option<Process>>,
    /// Processes that were started so far.
    start_count: Cell<u32>,
    /// Since when the process runs without a stop or a pause.
    undisturbed_since: Cell<Option<Instant>>,
    proxies: [Proxy; 3],
    _server: Server,
}

impl Machine {
    /// Lays a machine out and starts its instance; the daemon is not started yet.
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

    /// Where clients reach the daemon, past the proxy or through it.
    pub fn clients(&self, is_direct: bool) -> SocketAddr {
        let port = if is_direct {
            wire::CLIENTS_PORT
        } else {
            wire::CLIENTS_PROXY_PORT
        };
        SocketAddr::new(self.ip, port)
    }

    /// The proxy of a link.
    pub fn proxy(&self, link: Link) -> &Proxy {
        match link {
            Link::Clients => &self.proxies[0],
            Link::Instance => &self.proxies[1],
            Link::Store => &self.proxies[2],
        }
    }

    /// Number of the present process.
    pub fn process_number(&self) -> u32 {
        self.start_count.get()
    }

    /// Whether the process has run for a while without trouble that was done to it.
    pub fn is_settled(&self) -> bool {
        self.undisturbed_since
            .get()
            .is_some_and(|since| since.elapsed() > SETTLE_TIME)
    }

    /// Starts the daemon.
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

    /// Sends the process a signal; one that has ended gets none.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        match &mut *self.process.borrow_mut() {
            Some(process) => process.signal(signal),
            None => Ok(()),
        }
    }

    /// Stops the process for a while.
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

    /// Kills the process and starts another one.
    pub fn kill(&self) -> Result<()> {
        self.undisturbed_since.set(None);
        let Some(process) = self.process.take() else {
            return Ok(());
        };
        process.kill();
        self.start()
    }

    /// Asks the process to end; returns how long that took, or nothing where another restart is under
    /// way.
    pub async fn stop(&self) -> Result<Option<Duration>> {
        self.undisturbed_since.set(None);
        let Some(mut process) = self.process.take() else {
            return Ok(None);
        };
        let since = Instant::now();
        process.signal(Signal::Terminate)?;
        while process.exit_status().is_none() && since.elapsed() < GRACE_PERIOD * 2 {
            monoio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(Some(since.elapsed()))
    }

    /// Whether the daemon says that it is ready.
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
