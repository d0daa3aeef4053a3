//! The steps of the demo, in order.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use base::TicketNumber;
use http_edge::Request;
use ledger::Route;
use ledger::Ticket;
use smol_str::SmolStr;
use standin_upstream::Faults;
use standin_upstream::RunSummary;

use crate::client;
use crate::demo::callers;
use crate::demo::checks::Observations;
use crate::demo::summary;
use crate::demo::tickets;
use crate::demo::watcher::Watcher;
use crate::error::Result;
use crate::error::TaskError;
use crate::fleet::Files;
use crate::fleet::Fleet;
use crate::fleet::Instance;
use crate::fleet::JOIN_TIMEOUT;
use crate::fleet::LoopbackNet;
use crate::process::Interrupt;
use crate::workspace::Profile;

/// Two of Tanoa's availability zones.
const ZONES: [&str; 2] = ["suva-a", "nadi-a"];

/// Services and versions; each zone runs one upstream of each.
const VERSIONS: [(&str, &str); 5] = [
    ("catalogue", "v1"),
    ("bookings", "v1"),
    ("payments", "v1"),
    ("bookings", "v2"),
    ("payments", "v2"),
];

/// Timeout for a rollout to end.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(26);

/// Timeout for a daemon to exit after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(12);

/// Time after a rollback from which the bad version must receive no further calls.
const ROLLBACK_SETTLE_TIME: Duration = Duration::from_secs(2);

/// Duration of the load before the first rollout.
const WARM_UP: Duration = Duration::from_secs(1);

/// Exit code of the command-line client for a refused ticket.
const EXIT_REFUSED: i32 = 1;

/// Exit code of the command-line client for invalid input.
const EXIT_BAD_INPUT: i32 = 2;

/// Options of the demo, from the command line.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of all random choices.
    pub seed: u64,
    /// Whether processes keep running after the checks.
    pub keep: Keep,
}

/// Whether the processes of the demo keep running after the checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Keep {
    /// The processes stop after the checks.
    No,
    /// The processes run until the operator interrupts the demo.
    UntilInterrupted,
}

/// Runs the demo and returns the counts for its result line.
pub fn execute(options: &Options, interrupt: &Interrupt) -> Result<String> {
    Profile::Debug.build_programs(interrupt)?;
    let net = LoopbackNet::for_this_process();
    let mut demo = Demo {
        fleet: Fleet::new(net, instances(net), Profile::Debug)?,
        interrupt,
        started: Instant::now(),
        refusals: [0, 0],
    };
    let result = demo.run(options);
    let files = match result {
        Ok(_) => Files::Remove,
        Err(_) => Files::Keep,
    };
    demo.fleet.close(files);
    result
}

fn instances(net: LoopbackNet) -> Vec<Instance> {
    let in_zones = VERSIONS
        .iter()
        .flat_map(|version| ZONES.map(|zone| (zone, version)));
    let numbered = in_zones.zip(0u8..);
    numbered
        .map(|((zone, (service, version)), number)| {
            Instance::new(net, number, zone, service, version)
        })
        .collect()
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
        self.publish_initial()?;
        let watcher = Watcher::start(&self.fleet.instances);
        callers::start(&mut self.fleet, options.seed)?;
        self.print_progress("calls to /catalogue, /bookings, /bookings/fittings and /payments");
        self.interrupt.pause(WARM_UP)?;
        self.roll_out_bookings()?;
        let runs_after_rollback = self.roll_back_payments()?;
        let stops = self.restart_one_by_one()?;
        let records = callers::stop(&mut self.fleet, self.interrupt)?;
        self.print_progress(&format!("callers stopped after {} calls", records.len()));
        let observed = Observations {
            records,
            runs: self.runs()?,
            statuses: self.statuses()?,
            bad_runs: [runs_after_rollback, self.bad_runs()?],
            stops,
            watched: watcher.close(),
            refusals: self.refusals,
        };
        let line = summary::conclude(&observed)?;
        self.print_progress("all checks passed");
        if options.keep == Keep::UntilInterrupted {
            self.run_until_interrupted()?;
        }
        Ok(line)
    }

    fn print_progress(&self, text: &str) {
        println!("{:5.1} s  {text}", self.started.elapsed().as_secs_f64());
    }

    fn start(&mut self) -> Result<()> {
        let count = self.fleet.instances.len();
        let zones = ZONES.join(", ");
        self.print_progress(&format!(
            "start the log service, {count} upstreams and daemons in {zones}"
        ));
        self.fleet.start(self.interrupt)?;
        self.fleet.wait_until_joined(self.interrupt)?;
        self.print_progress("all daemons list each other and their upstreams as members");
        Ok(())
    }

    fn publish_initial(&mut self) -> Result<()> {
        self.expect_dangling_refused()?;
        self.publish("start", &tickets::initial()?)?;
        self.expect_refused("late", &tickets::conflicting()?)
    }

    /// Publishes a ticket, expects it to be accepted, and waits until it is in force on all
    /// daemons.
    fn publish(&mut self, name: &str, ticket: &Ticket) -> Result<()> {
        let published = Instant::now();
        let output = tickets::publish(&self.fleet, self.interrupt, name, ticket)?;
        self.print_progress(&output.last_line);
        if output.exit_code != 0 {
            let text = format!(
                "ticket {} was not accepted: {}",
                ticket.ticket, output.last_line
            );
            return Err(TaskError::Failed(text));
        }
        self.fleet
            .wait_until_in_force(self.interrupt, ticket.ticket)?;
        let took = published.elapsed().as_millis();
        self.print_progress(&format!(
            "ticket {} is in force on all daemons after {took} ms",
            ticket.ticket
        ));
        Ok(())
    }

    /// Expects both the offline check and the publication of a ticket with a dangling route to
    /// fail.
    fn expect_dangling_refused(&mut self) -> Result<()> {
        let ticket = dangling_ticket()?;
        let code = tickets::check(&self.fleet, &ticket)?;
        self.refusals[0] += 1;
        self.refusals[1] += u64::from(code == EXIT_BAD_INPUT);
        self.expect_refused("dangling", &ticket)
    }

    /// Publishes a ticket and records whether it was refused, as expected.
    fn expect_refused(&mut self, name: &str, ticket: &Ticket) -> Result<()> {
        let output = tickets::publish(&self.fleet, self.interrupt, name, ticket)?;
        self.print_progress(&format!("refusal expected: {}", output.last_line));
        self.refusals[0] += 1;
        self.refusals[1] +=
            u64::from(output.exit_code == EXIT_REFUSED || output.exit_code == EXIT_BAD_INPUT);
        Ok(())
    }

    fn roll_out_bookings(&mut self) -> Result<()> {
        self.publish("good", &tickets::good()?)?;
        self.wait_for_rollout(tickets::GOOD)
    }

    /// Rolls out the bad version of payments and waits for its rollback; returns the runs of the
    /// bad version after [`ROLLBACK_SETTLE_TIME`].
    fn roll_back_payments(&mut self) -> Result<u64> {
        let faults = Faults {
            fail: 0.5,
            ..Faults::default()
        };
        let body = serde_json::to_vec(&faults).map_err(|e| TaskError::Failed(e.to_string()))?;
        for instance in self.bad_instances() {
            client::send(
                instance.upstream_addr(),
                Request::post("/faults", body.clone()),
            )?;
        }
        self.publish("bad", &tickets::bad()?)?;
        self.wait_for_rollout(tickets::BAD)?;
        self.interrupt.pause(ROLLBACK_SETTLE_TIME)?;
        self.bad_runs()
    }

    fn wait_for_rollout(&mut self, number: TicketNumber) -> Result<()> {
        let output = tickets::watch(&self.fleet, self.interrupt, number, ROLLOUT_TIMEOUT)?;
        self.print_progress(&output.last_line);
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
            runs += client::get::<RunSummary>(instance.upstream_addr(), "/runs")?.begun;
        }
        Ok(runs)
    }

    /// Restarts the daemons of one zone one after the other; returns the number of stopped daemons
    /// and of those that exited with code 0.
    fn restart_one_by_one(&mut self) -> Result<[u64; 2]> {
        let mut stops = [0, 0];
        let instances = self.fleet.instances.clone();
        for instance in instances
            .iter()
            .filter(|instance| instance.zone == ZONES[1])
        {
            let mut daemon = self.fleet.detach(&instance.daemon)?;
            daemon.terminate()?;
            let status = daemon.wait(self.interrupt, STOP_TIMEOUT)?;
            stops[0] += 1;
            stops[1] += u64::from(status.success());
            self.fleet.start_daemon(instance)?;
            self.wait_until_caught_up(instance)?;
            self.fleet.check_alive()?;
            self.print_progress(&format!(
                "{} stopped, restarted and caught up",
                instance.daemon
            ));
        }
        Ok(stops)
    }

    /// Waits until the last ticket is in force on a restarted daemon.
    fn wait_until_caught_up(&self, instance: &Instance) -> Result<()> {
        let what = format!("{} to catch up", instance.daemon);
        self.interrupt.wait_until(&what, JOIN_TIMEOUT, || {
            let status = client::status(instance.local_addr()).ok()?;
            (status.ticket == tickets::BAD).then_some(())
        })
    }

    fn runs(&self) -> Result<BTreeMap<SmolStr, u32>> {
        let mut all = BTreeMap::new();
        for instance in &self.fleet.instances {
            let runs: BTreeMap<SmolStr, u32> = client::get(instance.upstream_addr(), "/runs/ids")?;
            for (id, runs) in runs {
                *all.entry(id).or_default() += runs;
            }
        }
        Ok(all)
    }

    fn statuses(&self) -> Result<Vec<protocol::status::Status>> {
        let instances = self.fleet.instances.iter();
        instances
            .map(|instance| client::status(instance.local_addr()))
            .collect()
    }

    fn run_until_interrupted(&mut self) -> Result<()> {
        let first = &self.fleet.instances[0];
        self.print_progress("all processes keep running; press Ctrl-C to stop them");
        println!("calls: http://{}/catalogue", first.calls_addr());
        println!("status: http://{}/status", first.local_addr());
        println!("log service: {}", self.fleet.log_addr());
        loop {
            if self.interrupt.pause(WARM_UP).is_err() {
                return Ok(());
            }
        }
    }
}

/// Returns a ticket with a route to a service that does not exist.
fn dangling_ticket() -> Result<Ticket> {
    let mut ticket = tickets::initial()?;
    let mut routes = ticket.routes.values();
    let route = routes.next().map(|route| Route {
        service: "nowhere".into(),
        ..route.clone()
    });
    let route = route.ok_or_else(|| TaskError::Failed("the example has no route".to_owned()))?;
    ticket.routes.insert("/nowhere".into(), route);
    Ok(ticket)
}
