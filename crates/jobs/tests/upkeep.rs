//! Waves of upkeep.

use std::collections::BTreeMap;
use std::time;

use redwing_jobs::BootTime;
use redwing_jobs::maintenance::{
    MachineStatus, MaintenanceAction, MaintenanceRecord, MaintenanceSettings, WavePlanner,
    WaveRequest, WaveState, WorkerLoad,
};
use redwing_jobs::name::{MachineName, WorkerId};
use redwing_jobs::time::WallTime;

/// Time between two plans.
const INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Time that a machine is down.
const UPKEEP: time::Duration = time::Duration::from_secs(2);

struct FakeMachines {
    planner: WavePlanner,
    facts: BTreeMap<MachineName, MachineStatus>,
    down_until: BTreeMap<MachineName, BootTime>,
    now: BootTime,
    begun: BootTime,
    most_down: usize,
    states: Vec<WaveState>,
    upkeeps: BTreeMap<MachineName, u32>,
    prepared: Vec<WorkerId>,
    /// Whether an order is carried out without an answer.
    loses_answers: bool,
}

fn wave(machines: usize, max_down: u32) -> WaveRequest {
    WaveRequest {
        number: 1,
        machines: (0..machines).map(name).collect(),
        duration: time::Duration::from_secs(20),
        max_down,
    }
}

fn name(number: usize) -> MachineName {
    MachineName::new(&format!("m{number}"))
}

impl FakeMachines {
    fn new(machines: usize) -> Self {
        let facts = (0..machines).map(|number| {
            let fact = MachineStatus {
                is_up: true,
                is_in_maintenance: false,
                worker: Some(WorkerId::new(&format!("w{number}"))),
                load: WorkerLoad::default(),
            };
            (name(number), fact)
        });
        let now = BootTime::from_millis(50_000);
        Self {
            planner: WavePlanner::new(MaintenanceSettings::default()),
            facts: facts.collect(),
            down_until: BTreeMap::new(),
            now,
            begun: now,
            most_down: 0,
            states: Vec::new(),
            upkeeps: BTreeMap::new(),
            prepared: Vec::new(),
            loses_answers: false,
        }
    }

    fn add(&mut self, request: &WaveRequest, record: Option<MaintenanceRecord>) {
        let wall = WallTime::from_millis(self.now.as_millis());
        self.planner.add(request, record, self.now, wall);
    }

    fn load(&mut self, number: usize) -> &mut WorkerLoad {
        let fact = self.facts.get_mut(&name(number));
        &mut fact.expect("the machine exists").load
    }

    fn run(&mut self, length: time::Duration) {
        let end = self.now + length;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now + INTERVAL;
        let now = self.now;
        for (machine, fact) in &mut self.facts {
            if self
                .down_until
                .get(machine)
                .is_some_and(|until| *until <= now)
            {
                self.down_until.remove(machine);
                fact.is_up = true;
                fact.is_in_maintenance = false;
                fact.worker = Some(WorkerId::new(&format!("{machine}-{}", now.as_millis())));
            }
        }
        for action in self.planner.plan(&self.facts, now) {
            match action {
                MaintenanceAction::Order { wave, machine } => self.order(wave, &machine),
                MaintenanceAction::Store { state, .. } => self.states.push(state),
                MaintenanceAction::Prepare(worker) => self.prepared.push(worker),
                MaintenanceAction::Release(_) => {}
            }
        }
        self.most_down = self.most_down.max(self.down_until.len());
    }

    fn order(&mut self, wave: u64, machine: &MachineName) {
        let fact = self.facts.get_mut(machine).expect("the machine exists");
        if fact.is_up && !self.upkeeps.contains_key(machine) {
            *self.upkeeps.entry(machine.clone()).or_default() += 1;
            fact.is_up = false;
            fact.is_in_maintenance = true;
            fact.load = WorkerLoad::default();
            self.down_until.insert(machine.clone(), self.now + UPKEEP);
        }
        if !self.loses_answers {
            self.planner.order_accepted(wave, machine, self.now);
        }
    }

    fn is_completed(&self) -> bool {
        self.states.last() == Some(&WaveState::Completed)
    }
}

#[test]
fn a_wave_is_completed_within_its_bounds() {
    let mut machines = FakeMachines::new(10);
    machines.add(&wave(8, 3), None);
    machines.run(time::Duration::from_secs(12));
    assert!(machines.is_completed());
    assert_eq!(machines.upkeeps.len(), 8);
    assert!(machines.most_down <= 3, "{}", machines.most_down);
}

#[test]
fn machines_with_nothing_to_lose_go_first() {
    let mut machines = FakeMachines::new(4);
    machines.load(0).finite = 3;
    machines.load(1).long_running = 1;
    machines.add(&wave(4, 1), None);
    machines.run(time::Duration::from_secs(1));
    assert_eq!(machines.upkeeps.keys().collect::<Vec<_>>(), [&name(2)]);
}

#[test]
fn work_is_waited_for_until_time_runs_short() {
    let mut machines = FakeMachines::new(2);
    machines.load(0).finite = 1;
    machines.add(&wave(1, 1), None);
    machines.run(time::Duration::from_secs(10));
    assert!(machines.upkeeps.is_empty());
    machines.run(time::Duration::from_secs(9));
    assert_eq!(machines.upkeeps.len(), 1);
}

/// Nothing but an empty machine is safe for the budgets of long-running steps.
#[test]
fn long_running_tasks_are_waited_for_even_then() {
    let mut machines = FakeMachines::new(2);
    machines.load(0).long_running = 1;
    machines.add(&wave(1, 1), None);
    machines.run(time::Duration::from_secs(25));
    assert!(machines.upkeeps.is_empty());
    assert!(
        machines.prepared.len() > 1,
        "it is asked for again and again"
    );
}

#[test]
fn a_lost_answer_does_not_stop_the_wave() {
    let mut machines = FakeMachines::new(3);
    machines.loses_answers = true;
    machines.add(&wave(3, 1), None);
    machines.run(time::Duration::from_secs(3));
    machines.loses_answers = false;
    machines.run(time::Duration::from_secs(16));
    assert!(machines.is_completed());
    assert!(machines.upkeeps.values().all(|count| *count == 1));
}

#[test]
fn a_new_owner_goes_on_where_the_former_was() {
    let mut machines = FakeMachines::new(4);
    machines.add(&wave(4, 1), None);
    machines.run(time::Duration::from_secs(4));
    let record = machines.planner.record(1).cloned();
    let done = record.as_ref().map_or(0, |record| record.done.len());
    assert!(done >= 1);
    machines.planner = WavePlanner::new(MaintenanceSettings::default());
    machines.add(&wave(4, 1), record);
    machines.run(time::Duration::from_secs(12));
    assert!(machines.is_completed());
    assert!(machines.most_down <= 1);
    assert!(machines.upkeeps.values().all(|count| *count == 1));
    let taken = machines.now.saturating_since(machines.begun);
    assert!(taken < time::Duration::from_secs(20));
}

#[test]
fn machines_that_are_gone_hold_nothing_up() {
    let mut machines = FakeMachines::new(2);
    machines.add(&wave(4, 2), None);
    machines.run(time::Duration::from_secs(5));
    assert!(machines.is_completed());
}
