//! Runs one seed: starts all machines, executes the plan under load, checks the recovery, and
//! collects the violations.

use std::cell::Cell;
use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use http_edge::Server;
use http_edge::ServerCfg;
use standin_store::StoreService;

use crate::error::Result;
use crate::error::TaskError;
use crate::process::Interrupt;
use crate::process::Signal;
use crate::soak::addresses::machine_address;
use crate::soak::addresses::reserve_range;
use crate::soak::addresses::store_address;
use crate::soak::checker::Guarantees;
use crate::soak::clients::Clients;
use crate::soak::clients::Tally;
use crate::soak::instance::Behaviour;
use crate::soak::instance::Shared;
use crate::soak::machine::GRACE_PERIOD;
use crate::soak::machine::Machine;
use crate::soak::plan;
use crate::soak::plan::Action;
use crate::soak::plan::LinkMode;
use crate::soak::plan::MachineId;
use crate::soak::plan::PlanKind;
use crate::soak::plan::Step;
use crate::soak::wire;
use crate::soak::wire::ReportedState;

/// Number of clients per machine.
const CLIENTS_PER_MACHINE: u64 = 2;

/// Timeout for all daemons to be ready after their start.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Time after the end of the plan in which the success rate must recover.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);

/// Duration of a measurement of the success rate after the plan.
const RECOVERY_SAMPLE: Duration = Duration::from_secs(3);

/// Share of successful requests that counts as recovered.
const RECOVERED_SHARE: f64 = 0.9;

/// Time that a killed daemon needs to serve again; extends the period in which a fault is active.
const RESTART_TIME: Duration = Duration::from_secs(2);

/// Interval at which the run polls for due steps and awaited conditions.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A rollout must end within the plan's length divided by this.
const ROLLOUT_TIME_DIVISOR: u32 = 2;

/// Increments between configuration versions, in turn; versions are not consecutive.
const VERSION_STEPS: [u64; 4] = [1, 3, 2, 7];

/// Options of a run.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of the plan and of the clients.
    pub seed: u64,
    /// Duration of the plan.
    pub length: Duration,
    /// Number of daemons.
    pub processes: usize,
    /// Guarantees that are checked.
    pub guarantees: Guarantees,
    /// Path of the daemon's program.
    pub program: PathBuf,
    /// Directory of logs and settings; its previous contents are removed.
    pub dir: PathBuf,
}

/// Result of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Result line with counts.
    pub line: String,
    /// Violated guarantees.
    pub violations: Vec<String>,
}

/// Executes one run.
pub async fn execute(options: &Options, interrupt: &Interrupt) -> Result<Outcome> {
    let _ = fs::remove_dir_all(&options.dir);
    fs::create_dir_all(&options.dir)
        .map_err(|e| TaskError::Io(options.dir.display().to_string(), e))?;
    let (plan_kind, steps) = plan::draw(options.seed, options.length, options.processes);
    let run = Run::start(options, interrupt).await?;
    run.run_plan(&steps, interrupt).await?;
    run.check_recovery(interrupt).await?;
    run.check_rollout(plan_kind);
    run.stop(interrupt).await?;
    let checker = run.clients.shared.checker.borrow();
    let line = format!(
        "seed {}: {plan_kind:?}, {} steps, {} answered, {} refused, {} unknown, {} violations",
        options.seed,
        steps.len(),
        checker.answered,
        checker.refused,
        checker.unknown,
        checker.violations().len(),
    );
    Ok(Outcome {
        line,
        violations: checker.violations().to_vec(),
    })
}

struct Run {
    store: StoreService,
    clients: Rc<Clients>,
    config_count: Cell<usize>,
    sent_versions: std::cell::RefCell<Vec<u64>>,
    length: Duration,
    _server: Server,
}

impl Run {
    async fn start(options: &Options, interrupt: &Interrupt) -> Result<Self> {
        let store = StoreService::default();
        let (range, listener) = reserve_range()?;
        let server = Server::start(listener, Rc::new(store.clone()), ServerCfg::default());
        let shared = Rc::new(Shared::new(options.guarantees));
        let paths: (&Path, &Path) = (&options.program, &options.dir);
        let mut machines = Vec::new();
        for number in 0..options.processes {
            let ip = machine_address(range, number);
            let machine = Machine::new(number, ip, store_address(range), paths, &shared)?;
            machines.push(Rc::new(machine));
        }
        let run = Self {
            store,
            clients: Rc::new(Clients {
                machines,
                shared,
                tally: Cell::default(),
                newest: Cell::new((0, Instant::now())),
                is_finished: Cell::new(false),
            }),
            config_count: Cell::new(0),
            sent_versions: std::cell::RefCell::default(),
            length: options.length,
            _server: server,
        };
        run.publish_config();
        for machine in &run.clients.machines {
            machine.start()?;
        }
        run.wait_until_ready(interrupt).await?;
        for number in 0..CLIENTS_PER_MACHINE * u64::try_from(options.processes).unwrap_or(1) {
            monoio::spawn(Rc::clone(&run.clients).run_client(number, options.seed));
        }
        for machine in &run.clients.machines {
            monoio::spawn(Rc::clone(&run.clients).probe(Rc::clone(machine)));
        }
        Ok(run)
    }

    async fn wait_until_ready(&self, interrupt: &Interrupt) -> Result<()> {
        let since = Instant::now();
        for machine in &self.clients.machines {
            while !machine.is_ready().await {
                interrupt.check()?;
                if since.elapsed() > START_TIMEOUT {
                    return Err(TaskError::TimedOut(format!(
                        "machine {} to become ready",
                        machine.number
                    )));
                }
                monoio::time::sleep(POLL_INTERVAL).await;
            }
        }
        // Waits until all daemons know all instances.
        monoio::time::sleep(RESTART_TIME).await;
        Ok(())
    }

    async fn run_plan(&self, steps: &[Step], interrupt: &Interrupt) -> Result<()> {
        let since = Instant::now();
        for step in steps {
            while since.elapsed() < step.at {
                interrupt.check()?;
                self.clients.check_processes()?;
                monoio::time::sleep(POLL_INTERVAL).await;
            }
            self.apply(step.action)?;
        }
        Ok(())
    }

    fn note_fault_for(&self, time: Duration) {
        let mut checker = self.clients.shared.checker.borrow_mut();
        checker.note_fault(Instant::now() + time);
    }

    /// Records that a machine need not know what instances stated to its daemon.
    fn excuse_from_notices(&self, machine: MachineId) {
        let mut notices = self.clients.shared.notices.borrow_mut();
        notices.machine_disturbed(machine);
    }

    fn apply(&self, action: Action) -> Result<()> {
        if !action.is_planned() {
            self.note_fault_for(RESTART_TIME);
        }
        let machine = |number: usize| Rc::clone(&self.clients.machines[number]);
        let instance = |number: usize| Rc::clone(&machine(number).instance);
        match action {
            Action::Configure => self.publish_config(),
            Action::Rollout { is_bad } => self.order_rollout(is_bad),
            Action::Drain(number) => {
                monoio::spawn(instance(number).drain());
            }
            Action::LeaveByAnswers(number) => {
                monoio::spawn(instance(number).leave_by_answers());
            }
            Action::Deregister(number) => {
                monoio::spawn(instance(number).deregister_first());
            }
            Action::LimitRequests(number, tenths, ms) => {
                let (per_sec, time) = (f64::from(tenths) / 10.0, Duration::from_millis(ms));
                monoio::spawn(instance(number).limit_requests(per_sec, time));
            }
            Action::Reload(number) => machine(number).signal(Signal::Reload)?,
            Action::Restart(number) => {
                self.excuse_from_notices(number);
                self.restart(machine(number));
            }
            Action::Kill(number) => {
                self.excuse_from_notices(number);
                machine(number).kill()?;
            }
            Action::KillAll => {
                self.note_fault_for(RESTART_TIME * 2);
                for machine in &self.clients.machines {
                    self.excuse_from_notices(machine.number);
                    machine.kill()?;
                }
            }
            Action::Pause(number, ms) => {
                self.excuse_from_notices(number);
                let time = self.fault_duration(ms);
                let (machine, shared) = (machine(number), Rc::clone(&self.clients.shared));
                monoio::spawn(async move {
                    let paused = machine.pause(time).await;
                    shared.notices.borrow_mut().machine_disturbed(number);
                    paused
                });
            }
            Action::Degrade(number, link, mode, ms) => {
                let (machine, shared) = (machine(number), Rc::clone(&self.clients.shared));
                self.apply_for(ms, move |on| {
                    let mode = if on { mode } else { LinkMode::Pass };
                    machine.proxy(link).set_mode(mode);
                    let mut notices = shared.notices.borrow_mut();
                    notices.instance_disturbed(&machine.instance.name());
                });
            }
            Action::Disconnect(number, link) => machine(number).proxy(link).disconnect_all(),
            Action::LoseResponses(number, ms) => {
                self.set_behaviour(machine(number), Behaviour::LosesResponses, ms);
            }
            Action::Fail(number, ms) => self.set_behaviour(machine(number), Behaviour::Fails, ms),
            Action::StoreDown(ms) => {
                let store = self.store.clone();
                self.apply_for(ms, move |on| store.faults().is_down.set(on));
            }
            Action::StoreLosesResponses(ms) => {
                let store = self.store.clone();
                self.apply_for(ms, move |on| store.faults().drops_append_responses.set(on));
            }
            Action::CompactStore => {
                for topic in [wire::OPERATOR_TOPIC, wire::DAEMONS_TOPIC] {
                    self.store
                        .with_topic(topic, standin_store::Topic::delete_records);
                }
            }
            Action::RenumberStore => {
                let era = format!("{:?}", Instant::now());
                self.store.faults().era.replace(era.into());
                for topic in wire::TOPICS {
                    self.store.with_topic(topic, standin_store::Topic::renumber);
                }
            }
        }
        Ok(())
    }

    /// Returns the duration of a fault, and records the fault as active until [`RESTART_TIME`]
    /// after it.
    fn fault_duration(&self, ms: u64) -> Duration {
        let time = Duration::from_millis(ms);
        self.note_fault_for(time + RESTART_TIME);
        time
    }

    /// Switches a fault on, and off after its duration.
    fn apply_for(&self, ms: u64, switch: impl Fn(bool) + 'static) {
        let time = self.fault_duration(ms);
        switch(true);
        monoio::spawn(async move {
            monoio::time::sleep(time).await;
            switch(false);
        });
    }

    fn set_behaviour(&self, machine: Rc<Machine>, behaviour: Behaviour, ms: u64) {
        self.apply_for(ms, move |on| {
            let behaviour = if on { behaviour } else { Behaviour::Good };
            machine.instance.behaviour.set(behaviour);
        });
    }

    fn restart(&self, machine: Rc<Machine>) {
        let shared = Rc::clone(&self.clients.shared);
        monoio::spawn(async move {
            let began = Instant::now();
            let stopped = machine.stop().await;
            let result = match stopped {
                Ok(None) => return,
                Ok(Some(took)) => {
                    let is_fault_free = shared.checker.borrow().is_fault_free_since(began);
                    if took > GRACE_PERIOD && is_fault_free {
                        let number = machine.number;
                        let ms = took.as_millis();
                        let text = format!("machine {number} took {ms} ms to stop");
                        shared.checker.borrow_mut().add_timed_violation(text);
                    }
                    machine.start()
                }
                Err(e) => Err(e),
            };
            if let Err(e) = result {
                shared.checker.borrow_mut().add_violation(e.to_string());
            }
        });
    }

    fn publish_config(&self) {
        let count = self.config_count.get();
        self.config_count.set(count + 1);
        let last = self.sent_versions.borrow().last().copied().unwrap_or(0);
        let version = last + VERSION_STEPS[count % VERSION_STEPS.len()];
        let text = wire::config(version, &self.sent_versions.borrow());
        self.append("config", text.as_bytes());
        self.sent_versions.borrow_mut().push(version);
        self.clients.newest.set((version, Instant::now()));
    }

    fn order_rollout(&self, is_bad: bool) {
        let shared = &self.clients.shared;
        shared.is_target_bad.set(is_bad);
        shared.is_rollout_active.set(true);
        shared.is_rollout_ordered.set(true);
        let within = self.length / ROLLOUT_TIME_DIVISOR;
        let (key, text) = wire::rollout_order(within);
        self.append(&key, text.as_bytes());
        let (store, shared) = (self.store.clone(), Rc::clone(shared));
        monoio::spawn(async move {
            let since = Instant::now();
            while since.elapsed() < within
                && reported_state(&store).is_none_or(|state| state == ReportedState::Running)
            {
                monoio::time::sleep(POLL_INTERVAL).await;
            }
            shared
                .is_rollout_complete
                .set(reported_state(&store) == Some(ReportedState::Complete));
            monoio::time::sleep(within.saturating_sub(since.elapsed())).await;
            shared.is_rollout_active.set(false);
        });
    }

    fn append(&self, key: &str, value: &[u8]) {
        let mut buf = bytes::BytesMut::new();
        let encoded = users_platform::records::encode(&mut buf, key, value);
        let appended = self
            .store
            .with_topic(wire::OPERATOR_TOPIC, |topic| topic.append(buf.freeze()));
        if encoded.is_err() || appended.is_err() {
            let mut checker = self.clients.shared.checker.borrow_mut();
            checker.add_violation(format!("the operator could not write {key}"));
        }
    }

    /// Checks that requests succeed again after the last fault.
    async fn check_recovery(&self, interrupt: &Interrupt) -> Result<()> {
        let since = Instant::now();
        let mut best: f64 = 0.0;
        while since.elapsed() < RECOVERY_TIMEOUT + RECOVERY_SAMPLE {
            interrupt.check()?;
            self.clients.tally.set(Tally::default());
            monoio::time::sleep(RECOVERY_SAMPLE).await;
            let Tally {
                requests,
                successes,
            } = self.clients.tally.get();
            best = best.max(f64::from(successes) / f64::from(requests.max(1)));
            if best >= RECOVERED_SHARE && since.elapsed() > RESTART_TIME {
                return Ok(());
            }
        }
        let mut checker = self.clients.shared.checker.borrow_mut();
        checker.add_timed_violation(format!(
            "only {best:.2} of the requests are served after the recovery"
        ));
        Ok(())
    }

    fn check_rollout(&self, plan_kind: PlanKind) {
        let shared = &self.clients.shared;
        let state = reported_state(&self.store);
        let mut checker = shared.checker.borrow_mut();
        let expected = if shared.is_target_bad.get() {
            checker.check_exposure(shared.exposure.get());
            ReportedState::RolledBack
        } else {
            ReportedState::Complete
        };
        // Injected faults may make a good version look bad, or hide the faults of a bad one for a
        // while.
        if plan_kind == PlanKind::Planned && state != Some(expected) {
            checker.add_timed_violation(format!(
                "the rollout is reported as {state:?}, not as {expected:?}"
            ));
        }
    }

    /// Stops all daemons and checks that each exits within its grace period.
    async fn stop(&self, interrupt: &Interrupt) -> Result<()> {
        self.clients.is_finished.set(true);
        for machine in &self.clients.machines {
            machine.signal(Signal::Continue)?;
        }
        let stops: Vec<_> = self
            .clients
            .machines
            .iter()
            .cloned()
            .map(|machine| monoio::spawn(async move { (machine.number, machine.stop().await) }))
            .collect();
        for stop in stops {
            interrupt.check()?;
            if let (number, Ok(Some(took))) = stop.await
                && took > GRACE_PERIOD
            {
                let ms = took.as_millis();
                let mut checker = self.clients.shared.checker.borrow_mut();
                checker.add_violation(format!("machine {number} took {ms} ms to stop at the end"));
            }
        }
        Ok(())
    }
}

/// Returns the state of the rollout that is reported to the operator.
fn reported_state(store: &StoreService) -> Option<ReportedState> {
    let records = store.with_topic(wire::REPORTS_TOPIC, |topic| topic.newest());
    let key = format!("rollout/{}", wire::ROLLOUT_SERVICE);
    let report = records.into_iter().find(|(found, ..)| *found == key)?;
    wire::parse_report(&report.2)
}
