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
use crate::soak::instance::Seen;
use crate::soak::plan::Link;
use crate::soak::proxy::Proxy;
use crate::soak::wire;

/// Time after SIGTERM in which a daemon has to end; the settings give it as grace period.
pub const GRACE: Duration = Duration::from_secs(6);

/// Time that a process must run untroubled before it counts as in touch.
const SETTLED: Duration = Duration::from_secs(3);

/// Longest time for an answer about readiness.
const READY_TIME: Duration = Duration::from_millis(500);

/// How often the end of a process is looked for.
const POLL: Duration = Duration::from_millis(20);

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
    started: Cell<u32>,
    /// Since when the process runs without a stop or a pause.
    steady: Cell<Option<Instant>>,
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
        seen: &Rc<Seen>,
    ) -> Result<Self> {
        let name = format!("machine-{number}");
        let kind = match number % 4 {
            0 => (wire::KEPT, wire::OLD_VERSION),
            3 => (wire::MOVED, wire::NEW_VERSION),
            _ => (wire::MOVED, wire::OLD_VERSION),
        };
        let at = |port: u16| SocketAddr::new(ip, port);
        let (reached, control) = (at(wire::INSTANCE_PROXY), at(wire::CONTROL));
        let draws = u64::try_from(number).unwrap_or(0);
        let instance = Rc::new(Instance::new(
            kind,
            reached,
            control,
            Rc::clone(seen),
            draws,
        ));
        let broken = |e: io::Error| TaskError::Io(format!("{name} at {ip}"), e);
        let listener = http_edge::listen(at(wire::INSTANCE)).map_err(broken)?;
        let server = Server::start(listener, Rc::clone(&instance), ServerCfg::default());
        let proxy = |from: u16, to: SocketAddr| Proxy::start(at(from), to).map_err(broken);
        let proxies = [
            proxy(wire::CLIENTS_PROXY, at(wire::CLIENTS))?,
            proxy(wire::INSTANCE_PROXY, at(wire::INSTANCE))?,
            proxy(wire::STORE, store)?,
        ];
        let settings = wire::settings(&name, ip, &format!("zone-{}", number % 3), kind.0);
        let path = dir.join(format!("{name}.yaml"));
        std::fs::write(&path, settings)
            .map_err(|e| TaskError::Io(path.display().to_string(), e))?;
        monoio::spawn(Rc::clone(&instance).tell());
        Ok(Self {
            number,
            instance,
            ip,
            name,
            program: program.to_owned(),
            dir: dir.to_owned(),
            process: RefCell::default(),
            started: Cell::new(0),
            steady: Cell::new(None),
            proxies,
            _server: server,
        })
    }

    /// Where clients reach the daemon, past the proxy or through it.
    pub fn clients(&self, is_direct: bool) -> SocketAddr {
        let port = if is_direct {
            wire::CLIENTS
        } else {
            wire::CLIENTS_PROXY
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
        self.started.get()
    }

    /// Whether the process has run for a while without trouble that was done to it.
    pub fn is_in_touch(&self) -> bool {
        self.steady
            .get()
            .is_some_and(|since| since.elapsed() > SETTLED)
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
        self.started.set(self.started.get() + 1);
        self.steady.set(Some(Instant::now()));
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
        self.steady.set(None);
        self.signal(Signal::Stop)?;
        monoio::time::sleep(time).await;
        if self.process_number() == process {
            self.signal(Signal::Continue)?;
            self.steady.set(Some(Instant::now()));
        }
        Ok(())
    }

    /// Kills the process and starts another one.
    pub fn kill(&self) -> Result<()> {
        self.steady.set(None);
        let Some(process) = self.process.take() else {
            return Ok(());
        };
        process.kill();
        self.start()
    }

    /// Asks the process to end; returns how long that took, or nothing where another restart is under
    /// way.
    pub async fn stop(&self) -> Result<Option<Duration>> {
        self.steady.set(None);
        let Some(mut process) = self.process.take() else {
            return Ok(None);
        };
        let since = Instant::now();
        process.signal(Signal::Terminate)?;
        while process.ended().is_none() && since.elapsed() < GRACE * 2 {
            monoio::time::sleep(POLL).await;
        }
        Ok(Some(since.elapsed()))
    }

    /// Whether the daemon says that it is ready.
    pub async fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.ip, wire::READY);
        let Ok(mut conn) = Conn::connect(address, READY_TIME, Limits::default()).await else {
            return false;
        };
        let answered = conn.call(Request::get(wire::READY_PATH), READY_TIME).await;
        answered.is_ok_and(|res| res.status == StatusCode::OK)
    }
}
