//! Instances that a task runs on this machine, and their addresses.

use std::collections::BTreeSet;
use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use base::DaemonId;
use base::ServiceName;
use base::TicketNumber;
use base::VersionName;
use base::ZoneName;
use settings::Settings;
use smol_str::format_smolstr;

use crate::client;
use crate::error::Result;
use crate::error::TaskError;
use crate::process::Interrupt;
use crate::process::Process;
use crate::process::end_all;
use crate::steps::Build;
use crate::steps::root;

const LOG_HOST: u8 = 1;
const FIRST_HOST: u8 = 10;
const LOG_PORT: u16 = 7000;
const CALLS_PORT: u16 = 7100;
const PEERS_PORT: u16 = 7101;
const LOCAL_PORT: u16 = 7102;
const UPSTREAM_PORT: u16 = 8080;

/// Longest time that a process may take to listen.
const START_PATIENCE: Duration = Duration::from_secs(10);

/// Longest time that the processes may take to end.
const END_PATIENCE: Duration = Duration::from_secs(8);

/// Longest time until all daemons know each other.
pub const JOIN_PATIENCE: Duration = Duration::from_secs(15);

/// Longest time until a ticket is in force everywhere.
const IN_FORCE_PATIENCE: Duration = Duration::from_secs(7);

/// One instance: a daemon and the upstream beside it.
#[derive(Debug, Clone)]
pub struct Instance {
    /// Name of the daemon.
    pub daemon: DaemonId,
    /// Zone of both.
    pub zone: ZoneName,
    /// Service of the upstream.
    pub service: ServiceName,
    /// Version of the upstream.
    pub version: VersionName,
    ip: Ipv4Addr,
}

/// A network of the loopback interface that no other task on the machine uses.
#[derive(Debug, Clone, Copy)]
pub struct Net([u8; 3]);

impl Net {
    /// The network of this process.
    pub fn own() -> Self {
        let [_, _, high, low] = std::process::id().to_be_bytes();
        // The top bit keeps clear of the networks that people use by hand.
        Self([127, high | 0x80, low])
    }

    fn host(self, host: u8) -> Ipv4Addr {
        let Self([a, b, c]) = self;
        Ipv4Addr::new(a, b, c, host)
    }
}

impl Instance {
    /// The instance with this number, counted from 0.
    pub fn new(net: Net, number: u8, zone: &str, service: &str, version: &str) -> Self {
        Self {
            daemon: format_smolstr!("{zone}-{service}-{version}-{number}"),
            zone: zone.into(),
            service: service.into(),
            version: version.into(),
            ip: net.host(FIRST_HOST + number),
        }
    }

    /// Where the daemon takes calls.
    pub fn calls(&self) -> SocketAddr {
        (self.ip, CALLS_PORT).into()
    }

    /// Where the daemon takes the inner protocol.
    pub fn peers(&self) -> SocketAddr {
        (self.ip, PEERS_PORT).into()
    }

    /// Where the daemon tells its status.
    pub fn local(&self) -> SocketAddr {
        (self.ip, LOCAL_PORT).into()
    }

    /// Where the upstream listens.
    pub fn upstream(&self) -> SocketAddr {
        (self.ip, UPSTREAM_PORT).into()
    }

    /// Name of the upstream's process.
    pub fn upstream_name(&self) -> String {
        format!("upstream-{}", self.daemon)
    }
}

/// All processes and where they are.
pub struct Fleet {
    /// Instances by zone, then by service.
    pub instances: Vec<Instance>,
    log: SocketAddr,
    dir: PathBuf,
    programs: PathBuf,
    upstream_options: Vec<String>,
    processes: Vec<Process>,
}

impl Fleet {
    /// A fleet of which nothing runs yet, with the programs of a build; files go to a directory
    /// of this process below `target`.
    pub fn new(net: Net, instances: Vec<Instance>, build: Build) -> Result<Self> {
        let dir = root().join(format!("target/run-{}", std::process::id()));
        fs::create_dir_all(&dir).map_err(|e| TaskError::Io(dir.display().to_string(), e))?;
        Ok(Self {
            instances,
            log: (net.host(LOG_HOST), LOG_PORT).into(),
            dir,
            programs: build.programs(),
            upstream_options: Vec::new(),
            processes: Vec::new(),
        })
    }

    /// Sets further options of all upstreams.
    pub fn upstream_options(&mut self, options: &[&str]) {
        self.upstream_options = options.iter().map(|option| (*option).to_owned()).collect();
    }

    /// Address of the log service.
    pub fn log(&self) -> SocketAddr {
        self.log
    }

    /// Directory of settings, tickets and output.
    pub fn dir(&self) -> &Path {
        &self.dir
    }

    /// Path of a program of the workspace.
    pub fn program(&self, name: &str) -> PathBuf {
        self.programs.join(name)
    }

    /// Starts the log service, then upstreams, then daemons.
    pub fn start(&mut self, interrupt: &Interrupt) -> Result<()> {
        let log = self.log;
        let args = ["--listen".to_owned(), log.to_string()];
        self.spawn("log", "standin-log", &args)?;
        listening(interrupt, "log", log)?;
        for instance in self.instances.clone() {
            self.start_upstream(&instance)?;
            self.start_daemon(&instance)?;
        }
        for instance in &self.instances {
            listening(interrupt, &instance.daemon, instance.local())?;
        }
        Ok(())
    }

    /// Waits until every daemon knows every other and its upstream.
    pub fn joined(&self, interrupt: &Interrupt) -> Result<()> {
        for instance in &self.instances {
            let what = format!("{} to know all others", instance.daemon);
            interrupt.until(&what, JOIN_PATIENCE, || {
                self.is_known_to(instance).then_some(())
            })?;
        }
        Ok(())
    }

    fn is_known_to(&self, instance: &Instance) -> bool {
        let Ok(status) = client::status(instance.local()) else {
            return false;
        };
        let knows = |other: &Instance| {
            let mut members = status.members.iter();
            members.any(|member| member.daemon == other.daemon && member.upstream.is_some())
        };
        self.instances.iter().all(knows)
    }

    /// Waits until a ticket, or a later one, is in force on every daemon.
    pub fn in_force(&self, interrupt: &Interrupt, number: TicketNumber) -> Result<()> {
        for instance in &self.instances {
            let what = format!("ticket {number} on {}", instance.daemon);
            interrupt.until(&what, IN_FORCE_PATIENCE, || {
                let status = client::status(instance.local()).ok()?;
                (status.ticket >= number).then_some(())
            })?;
        }
        Ok(())
    }

    /// Starts the daemon of an instance.
    pub fn start_daemon(&mut self, instance: &Instance) -> Result<()> {
        let path = self.dir.join(format!("{}.yaml", instance.daemon));
        let text = serde_yaml_ng::to_string(&self.settings(instance)?)
            .map_err(|e| TaskError::Broken(e.to_string()))?;
        fs::write(&path, text).map_err(|e| TaskError::Io(path.display().to_string(), e))?;
        let args = ["--settings".to_owned(), path.display().to_string()];
        self.spawn(&instance.daemon, "bronzeheadd", &args)
    }

    fn start_upstream(&mut self, instance: &Instance) -> Result<()> {
        let mut args = vec![
            "--listen".to_owned(),
            instance.upstream().to_string(),
            "--announce".to_owned(),
            instance.local().to_string(),
            "--service".to_owned(),
            instance.service.to_string(),
            "--version".to_owned(),
            instance.version.to_string(),
        ];
        args.extend(self.upstream_options.iter().cloned());
        self.spawn(&instance.upstream_name(), "standin-upstream", &args)
    }

    /// The example's settings with this instance's name and addresses.
    fn settings(&self, instance: &Instance) -> Result<Settings> {
        let example = root().join("examples/tanoa.yaml");
        let mut settings = Settings::load(example).map_err(|e| TaskError::Broken(e.to_string()))?;
        settings.daemon = instance.daemon.clone();
        settings.zone = instance.zone.clone();
        settings.listen.calls = instance.calls();
        settings.listen.peers = instance.peers();
        settings.listen.local = instance.local();
        settings.log.address = self.log;
        settings.seeds = self.seeds(instance);
        Ok(settings)
    }

    /// The first instance of each zone.
    fn seeds(&self, own: &Instance) -> Vec<SocketAddr> {
        let mut zones = BTreeSet::new();
        let firsts = self.instances.iter();
        let firsts = firsts.filter(|instance| zones.insert(&instance.zone));
        let seeds = firsts.map(Instance::peers);
        seeds.filter(|seed| *seed != own.peers()).collect()
    }

    /// Starts a program of the workspace under a name.
    pub fn spawn(&mut self, name: &str, program: &str, args: &[String]) -> Result<()> {
        let process = Process::start(name, &self.program(program), args, &self.dir)?;
        self.processes.push(process);
        Ok(())
    }

    /// Takes a process out, to end it alone.
    pub fn take(&mut self, name: &str) -> Result<Process> {
        let at = self
            .processes
            .iter()
            .position(|process| process.name() == name);
        let at = at.ok_or_else(|| TaskError::Broken(format!("{name} is not running")))?;
        Ok(self.processes.remove(at))
    }

    /// An error when a process ended by itself.
    pub fn check_alive(&mut self) -> Result<()> {
        for process in &mut self.processes {
            if let Some(status) = process.ended() {
                let name = process.name();
                return Err(TaskError::Broken(format!(
                    "{name} ended by itself: {status}"
                )));
            }
        }
        Ok(())
    }

    /// Process number of a running process.
    pub fn id(&self, name: &str) -> Result<u32> {
        let mut processes = self.processes.iter();
        let process = processes.find(|process| process.name() == name);
        let process = process.ok_or_else(|| TaskError::Broken(format!("{name} is not running")))?;
        Ok(process.id())
    }

    /// Ends all processes.
    pub fn close(mut self, files: Files) {
        end_all(&mut self.processes, END_PATIENCE);
        match files {
            Files::Keep => println!("output of all processes: {}", self.dir.display()),
            // What is left of them harms nobody.
            Files::Remove => drop(fs::remove_dir_all(&self.dir)),
        }
    }
}

/// What becomes of settings, tickets and output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Files {
    /// They stay, to be read.
    Keep,
    /// They go.
    Remove,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        end_all(&mut self.processes, END_PATIENCE);
    }
}

fn listening(interrupt: &Interrupt, name: &str, address: SocketAddr) -> Result<()> {
    let what = format!("{name} to listen on {address}");
    interrupt.until(&what, START_PATIENCE, || {
        client::send(address, http_edge::Request::get("/")).ok()
    })?;
    Ok(())
}
