//! A fleet of daemons, upstreams and stand-ins that a task runs on loopback addresses.

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

/// Timeout for a started process to listen.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after SIGTERM before the remaining processes are killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);

/// Timeout for all daemons to list each other as members.
pub const JOIN_TIMEOUT: Duration = Duration::from_secs(15);

/// Timeout for a ticket to be in force on all daemons.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(7);

/// A daemon and the upstream next to it.
#[derive(Debug, Clone)]
pub struct Instance {
    /// Name of the daemon, unique in the fleet.
    pub daemon: DaemonId,
    /// Availability zone of the daemon and the upstream.
    pub zone: ZoneName,
    /// Service of the upstream.
    pub service: ServiceName,
    /// Version of the upstream.
    pub version: VersionName,
    ip: Ipv4Addr,
}

/// A /24 network of the loopback interface, derived from the process id so that tasks can run in
/// parallel.
#[derive(Debug, Clone, Copy)]
pub struct LoopbackNet([u8; 3]);

impl LoopbackNet {
    /// Returns the network of this process.
    pub fn for_this_process() -> Self {
        let [_, _, high, low] = std::process::id().to_be_bytes();
        // The top bit keeps away from low loopback addresses, which are often used by hand.
        Self([127, high | 0x80, low])
    }

    fn host(self, host: u8) -> Ipv4Addr {
        let Self([a, b, c]) = self;
        Ipv4Addr::new(a, b, c, host)
    }
}

impl Instance {
    /// Describes the instance with a number, counted from 0; the number determines its address.
    pub fn new(net: LoopbackNet, number: u8, zone: &str, service: &str, version: &str) -> Self {
        Self {
            daemon: format_smolstr!("{zone}-{service}-{version}-{number}"),
            zone: zone.into(),
            service: service.into(),
            version: version.into(),
            ip: net.host(FIRST_HOST + number),
        }
    }

    /// Returns the address at which the daemon accepts calls.
    pub fn calls_addr(&self) -> SocketAddr {
        (self.ip, CALLS_PORT).into()
    }

    /// Returns the address at which the daemon accepts connections from other daemons.
    pub fn peers_addr(&self) -> SocketAddr {
        (self.ip, PEERS_PORT).into()
    }

    /// Returns the address at which the daemon serves its status and takes the upstream's
    /// announcements.
    pub fn local_addr(&self) -> SocketAddr {
        (self.ip, LOCAL_PORT).into()
    }

    /// Returns the address at which the upstream listens.
    pub fn upstream_addr(&self) -> SocketAddr {
        (self.ip, UPSTREAM_PORT).into()
    }

    /// Returns the name of the upstream's process.
    pub fn upstream_name(&self) -> String {
        format!("upstream-{}", self.daemon)
    }
}

/// The processes of a task and their addresses; dropping it stops them.
pub struct Fleet {
    /// Instances, in the order in which they start.
    pub instances: Vec<Instance>,
    log_addr: SocketAddr,
    dir: PathBuf,
    programs: PathBuf,
    upstream_options: Vec<String>,
    processes: Vec<Process>,
}

impl Fleet {
    /// Prepares a fleet without starting it. Programs come from the build with `profile`; files go
    /// to a directory of this process below `target`.
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

    /// Sets additional command-line options for all upstreams.
    pub fn upstream_options(&mut self, options: &[&str]) {
        self.upstream_options = options.iter().map(|option| (*option).to_owned()).collect();
    }

    /// Returns the address of the log service.
    pub fn log_addr(&self) -> SocketAddr {
        self.log_addr
    }

    /// Returns the directory of settings, tickets and process output.
    pub fn dir(&self) -> &Path {
        &self.dir
    }

    /// Returns the path of a program of the workspace.
    pub fn program(&self, name: &str) -> PathBuf {
        self.programs.join(name)
    }

    /// Starts the log service, then an upstream and a daemon for each instance, and waits until all
    /// daemons listen.
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

    /// Waits until each daemon lists all daemons as members, with their upstreams.
    pub fn wait_until_joined(&self, interrupt: &Interrupt) -> Result<()> {
        for instance in &self.instances {
            let what = format!("{} to list all members", instance.daemon);
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

    /// Waits until a ticket or a later one is in force on each daemon.
    pub fn wait_until_in_force(&self, interrupt: &Interrupt, number: TicketNumber) -> Result<()> {
        for instance in &self.instances {
            let what = format!("ticket {number} in force on {}", instance.daemon);
            interrupt.wait_until(&what, CONVERGENCE_TIMEOUT, || {
                let status = client::status(instance.local_addr()).ok()?;
                (status.ticket >= number).then_some(())
            })?;
        }
        Ok(())
    }

    /// Writes the settings of an instance's daemon and starts it.
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

    /// Returns the settings of the example, with the name and addresses of the instance.
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

    /// Returns the peer addresses of the first instance of each zone, without the instance itself.
    fn seeds(&self, this: &Instance) -> Vec<SocketAddr> {
        let mut zones = BTreeSet::new();
        let first_of_zones = self.instances.iter();
        let first_of_zones = first_of_zones.filter(|instance| zones.insert(&instance.zone));
        let seeds = first_of_zones.map(Instance::peers_addr);
        seeds.filter(|seed| *seed != this.peers_addr()).collect()
    }

    /// Starts a program of the workspace; `name` identifies the process and its output file.
    pub fn spawn(&mut self, name: &str, program: &str, args: &[String]) -> Result<()> {
        let process = Process::start(name, &self.program(program), args, &self.dir)?;
        self.processes.push(process);
        Ok(())
    }

    /// Removes a process from the fleet, so that the caller can stop it separately.
    ///
    /// # Errors
    ///
    /// Fails when no process has this name.
    pub fn detach(&mut self, name: &str) -> Result<Process> {
        let index = self
            .processes
            .iter()
            .position(|process| process.name() == name);
        let index = index.ok_or_else(|| TaskError::Failed(format!("{name} is not running")))?;
        Ok(self.processes.remove(index))
    }

    /// Returns an error if a process has exited.
    pub fn check_alive(&mut self) -> Result<()> {
        for process in &mut self.processes {
            if let Some(status) = process.exit_status() {
                let name = process.name();
                return Err(TaskError::Failed(format!(
                    "{name} exited unexpectedly: {status}"
                )));
            }
        }
        Ok(())
    }

    /// Returns the process id of a running process.
    pub fn pid(&self, name: &str) -> Result<u32> {
        let mut processes = self.processes.iter();
        let process = processes.find(|process| process.name() == name);
        let process = process.ok_or_else(|| TaskError::Failed(format!("{name} is not running")))?;
        Ok(process.pid())
    }

    /// Stops all processes, then keeps or removes their files.
    pub fn close(mut self, files: Files) {
        terminate_all(&mut self.processes, STOP_TIMEOUT);
        match files {
            Files::Keep => println!("output of all processes: {}", self.dir.display()),
            // Left-over files are harmless.
            Files::Remove => drop(fs::remove_dir_all(&self.dir)),
        }
    }
}

/// Whether settings, tickets and process output are kept after the task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Files {
    /// Keeps them for inspection.
    Keep,
    /// Removes them.
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
