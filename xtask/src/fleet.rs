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
use crate::process::terminate_all;
use crate::workspace::Profile;
use crate::workspace::root;

const LOG_HOST: u8 = 1;
const FIRST_HOST: u8 = 10;
const LOG_PORT: u16 = 7000;
const CALLS_PORT: u16 = 7100;
const PEERS_PORT: u16 = 7101;
const LOCAL_PORT: u16 = 7102;
const UPSTREAM_PORT: u16 = 8080;

/// Longest time that a process may take to listen.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest time that the processes may take to end.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);

/// Longest time until all daemons know each other.
pub const JOIN_TIMEOUT: Duration = Duration::from_secs(15);

/// Longest time until a ticket is in force everywhere.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(7);

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
pub struct LoopbackNet([u8; 3]);

impl LoopbackNet {
    /// The network of this process.
    pub fn for_this_process() -> Self {
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
    pub fn new(net: LoopbackNet, number: u8, zone: &str, service: &str, version: &str) -> Self {
        Self {
            daemon: format_smolstr!("{zone}-{service}-{version}-{number}"),
            zone: zone.into(),
            service: service.into(),
            version: version.into(),
            ip: net.host(FIRST_HOST + number),
        }
    }

    /// Where the daemon takes calls.
    pub fn calls_addr(&self) -> SocketAddr {
        (self.ip, CALLS_PORT).into()
    }

    /// Where the daemon takes the inner protocol.
    pub fn peers_addr(&self) -> SocketAddr {
        (self.ip, PEERS_PORT).into()
    }

    /// Where the daemon tells its status.
    pub fn local_addr(&self) -> SocketAddr {
        (self.ip, LOCAL_PORT).into()
    }

    /// Where the upstream listens.
    pub fn upstream_addr(&self) -> SocketAddr {
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
    log_addr: SocketAddr,
    dir: PathBuf,
    programs: PathBuf,
    upstream_options: Vec<String>,
    processes: Vec<Process>,
}

impl Fleet {
    /// A fleet of which nothing runs yet, with the programs of a build; files go to a directory
    /// of this process below `target`.
    pub fn new(net: LoopbackNet, instances: Vec<Instance>, profile: Profile) -> Result<Self> {
        let dir = root().join(format!("target/run-{}", std::process::id()));
        fs::create_dir_all(&dir).map_err(|e| TaskError::Io(dir.display().to_string(), e))?;
        Ok(Self {
            instances,
            log_addr: (net.host(LOG_HOST), LOG_PORT).into(),
            dir,
            programs: profile.program_dir(),
            upstream_options: Vec::new(),
            processes: Vec::new(),
        })
    }

    /// Sets further options of all upstreams.
    pub fn upstream_options(&mut self, options: &[&str]) {
        self.upstream_options = options.iter().map(|option| (*option).to_owned()).collect();
    }

    /// Address of the log service.
    pub fn log_addr(&self) -> SocketAddr {
        self.log_addr
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
        let log = self.log_addr;
        let args = ["--listen".to_owned(), log.to_string()];
        self.spawn("log", "standin-log", &args)?;
        wait_until_listening(interrupt, "log", log)?;
        for instance in self.instances.clone() {
            self.start_upstream(&instance)?;
            self.start_daemon(&instance)?;
        }
        for instance in &self.instances {
            wait_until_listening(interrupt, &instance.daemon, instance.local_addr())?;
        }
        Ok(())
    }

    /// Waits until every daemon knows every other and its upstream.
    pub fn wait_until_joined(&self, interrupt: &Interrupt) -> Result<()> {
        for instance in &self.instances {
            let what = format!("{} to know all others", instance.daemon);
            interrupt.wait_until(&what, JOIN_TIMEOUT, || {
                self.knows_all_members(instance).then_some(())
            })?;
        }
        Ok(())
    }

    fn knows_all_members(&self, instance: &Instance) -> bool {
        let Ok(status) = client::status(instance.local_addr()) else {
            return false;
        };
        let knows = |other: &Instance| {
            let mut members = status.members.iter();
            members.any(|member| member.daemon == other.daemon && member.upstream.is_some())
        };
        self.instances.iter().all(knows)
    }

    /// Waits until a ticket, or a later one, is in force on every daemon.
    pub fn wait_until_in_force(&self, interrupt: &Interrupt, number: TicketNumber) -> Result<()> {
        for instance in &self.instances {
            let what = format!("ticket {number} on {}", instance.daemon);
            interrupt.wait_until(&what, CONVERGENCE_TIMEOUT, || {
                let status = client::status(instance.local_addr()).ok()?;
                (status.ticket >= number).then_some(())
            })?;
        }
        Ok(())
    }

    /// Starts the daemon of an instance.
    pub fn start_daemon(&mut self, instance: &Instance) -> Result<()> {
        let path = self.dir.join(format!("{}.yaml", instance.daemon));
        let text = serde_yaml_ng::to_string(&self.settings(instance)?)
            .map_err(|e| TaskError::Failed(e.to_string()))?;
        fs::write(&path, text).map_err(|e| TaskError::Io(path.display().to_string(), e))?;
        let args = ["--settings".to_owned(), path.display().to_string()];
        self.spawn(&instance.daemon, "bronzeheadd", &args)
    }

    fn start_upstream(&mut self, instance: &Instance) -> Result<()> {
        let mut args = vec![
            "--listen".to_owned(),
            instance.upstream_addr().to_string(),
            "--announce".to_owned(),
            instance.local_addr().to_string(),
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
        let mut settings = Settings::load(example).map_err(|e| TaskError::Failed(e.to_string()))?;
        settings.daemon = instance.daemon.clone();
        settings.zone = instance.zone.clone();
        settings.listen.calls = instance.calls_addr();
        settings.listen.peers = instance.peers_addr();
        settings.listen.local = instance.local_addr();
        settings.log.address = self.log_addr;
        settings.seeds = self.seeds(instance);
        Ok(settings)
    }

    /// The first instance of each zone.
    fn seeds(&self, this: &Instance) -> Vec<SocketAddr> {
        let mut zones = BTreeSet::new();
        let first_of_zones = self.instances.iter();
        let first_of_zones = first_of_zones.filter(|instance| zones.insert(&instance.zone));
        let seeds = first_of_zones.map(Instance::peers_addr);
        seeds.filter(|seed| *seed != this.peers_addr()).collect()
    }

    /// Starts a program of the workspace under a name.
    pub fn spawn(&mut self, name: &str, program: &str, args: &[String]) -> Result<()> {
        let process = Process::start(name, &self.program(program), args, &self.dir)?;
        self.processes.push(process);
        Ok(())
    }

    /// Takes a process out, to end it alone.
    pub fn detach(&mut self, name: &str) -> Result<Process> {
        let index = self
            .processes
            .iter()
            .position(|process| process.name() == name);
        let index = index.ok_or_else(|| TaskError::Failed(format!("{name} is not running")))?;
        Ok(self.processes.remove(index))
    }

    /// An error when a process ended by itself.
    pub fn check_alive(&mut self) -> Result<()> {
        for process in &mut self.processes {
            if let Some(status) = process.exit_status() {
                let name = process.name();
                return Err(TaskError::Failed(format!(
                    "{name} ended by itself: {status}"
                )));
            }
        }
        Ok(())
    }

    /// Process number of a running process.
    pub fn pid(&self, name: &str) -> Result<u32> {
        let mut processes = self.processes.iter();
        let process = processes.find(|process| process.name() == name);
        let process = process.ok_or_else(|| TaskError::Failed(format!("{name} is not running")))?;
        Ok(process.pid())
    }

    /// Ends all processes.
    pub fn close(mut self, files: Files) {
        terminate_all(&mut self.processes, STOP_TIMEOUT);
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
        terminate_all(&mut self.processes, STOP_TIMEOUT);
    }
}

fn wait_until_listening(interrupt: &Interrupt, name: &str, address: SocketAddr) -> Result<()> {
    let what = format!("{name} to listen on {address}");
    interrupt.wait_until(&what, START_TIMEOUT, || {
        client::send(address, http_edge::Request::get("/")).ok()
    })?;
    Ok(())
}
