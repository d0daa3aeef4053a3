//! What happens in the demo, in order.

use std::collections::BTreeMap;
use std::fs;
use std::time::Duration;
use std::time::Instant;

use base::TicketNumber;
use http_edge::Request;
use ledger::Route;
use ledger::Ticket;
use smol_str::SmolStr;
use standin_upstream::Faults;
use standin_upstream::RunSummary;

use crate::demo::Result;
use crate::demo::callers;
use crate::demo::checks::Evidence;
use crate::demo::client;
use crate::demo::error::DemoError;
use crate::demo::fleet::Fleet;
use crate::demo::fleet::Instance;
use crate::demo::fleet::ZONES;
use crate::demo::process::Interrupt;
use crate::demo::tickets;
use crate::demo::verdict;
use crate::demo::watcher::Watcher;
use crate::steps::cargo;
use crate::steps::root;

/// Programs that the demo runs.
const PACKAGES: [&str; 5] = [
    "bronzeheadd",
    "bronzehead-cli",
    "standin-log",
    "standin-upstream",
    "standin-caller",
];

/// Longest time until all daemons know each other.
const JOIN_PATIENCE: Duration = Duration::from_secs(10);

/// Longest time until a ticket is in force everywhere.
const IN_FORCE_PATIENCE: Duration = Duration::from_secs(7);

/// Longest time until a move has ended.
const MOVE_PATIENCE: Duration = Duration::from_secs(22);

/// Longest planned stop.
const STOP_PATIENCE: Duration = Duration::from_secs(12);

/// Time after which a version that was taken back gets nothing more.
const SETTLE: Duration = Duration::from_secs(2);

/// Time in which calls come in before the first move.
const WARM_UP: Duration = Duration::from_secs(1);

/// Exit code of the command line for what was refused.
const REFUSED: i32 = 1;

/// Exit code of the command line for bad input.
const BAD_INPUT: i32 = 2;

/// How the demo runs.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of all that is random.
    pub seed: u64,
    /// Whether it stays afterwards.
    pub keep: Keep,
}

/// Whether the demo stays after its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Keep {
    /// It ends by itself.
    No,
    /// It stays until the operator asks it to end.
    UntilInterrupted,
}

/// Runs everything; returns the counts of the last line.
pub fn tell(options: &Options, interrupt: &Interrupt) -> Result<String> {
    build(interrupt)?;
    let dir = root().join(format!("target/demo-{}", std::process::id()));
    fs::create_dir_all(&dir).map_err(|e| DemoError::Io(dir.display().to_string(), e))?;
    let fleet = Fleet::new(dir.clone())?;
    let mut demo = Demo {
        fleet,
        interrupt,
        started: Instant::now(),
        refusals: [0, 0],
    };
    let result = demo.run(options);
    demo.fleet.close();
    match result {
        Ok(line) => {
            let _ = fs::remove_dir_all(&dir);
            Ok(line)
        }
        Err(e) => {
            println!("output of all processes: {}", dir.display());
            Err(e)
        }
    }
}

fn build(interrupt: &Interrupt) -> Result<()> {
    println!("build");
    let mut command = cargo(&["build", "--quiet", "--locked"]);
    for package in PACKAGES {
        command.args(["--package", package]);
    }
    let status = command
        .status()
        .map_err(|e| DemoError::Io("cargo build".to_owned(), e))?;
    interrupt.check()?;
    if !status.success() {
        return Err(DemoError::Broken("the build failed".to_owned()));
    }
    Ok(())
}

struct Demo<'a> {
    fleet: Fleet,
    interrupt: &'a Interrupt,
    started: Instant,
    refusals: [u64; 2],
}

impl Demo<'_> {
    fn run(&mut self, options: &Options) -> Result<String> {
        self.start()?;
        self.publish_first()?;
        let watcher = Watcher::start(&self.fleet.instances);
        callers::start(&mut self.fleet, options.seed)?;
        self.say("calls to /catalogue, /bookings, /bookings/fittings and /payments");
        self.interrupt.pause(WARM_UP)?;
        self.move_bookings()?;
        let settled = self.take_back_payments()?;
        let stops = self.stop_one_by_one()?;
        let records = callers::end(&mut self.fleet, self.interrupt)?;
        self.say(&format!("callers ended after {} calls", records.len()));
        let evidence = Evidence {
            records,
            runs: self.runs()?,
            statuses: self.statuses()?,
            bad_runs: [settled, self.bad_runs()?],
            stops,
            watched: watcher.close(),
            refusals: self.refusals,
        };
        let line = verdict::conclude(&evidence)?;
        self.say("every check held");
        if options.keep == Keep::UntilInterrupted {
            self.stay()?;
        }
        Ok(line)
    }

    fn say(&self, text: &str) {
        println!("{:5.1} s  {text}", self.started.elapsed().as_secs_f64());
    }

    fn start(&mut self) -> Result<()> {
        let count = self.fleet.instances.len();
        let zones = ZONES.join(", ");
        self.say(&format!(
            "start the log service, {count} upstreams and daemons in {zones}"
        ));
        self.fleet.start(self.interrupt)?;
        let instances = self.fleet.instances.clone();
        for instance in &instances {
            let what = format!("{} to know all others", instance.daemon);
            self.interrupt.until(&what, JOIN_PATIENCE, || {
                knows_all(instance, &instances).then_some(())
            })?;
        }
        self.say("every daemon knows every other and its upstream");
        Ok(())
    }

    fn publish_first(&mut self) -> Result<()> {
        self.refuse_dangling()?;
        self.publish("start", &tickets::start()?)?;
        self.refuse("late", &tickets::start()?)
    }

    /// Publishes a ticket that has to be accepted and waits until it is in force everywhere.
    fn publish(&mut self, name: &str, ticket: &Ticket) -> Result<()> {
        let published = Instant::now();
        let said = tickets::publish(&self.fleet, self.interrupt, name, ticket)?;
        self.say(&said.last);
        if said.code != 0 {
            let text = format!("ticket {} was not accepted: {}", ticket.ticket, said.last);
            return Err(DemoError::Broken(text));
        }
        self.in_force(ticket.ticket)?;
        let took = published.elapsed().as_millis();
        self.say(&format!(
            "ticket {} is in force on every daemon after {took} ms",
            ticket.ticket
        ));
        Ok(())
    }

    fn in_force(&mut self, number: TicketNumber) -> Result<()> {
        for instance in self.fleet.instances.clone() {
            let what = format!("ticket {number} on {}", instance.daemon);
            self.interrupt.until(&what, IN_FORCE_PATIENCE, || {
                let status = client::status(instance.local()).ok()?;
                (status.ticket >= number).then_some(())
            })?;
        }
        Ok(())
    }

    /// A check finds the dangling route without asking anyone, and publishing refuses it.
    fn refuse_dangling(&mut self) -> Result<()> {
        let ticket = dangling()?;
        let code = tickets::check(&self.fleet, &ticket)?;
        self.refusals[0] += 1;
        self.refusals[1] += u64::from(code == BAD_INPUT);
        self.refuse("dangling", &ticket)
    }

    /// Publishes a ticket that has to be refused.
    fn refuse(&mut self, name: &str, ticket: &Ticket) -> Result<()> {
        let said = tickets::publish(&self.fleet, self.interrupt, name, ticket)?;
        self.say(&format!("refused as it has to be: {}", said.last));
        self.refusals[0] += 1;
        self.refusals[1] += u64::from(said.code == REFUSED || said.code == BAD_INPUT);
        Ok(())
    }

    fn move_bookings(&mut self) -> Result<()> {
        self.publish("good", &tickets::good()?)?;
        self.follow(tickets::GOOD)
    }

    /// Returns the runs of the bad version once it has been taken back for a while.
    fn take_back_payments(&mut self) -> Result<u64> {
        let faults = Faults {
            fail: 0.5,
            ..Faults::default()
        };
        let body = serde_json::to_vec(&faults).map_err(|e| DemoError::Broken(e.to_string()))?;
        for instance in self.bad_instances() {
            client::send(instance.upstream(), Request::post("/faults", body.clone()))?;
        }
        self.publish("bad", &tickets::bad()?)?;
        self.follow(tickets::BAD)?;
        self.interrupt.pause(SETTLE)?;
        self.bad_runs()
    }

    fn follow(&mut self, number: TicketNumber) -> Result<()> {
        let said = tickets::watch(&self.fleet, self.interrupt, number, MOVE_PATIENCE)?;
        self.say(&said.last);
        self.fleet.check_alive()
    }

    fn bad_instances(&self) -> Vec<Instance> {
        let is_bad =
            |instance: &&Instance| instance.service == "payments" && instance.version == "v2";
        self.fleet
            .instances
            .iter()
            .filter(is_bad)
            .cloned()
            .collect()
    }

    fn bad_runs(&self) -> Result<u64> {
        let mut runs = 0;
        for instance in self.bad_instances() {
            runs += client::get::<RunSummary>(instance.upstream(), "/runs")?.begun;
        }
        Ok(runs)
    }

    /// Stops and restarts the daemons of one zone; returns how many, and how many ended well.
    fn stop_one_by_one(&mut self) -> Result<[u64; 2]> {
        let mut stops = [0, 0];
        let instances = self.fleet.instances.clone();
        for instance in instances
            .iter()
            .filter(|instance| instance.zone == ZONES[1])
        {
            let mut daemon = self.fleet.take(&instance.daemon)?;
            daemon.terminate()?;
            let status = daemon.wait(self.interrupt, STOP_PATIENCE)?;
            stops[0] += 1;
            stops[1] += u64::from(status.success());
            self.fleet.start_daemon(instance)?;
            self.rejoin(instance)?;
            self.fleet.check_alive()?;
            self.say(&format!(
                "{} stopped, restarted and caught up",
                instance.daemon
            ));
        }
        Ok(stops)
    }

    /// Waits until a restarted daemon has the last ticket.
    fn rejoin(&self, instance: &Instance) -> Result<()> {
        let what = format!("{} to catch up", instance.daemon);
        self.interrupt.until(&what, JOIN_PATIENCE, || {
            let status = client::status(instance.local()).ok()?;
            (status.ticket == tickets::BAD).then_some(())
        })
    }

    fn runs(&self) -> Result<BTreeMap<SmolStr, u32>> {
        let mut all = BTreeMap::new();
        for instance in &self.fleet.instances {
            let runs: BTreeMap<SmolStr, u32> = client::get(instance.upstream(), "/runs/ids")?;
            for (id, runs) in runs {
                *all.entry(id).or_default() += runs;
            }
        }
        Ok(all)
    }

    fn statuses(&self) -> Result<Vec<protocol::status::Status>> {
        let instances = self.fleet.instances.iter();
        instances
            .map(|instance| client::status(instance.local()))
            .collect()
    }

    fn stay(&mut self) -> Result<()> {
        let first = &self.fleet.instances[0];
        self.say("left running; Ctrl-C ends it");
        println!("calls: http://{}/catalogue", first.calls());
        println!("status: http://{}/status", first.local());
        println!("log service: {}", self.fleet.log());
        loop {
            if self.interrupt.pause(WARM_UP).is_err() {
                return Ok(());
            }
        }
    }
}

fn knows_all(instance: &Instance, instances: &[Instance]) -> bool {
    let Ok(status) = client::status(instance.local()) else {
        return false;
    };
    let knows = |other: &Instance| {
        let mut members = status.members.iter();
        members.any(|member| member.daemon == other.daemon && member.upstream.is_some())
    };
    let mut others = instances
        .iter()
        .filter(|other| other.daemon != instance.daemon);
    others.all(knows)
}

/// A ticket with a route to a service that nobody has.
fn dangling() -> Result<Ticket> {
    let mut ticket = tickets::start()?;
    let mut routes = ticket.routes.values();
    let route = routes.next().map(|route| Route {
        service: "nowhere".into(),
        ..route.clone()
    });
    let route = route.ok_or_else(|| DemoError::Broken("the example has no route".to_owned()))?;
    ticket.routes.insert("/nowhere".into(), route);
    Ok(ticket)
}
