//! The part of Tanoa that the demo runs, and its addresses.

use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use base::DaemonId;
use base::ServiceName;
use base::VersionName;
use base::ZoneName;
use settings::Settings;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::demo::Result;
use crate::demo::client;
use crate::demo::error::DemoError;
use crate::demo::process::Interrupt;
use crate::demo::process::Process;
use crate::demo::process::end_all;
use crate::steps::root;

/// Two of Tanoa's availability zones.
pub const ZONES: [&str; 2] = ["suva-a", "nadi-a"];

/// Services and versions; an upstream of each runs in each zone.
const VERSIONS: [(&str, &str); 5] = [
    ("catalogue", "v1"),
    ("bookings", "v1"),
    ("payments", "v1"),
    ("bookings", "v2"),
    ("payments", "v2"),
];

const LOG_PORT: u16 = 7000;
const CALLS_PORT: u16 = 7100;
const PEERS_PORT: u16 = 7101;
const LOCAL_PORT: u16 = 7102;
const UPSTREAM_PORT: u16 = 8080;

/// Longest time that a process may take to listen.
const START_PATIENCE: Duration = Duration::from_secs(10);

/// Longest time that the processes may take to end.
const END_PATIENCE: Duration = Duration::from_secs(8);

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

impl Instance {
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
    processes: Vec<Process>,
}

impl Fleet {
    /// A fleet of which nothing runs yet; files go to `dir`.
    pub fn new(dir: PathBuf) -> Result<Self> {
        let exe =
            std::env::current_exe().map_err(|e| DemoError::Io("own program".to_owned(), e))?;
        let programs = exe.parent().unwrap_or(Path::new(".")).to_owned();
        let net = own_net();
        Ok(Self {
            instances: instances(net),
            log: (Ipv4Addr::new(net[0], net[1], net[2], 1), LOG_PORT).into(),
            dir,
            programs,
            processes: Vec::new(),
        })
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

    /// Starts the daemon of an instance.
    pub fn start_daemon(&mut self, instance: &Instance) -> Result<()> {
        let path = self.dir.join(format!("{}.yaml", instance.daemon));
        let text = serde_yaml_ng::to_string(&self.settings(instance)?)
            .map_err(|e| DemoError::Broken(e.to_string()))?;
        fs::write(&path, text).map_err(|e| DemoError::Io(path.display().to_string(), e))?;
        let args = ["--settings".to_owned(), path.display().to_string()];
        self.spawn(&instance.daemon, "bronzeheadd", &args)
    }

    fn start_upstream(&mut self, instance: &Instance) -> Result<()> {
        let args = [
            "--listen".to_owned(),
            instance.upstream().to_string(),
            "--announce".to_owned(),
            instance.local().to_string(),
            "--service".to_owned(),
            instance.service.to_string(),
            "--version".to_owned(),
            instance.version.to_string(),
        ];
        self.spawn(&instance.upstream_name(), "standin-upstream", &args)
    }

    /// The example's settings with this instance's name and addresses.
    fn settings(&self, instance: &Instance) -> Result<Settings> {
        let example = root().join("examples/tanoa.yaml");
        let mut settings = Settings::load(example).map_err(|e| DemoError::Broken(e.to_string()))?;
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
        let first = |zone: &&str| {
            self.instances
                .iter()
                .find(|instance| instance.zone == **zone)
        };
        let firsts = ZONES.iter().filter_map(first);
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
        let at = at.ok_or_else(|| DemoError::Broken(format!("{name} is not running")))?;
        Ok(self.processes.remove(at))
    }

    /// An error when a process ended by itself.
    pub fn check_alive(&mut self) -> Result<()> {
        for process in &mut self.processes {
            if let Some(status) = process.ended() {
                let name = process.name();
                return Err(DemoError::Broken(format!(
                    "{name} ended by itself: {status}"
                )));
            }
        }
        Ok(())
    }

    /// Ends all processes.
    pub fn close(mut self) {
        end_all(&mut self.processes, END_PATIENCE);
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        end_all(&mut self.processes, END_PATIENCE);
    }
}

/// A network of the loopback interface that no other demo on the machine uses.
fn own_net() -> [u8; 3] {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    // The top bit keeps clear of the networks that people use by hand.
    [127, high | 0x80, low]
}

fn instances(net: [u8; 3]) -> Vec<Instance> {
    let mut instances = Vec::new();
    for (service, version) in VERSIONS {
        for zone in ZONES {
            let host = u8::try_from(instances.len()).unwrap_or(u8::MAX) + 10;
            instances.push(Instance {
                daemon: format_smolstr!("{zone}-{service}-{version}"),
                zone: SmolStr::new_static(zone),
                service: SmolStr::new_static(service),
                version: SmolStr::new_static(version),
                ip: Ipv4Addr::new(net[0], net[1], net[2], host),
            });
        }
    }
    instances
}

fn listening(interrupt: &Interrupt, name: &str, address: SocketAddr) -> Result<()> {
    let what = format!("{name} to listen on {address}");
    interrupt.until(&what, START_PATIENCE, || {
        client::send(address, http_edge::Request::get("/")).ok()
    })?;
    Ok(())
}
