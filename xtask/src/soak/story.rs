//! One run: the fleet starts, the plan is played under load, everything heals, and the run is judged.

use std::cell::Cell;
use std::fs;
use std::io::ErrorKind;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use http_edge::Server;
use http_edge::ServerCfg;
use monoio::net::TcpListener;
use standin_store::StoreService;

use crate::error::Result;
use crate::error::TaskError;
use crate::process::Interrupt;
use crate::process::Signal;
use crate::soak::callers::Clients;
use crate::soak::callers::Tally;
use crate::soak::instance::Manner as InstanceManner;
use crate::soak::instance::Seen;
use crate::soak::judge::Bounds;
use crate::soak::machine::GRACE;
use crate::soak::machine::Machine;
use crate::soak::plan;
use crate::soak::plan::Act;
use crate::soak::plan::Flavour;
use crate::soak::plan::Manner;
use crate::soak::plan::Step;
use crate::soak::wire;
use crate::soak::wire::Reported;

/// Clients of each machine.
const CLIENTS: u64 = 2;

/// Longest time until all daemons are ready at first.
const START: Duration = Duration::from_secs(20);

/// Time after the last fault from which requests must be served again.
const RECOVER: Duration = Duration::from_secs(15);

/// Time over which the service after the recovery is measured.
const MEASURE: Duration = Duration::from_secs(3);

/// Share of the requests that has to be served then.
const RECOVERED: f64 = 0.9;

/// Time that a killed daemon needs to be there again; faults last so much longer.
const RESTART: Duration = Duration::from_secs(2);

/// How often the run looks what is due.
const TICK: Duration = Duration::from_millis(10);

/// Part of a run in which a move must end.
const MOVE_PART: u32 = 2;

/// Step between two configurations; they rise unevenly.
const VERSION_STEPS: [u64; 4] = [1, 3, 2, 7];

/// What a run is asked for.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of all that is random.
    pub seed: u64,
    /// Length of the plan.
    pub length: Duration,
    /// Number of daemons.
    pub processes: usize,
    /// Promises that are checked.
    pub bounds: Bounds,
    /// The daemon's program.
    pub program: PathBuf,
    /// Where logs and settings go.
    pub dir: PathBuf,
}

/// What a run found.
#[derive(Debug)]
pub struct Outcome {
    /// One line of counts.
    pub line: String,
    /// Promises that did not hold.
    pub violations: Vec<String>,
}

/// Plays one run.
pub async fn play(options: &Options, interrupt: &Interrupt) -> Result<Outcome> {
    let _ = fs::remove_dir_all(&options.dir);
    fs::create_dir_all(&options.dir)
        .map_err(|e| TaskError::Io(options.dir.display().to_string(), e))?;
    let (flavour, steps) = plan::draw(options.seed, options.length, options.processes);
    let run = Run::start(options, interrupt).await?;
    run.play(&steps, interrupt).await?;
    run.heal(interrupt).await?;
    run.check_move(flavour);
    run.stop(interrupt).await?;
    let judge = run.clients.seen.judge.borrow();
    let line = format!(
        "seed {}: {flavour:?}, {} steps, {} answered, {} refused, {} unknown, {} violations",
        options.seed,
        steps.len(),
        judge.answered,
        judge.refused,
        judge.unknown,
        judge.violations().len(),
    );
    Ok(Outcome {
        line,
        violations: judge.violations().to_vec(),
    })
}

struct Run {
    store: StoreService,
    clients: Rc<Clients>,
    versions: Cell<usize>,
    sent: std::cell::RefCell<Vec<u64>>,
    length: Duration,
    _server: Server,
}

/// Second parts of the addresses of runs; runs at the same time have one each.
const RANGES: u8 = 128;

/// Reserves a range of addresses by listening at that of its store.
fn reserve() -> Result<(u8, TcpListener)> {
    let first = u8::try_from(std::process::id() % u32::from(RANGES)).unwrap_or(0);
    let ranges = (first..RANGES).chain(0..first);
    for range in ranges {
        let address = store_address(range);
        match http_edge::listen(address) {
            Ok(listener) => return Ok((range, listener)),
            Err(e) if e.kind() == ErrorKind::AddrInUse => {}
            Err(e) => return Err(TaskError::Io(address.to_string(), e)),
        }
    }
    let text = format!("all {RANGES} ranges of addresses are in use");
    Err(TaskError::Broken(text))
}

fn store_address(range: u8) -> SocketAddr {
    SocketAddr::from(([127, 64 + range, u8::MAX, 1], wire::STORE))
}

/// Address of a machine.
fn address(range: u8, number: usize) -> IpAddr {
    let part = |number: usize| u8::try_from(number).unwrap_or(u8::MAX);
    IpAddr::from([127, 64 + range, part(number / 200), part(number % 200 + 2)])
}

impl Run {
    async fn start(options: &Options, interrupt: &Interrupt) -> Result<Self> {
        let store = StoreService::default();
        let (range, listener) = reserve()?;
        let server = Server::start(listener, Rc::new(store.clone()), ServerCfg::default());
        let seen = Rc::new(Seen::new(options.bounds));
        let paths: (&Path, &Path) = (&options.program, &options.dir);
        let mut machines = Vec::new();
        for number in 0..options.processes {
            let ip = address(range, number);
            let machine = Machine::new(number, ip, store_address(range), paths, &seen)?;
            machines.push(Rc::new(machine));
        }
        let run = Self {
            store,
            clients: Rc::new(Clients {
                machines,
                seen,
                tally: Cell::default(),
                newest: Cell::new((0, Instant::now())),
                is_over: Cell::new(false),
            }),
            versions: Cell::new(0),
            sent: std::cell::RefCell::default(),
            length: options.length,
            _server: server,
        };
        run.configure();
        for machine in &run.clients.machines {
            machine.start()?;
        }
        run.wait_until_ready(interrupt).await?;
        for number in 0..CLIENTS * u64::try_from(options.processes).unwrap_or(1) {
            monoio::spawn(Rc::clone(&run.clients).ask(number, options.seed));
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
                if since.elapsed() > START {
                    return Err(TaskError::TimedOut(format!("machine {}", machine.number)));
                }
                monoio::time::sleep(TICK).await;
            }
        }
        // Until the instances are known everywhere.
        monoio::time::sleep(RESTART).await;
        Ok(())
    }

    async fn play(&self, steps: &[Step], interrupt: &Interrupt) -> Result<()> {
        let since = Instant::now();
        for step in steps {
            while since.elapsed() < step.at {
                interrupt.check()?;
                monoio::time::sleep(TICK).await;
            }
            self.act(step.act)?;
        }
        Ok(())
    }

    fn disturb_for(&self, time: Duration) {
        let mut judge = self.clients.seen.judge.borrow_mut();
        judge.disturb(Instant::now() + time);
    }

    fn act(&self, act: Act) -> Result<()> {
        if !act.is_planned() {
            self.disturb_for(RESTART);
        }
        let machine = |number: usize| Rc::clone(&self.clients.machines[number]);
        match act {
            Act::Configure => self.configure(),
            Act::Move { is_bad } => self.order(is_bad),
            Act::Drain(number) => {
                monoio::spawn(Rc::clone(&machine(number).instance).drain());
            }
            Act::Reload(number) => machine(number).signal(Signal::Reload)?,
            Act::Restart(number) => self.restart(machine(number)),
            Act::Kill(number) => machine(number).kill()?,
            Act::KillAll => {
                self.disturb_for(RESTART * 2);
                for machine in &self.clients.machines {
                    machine.kill()?;
                }
            }
            Act::Pause(number, ms) => {
                let time = self.disturbing(ms);
                let machine = machine(number);
                monoio::spawn(async move { machine.pause(time).await });
            }
            Act::Bend(number, link, manner, ms) => {
                let machine = machine(number);
                self.for_a_while(ms, move |is_on| {
                    let manner = if is_on { manner } else { Manner::Pass };
                    machine.proxy(link).bend(manner);
                });
            }
            Act::Break(number, link) => machine(number).proxy(link).cut(),
            Act::LoseAnswers(number, ms) => {
                self.treat(machine(number), InstanceManner::LosesAnswers, ms);
            }
            Act::Fail(number, ms) => self.treat(machine(number), InstanceManner::Fails, ms),
            Act::StoreDown(ms) => {
                let store = self.store.clone();
                self.for_a_while(ms, move |is_on| store.faults().is_down.set(is_on));
            }
            Act::StoreLosesAnswers(ms) => {
                let store = self.store.clone();
                self.for_a_while(ms, move |is_on| {
                    store.faults().drops_append_responses.set(is_on)
                });
            }
            Act::StoreForgets => {
                for topic in [wire::OPERATOR_TOPIC, wire::DAEMONS_TOPIC] {
                    self.store
                        .with_topic(topic, standin_store::Topic::delete_records);
                }
            }
        }
        Ok(())
    }

    /// Length of a fault, which disturbs until a while after its end.
    fn disturbing(&self, ms: u64) -> Duration {
        let time = Duration::from_millis(ms);
        self.disturb_for(time + RESTART);
        time
    }

    /// Switches a fault on, and off after its time.
    fn for_a_while(&self, ms: u64, switch: impl Fn(bool) + 'static) {
        let time = self.disturbing(ms);
        switch(true);
        monoio::spawn(async move {
            monoio::time::sleep(time).await;
            switch(false);
        });
    }

    fn treat(&self, machine: Rc<Machine>, manner: InstanceManner, ms: u64) {
        self.for_a_while(ms, move |is_on| {
            let manner = if is_on { manner } else { InstanceManner::Good };
            machine.instance.manner.set(manner);
        });
    }

    fn restart(&self, machine: Rc<Machine>) {
        let seen = Rc::clone(&self.clients.seen);
        monoio::spawn(async move {
            let began = Instant::now();
            let stopped = machine.stop().await;
            let ended = match stopped {
                Ok(None) => return,
                Ok(Some(took)) => {
                    let is_calm = seen.judge.borrow().is_calm_since(began);
                    if took > GRACE && is_calm {
                        let number = machine.number;
                        let ms = took.as_millis();
                        let text = format!("machine {number} took {ms} ms to stop");
                        seen.judge.borrow_mut().violate_bound(text);
                    }
                    machine.start()
                }
                Err(e) => Err(e),
            };
            if let Err(e) = ended {
                seen.judge.borrow_mut().violate(e.to_string());
            }
        });
    }

    fn configure(&self) {
        let count = self.versions.get();
        self.versions.set(count + 1);
        let last = self.sent.borrow().last().copied().unwrap_or(0);
        let version = last + VERSION_STEPS[count % VERSION_STEPS.len()];
        let text = wire::config(version, &self.sent.borrow());
        self.append("config", text.as_bytes());
        self.sent.borrow_mut().push(version);
        self.clients.newest.set((version, Instant::now()));
    }

    fn order(&self, is_bad: bool) {
        let seen = &self.clients.seen;
        seen.is_target_bad.set(is_bad);
        seen.is_moving.set(true);
        seen.is_ordered.set(true);
        let within = self.length / MOVE_PART;
        let (key, text) = wire::order(within);
        self.append(&key, text.as_bytes());
        let (store, seen) = (self.store.clone(), Rc::clone(seen));
        monoio::spawn(async move {
            let since = Instant::now();
            while since.elapsed() < within
                && reported(&store).is_none_or(|state| state == Reported::Running)
            {
                monoio::time::sleep(TICK).await;
            }
            seen.is_moved
                .set(reported(&store) == Some(Reported::Complete));
            monoio::time::sleep(within.saturating_sub(since.elapsed())).await;
            seen.is_moving.set(false);
        });
    }

    fn append(&self, key: &str, value: &[u8]) {
        let mut buf = bytes::BytesMut::new();
        let encoded = users_platform::records::encode(&mut buf, key, value);
        let appended = self
            .store
            .with_topic(wire::OPERATOR_TOPIC, |topic| topic.append(buf.freeze()));
        if encoded.is_err() || appended.is_err() {
            let mut judge = self.clients.seen.judge.borrow_mut();
            judge.violate(format!("the operator could not write {key}"));
        }
    }

    /// Ends all faults, and checks that requests are served again.
    async fn heal(&self, interrupt: &Interrupt) -> Result<()> {
        let since = Instant::now();
        let mut best: f64 = 0.0;
        while since.elapsed() < RECOVER + MEASURE {
            interrupt.check()?;
            self.clients.tally.set(Tally::default());
            monoio::time::sleep(MEASURE).await;
            let Tally { asked, served } = self.clients.tally.get();
            best = best.max(f64::from(served) / f64::from(asked.max(1)));
            if best >= RECOVERED && since.elapsed() > RESTART {
                return Ok(());
            }
        }
        let mut judge = self.clients.seen.judge.borrow_mut();
        judge.violate_bound(format!(
            "only {best:.2} of the requests are served after the recovery"
        ));
        Ok(())
    }

    fn check_move(&self, flavour: Flavour) {
        let seen = &self.clients.seen;
        let state = reported(&self.store);
        let mut judge = seen.judge.borrow_mut();
        let expected = if seen.is_target_bad.get() {
            judge.exposed(seen.exposure.get());
            Reported::RolledBack
        } else {
            Reported::Complete
        };
        // Trouble may speak against a good version, or hide the trouble of a bad one for a while.
        if flavour == Flavour::Planned && state != Some(expected) {
            judge.violate_bound(format!(
                "the move is reported as {state:?}, not as {expected:?}"
            ));
        }
    }

    /// Ends all daemons.
    async fn stop(&self, interrupt: &Interrupt) -> Result<()> {
        self.clients.is_over.set(true);
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
                && took > GRACE
            {
                let ms = took.as_millis();
                let mut judge = self.clients.seen.judge.borrow_mut();
                judge.violate(format!("machine {number} took {ms} ms to stop at the end"));
            }
        }
        Ok(())
    }
}

/// State of the move that is reported to the operator.
fn reported(store: &StoreService) -> Option<Reported> {
    let records = store.with_topic(wire::REPORTS_TOPIC, |topic| topic.newest());
    let key = format!("rollout/{}", wire::MOVED);
    let report = records.into_iter().find(|(found, ..)| *found == key)?;
    wire::report(&report.2)
}
