//! Waves of maintenance.

use std::collections::{BTreeMap, BTreeSet};
use std::time;

use redwing_jobs::BootTime;
use redwing_jobs::block::WorkerBlocks;
use redwing_jobs::maintenance::{
    MachineStatus, MaintenanceAction, MaintenanceRecord, MaintenanceSettings, WaveDelay,
    WavePlanner, WaveRequest, WaveState, WorkerLoad,
};
use redwing_jobs::name::{MachineName, WorkerId};
use redwing_jobs::time::WallTime;
use redwing_jobs::wait::ElapsedWait;
use rstest::rstest;

/// Time between two plans.
const PLAN_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Time that a machine is down for maintenance.
const MAINTENANCE_DURATION: time::Duration = time::Duration::from_secs(2);

/// Wave planner and its machines, in simulated time.
struct FakeMachines {
    planner: WavePlanner,
    machine_statuses: BTreeMap<MachineName, MachineStatus>,
    down_until: BTreeMap<MachineName, BootTime>,
    now: BootTime,
    start_time: BootTime,
    max_down_count: usize,
    wave_states: Vec<WaveState>,
    delays: Vec<WaveDelay>,
    maintenance_counts: BTreeMap<MachineName, u32>,
    /// Worker of each request to move long-running tasks off it.
    evictions: Vec<WorkerId>,
    /// Workers that were removed, with their latest incarnations.
    removed_workers: Vec<(WorkerId, u64)>,
    /// Whether workers return under their ids after the maintenance.
    keeps_ids: bool,
    /// Whether orders are executed and their responses lost.
    loses_responses: bool,
    /// Whether orders for machines that are not up are rejected.
    rejects_repeats: bool,
    /// Machines that have left, and are busy by the responses to orders.
    departed: BTreeSet<MachineName>,
    /// Progress of the wave as last stored.
    stored: MaintenanceRecord,
    /// Largest size of a stored record.
    largest_record_bytes: usize,
}

fn wave_request(machine_count: usize, max_down: u32) -> WaveRequest {
    WaveRequest {
        number: 1,
        machines: (0..machine_count).map(machine_name).collect(),
        duration: time::Duration::from_secs(20),
        max_down,
    }
}

fn machine_name(number: usize) -> MachineName {
    MachineName::new(&format!("m{number}"))
}

impl FakeMachines {
    fn new(machine_count: usize) -> Self {
        let machine_statuses = (0..machine_count).map(|number| {
            let machine_status = MachineStatus {
                is_up: true,
                is_evacuated: false,
                worker: Some(WorkerId::new(&format!("w{number}"))),
                incarnation: 1,
                load: WorkerLoad::default(),
            };
            (machine_name(number), machine_status)
        });
        let now = BootTime::from_millis(50_000);
        Self {
            planner: WavePlanner::new(MaintenanceSettings::default()),
            machine_statuses: machine_statuses.collect(),
            down_until: BTreeMap::new(),
            now,
            start_time: now,
            max_down_count: 0,
            wave_states: Vec::new(),
            delays: Vec::new(),
            maintenance_counts: BTreeMap::new(),
            evictions: Vec::new(),
            removed_workers: Vec::new(),
            keeps_ids: false,
            loses_responses: false,
            rejects_repeats: false,
            departed: BTreeSet::new(),
            stored: MaintenanceRecord::default(),
            largest_record_bytes: 0,
        }
    }

    fn add_wave(&mut self, request: &WaveRequest, record: Option<MaintenanceRecord>) {
        let wall = WallTime::from_millis(self.now.as_millis());
        let added = self.planner.add(request, record, self.now, wall);
        added.expect("the record of the wave fits into a row");
    }

    fn load(&mut self, number: usize) -> &mut WorkerLoad {
        let machine_status = self.machine_statuses.get_mut(&machine_name(number));
        &mut machine_status.expect("the machine exists").load
    }

    fn advance(&mut self, duration: time::Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.now = self.now + PLAN_INTERVAL;
        let now = self.now;
        for (machine, machine_status) in &mut self.machine_statuses {
            if self
                .down_until
                .get(machine)
                .is_some_and(|until| *until <= now)
            {
                self.down_until.remove(machine);
                machine_status.is_up = true;
                machine_status.incarnation = now.as_millis();
                if !self.keeps_ids {
                    machine_status.worker =
                        Some(WorkerId::new(&format!("{machine}-{}", now.as_millis())));
                }
            }
        }
        let actions = self.planner.plan(&self.machine_statuses, now);
        for action in &actions {
            if let MaintenanceAction::Store { wave, state } = action {
                self.wave_states.push(*state);
                self.stored = self.planner.record(*wave).cloned().unwrap_or_default();
                let text = serde_json::to_string(&self.stored).expect("it is written");
                self.largest_record_bytes = self.largest_record_bytes.max(text.len());
            }
        }
        for action in actions {
            match action {
                MaintenanceAction::Order { wave, machine } => self.execute_order(wave, &machine),
                MaintenanceAction::Store { .. } => {}
                MaintenanceAction::Report(delay) => self.delays.push(delay),
                MaintenanceAction::Evict(worker) => self.evictions.push(worker),
                MaintenanceAction::Remove {
                    worker,
                    incarnation,
                } => self.removed_workers.push((worker, incarnation)),
            }
        }
        self.max_down_count = self.max_down_count.max(self.down_until.len());
    }

    fn execute_order(&mut self, wave: u64, machine: &MachineName) {
        assert!(
            self.stored.ordered.contains(machine),
            "{machine} was ordered before that was stored"
        );
        if self.departed.contains(machine) {
            self.planner.machine_busy(wave, machine, self.now);
            return;
        }
        let Some(machine_status) = self.machine_statuses.get_mut(machine) else {
            self.planner.order_unneeded(wave, machine);
            return;
        };
        if self.rejects_repeats && !machine_status.is_up {
            self.planner.order_rejected(wave, machine, self.now);
            return;
        }
        if machine_status.is_up && !self.maintenance_counts.contains_key(machine) {
            *self.maintenance_counts.entry(machine.clone()).or_default() += 1;
            machine_status.is_up = false;
            machine_status.load = WorkerLoad::default();
            self.down_until
                .insert(machine.clone(), self.now + MAINTENANCE_DURATION);
        }
        if !self.loses_responses {
            self.planner.order_accepted(wave, machine, self.now);
        }
    }

    /// Returns the blocks that the waves need.
    fn blocks(&self) -> WorkerBlocks {
        let mut blocks = WorkerBlocks::default();
        self.planner.add_blocks(&mut blocks);
        blocks
    }

    /// Returns the workers of which some incarnation is blocked.
    fn blocked(&self) -> Vec<String> {
        self.blocks().workers().map(WorkerId::to_string).collect()
    }

    /// Panics if a machine was maintained more than once.
    fn assert_maintained_once(&self) {
        let mut counts = self.maintenance_counts.values();
        assert!(counts.all(|count| *count == 1));
    }

    fn is_completed(&self) -> bool {
        self.wave_states.last() == Some(&WaveState::Completed)
    }
}

#[test]
fn a_wave_is_completed_within_its_bounds() {
    let mut machines = FakeMachines::new(10);
    machines.add_wave(&wave_request(8, 3), None);
    machines.advance(time::Duration::from_secs(12));
    assert!(machines.is_completed());
    assert_eq!(machines.maintenance_counts.len(), 8);
    assert!(machines.max_down_count <= 3, "{}", machines.max_down_count);
}

#[test]
fn machines_without_tasks_are_maintained_first() {
    let mut machines = FakeMachines::new(4);
    machines.load(0).finite = 3;
    machines.load(1).long_running = 1;
    machines.add_wave(&wave_request(4, 1), None);
    machines.advance(time::Duration::from_secs(1));
    assert_eq!(
        machines.maintenance_counts.keys().collect::<Vec<_>>(),
        [&machine_name(2)]
    );
}

#[test]
fn a_wave_waits_for_finite_tasks_until_its_deadline_nears() {
    let mut machines = FakeMachines::new(2);
    machines.load(0).finite = 1;
    machines.add_wave(&wave_request(1, 1), None);
    machines.advance(time::Duration::from_secs(10));
    assert!(machines.maintenance_counts.is_empty());
    machines.advance(time::Duration::from_secs(9));
    assert_eq!(machines.maintenance_counts.len(), 1);
}

/// Only the maintenance of an empty machine is sure to keep the unavailability
/// budgets of long-running steps.
#[test]
fn a_wave_waits_for_long_running_tasks_past_its_deadline() {
    let mut machines = FakeMachines::new(2);
    machines.load(0).long_running = 1;
    machines.add_wave(&wave_request(1, 1), None);
    machines.advance(time::Duration::from_secs(25));
    assert!(machines.maintenance_counts.is_empty());
    assert!(
        machines.evictions.len() > 1,
        "the worker is emptied repeatedly"
    );
}

#[test]
fn a_lost_response_does_not_stop_the_wave() {
    let mut machines = FakeMachines::new(3);
    machines.loses_responses = true;
    machines.add_wave(&wave_request(3, 1), None);
    machines.advance(time::Duration::from_secs(3));
    machines.loses_responses = false;
    machines.advance(time::Duration::from_secs(16));
    assert!(machines.is_completed());
    machines.assert_maintained_once();
}

#[test]
fn a_new_owner_resumes_the_wave_from_its_record() {
    let mut machines = FakeMachines::new(4);
    machines.add_wave(&wave_request(4, 1), None);
    machines.advance(time::Duration::from_secs(4));
    let record = machines.planner.record(1).cloned();
    let done_count = record.as_ref().map_or(0, |record| record.done.len());
    assert!(done_count >= 1);
    machines.planner = WavePlanner::new(MaintenanceSettings::default());
    machines.add_wave(&wave_request(4, 1), record);
    machines.advance(time::Duration::from_secs(12));
    assert!(machines.is_completed());
    assert!(machines.max_down_count <= 1);
    machines.assert_maintained_once();
    let elapsed = machines.now.saturating_since(machines.start_time);
    assert!(elapsed < time::Duration::from_secs(20));
}

#[test]
fn missing_machines_do_not_delay_a_wave() {
    let mut machines = FakeMachines::new(2);
    machines.add_wave(&wave_request(4, 2), None);
    machines.advance(time::Duration::from_secs(5));
    assert!(machines.is_completed());
}

/// The list leaves out a machine for a while, as one that is read page by page
/// does while other machines leave.
#[test]
fn a_wave_is_not_completed_while_a_machine_is_missing_from_the_list() {
    let mut machines = FakeMachines::new(3);
    let missing = machines
        .machine_statuses
        .remove(&machine_name(1))
        .expect("the machine exists");
    machines.add_wave(&wave_request(3, 3), None);
    machines.advance(time::Duration::from_millis(1_000));
    machines.machine_statuses.insert(machine_name(1), missing);
    machines.advance(time::Duration::from_secs(5));
    assert!(machines.is_completed());
    assert_eq!(machines.maintenance_counts.len(), 3);
}

/// A machine leaves while the wave goes on. The list leaves it out, but orders find it
/// busy to the end.
#[test]
fn a_wave_is_completed_although_a_machine_that_left_stays_busy() {
    let mut machines = FakeMachines::new(3);
    machines.add_wave(&wave_request(3, 1), None);
    machines.machine_statuses.remove(&machine_name(2));
    machines.departed.insert(machine_name(2));
    machines.advance(time::Duration::from_secs(4));
    assert!(!machines.is_completed());
    machines.advance(time::Duration::from_secs(16));
    assert!(machines.is_completed());
    assert_eq!(machines.maintenance_counts.len(), 2);
}

/// A machine that is listed may be busy for long, and is maintained afterwards.
#[test]
fn a_wave_waits_for_a_listed_machine_that_is_busy() {
    let mut machines = FakeMachines::new(2);
    machines.departed.insert(machine_name(1));
    machines.add_wave(&wave_request(2, 1), None);
    machines.advance(time::Duration::from_secs(15));
    assert!(!machines.is_completed());
    machines.departed.clear();
    machines.advance(time::Duration::from_secs(5));
    assert!(machines.is_completed());
    assert_eq!(machines.maintenance_counts.len(), 2);
}

/// An earlier owner recorded an order whose outcome it did not learn: the machine
/// counts as down until a repeated order shows the outcome.
#[test]
fn an_order_of_an_earlier_owner_counts_as_down() {
    let mut machines = FakeMachines::new(3);
    let record = MaintenanceRecord {
        begun: WallTime::from_millis(machines.now.as_millis()),
        ordered: [machine_name(2)].into(),
        ..MaintenanceRecord::default()
    };
    machines.loses_responses = true;
    machines.stored = record.clone();
    machines.add_wave(&wave_request(3, 1), Some(record));
    machines.advance(time::Duration::from_secs(1));
    assert_eq!(
        machines.maintenance_counts.keys().collect::<Vec<_>>(),
        [&machine_name(2)]
    );
    machines.loses_responses = false;
    machines.advance(time::Duration::from_secs(16));
    assert!(machines.is_completed());
    assert_eq!(machines.max_down_count, 1);
}

#[test]
fn machines_that_are_named_twice_are_maintained_once() {
    let mut machines = FakeMachines::new(3);
    let mut request = wave_request(3, 1);
    request.machines.extend_from_within(..);
    machines.add_wave(&request, None);
    machines.advance(time::Duration::from_secs(14));
    assert!(machines.is_completed());
    machines.assert_maintained_once();
}

/// Machines that were removed from a wave do not go down any more, and their
/// workers may get tasks again.
#[test]
fn a_machine_removed_from_a_wave_is_released() {
    let mut machines = FakeMachines::new(3);
    machines.load(1).finite = 1;
    machines.load(2).finite = 1;
    machines.add_wave(&wave_request(3, 3), None);
    machines.advance(time::Duration::from_secs(1));
    assert_eq!(machines.blocked(), ["w0", "w1", "w2"]);
    let mut request = wave_request(2, 3);
    request.number = 1;
    machines.add_wave(&request, None);
    assert_eq!(machines.blocked(), ["w0", "w1"]);
    machines.advance(time::Duration::from_secs(18));
    assert!(machines.is_completed());
    assert!(!machines.maintenance_counts.contains_key(&machine_name(2)));
    assert!(machines.blocked().is_empty());
}

/// Owners end every 2 s; each continues from the stored record.
#[test]
fn a_wave_is_completed_although_owners_change() {
    let mut machines = FakeMachines::new(4);
    machines.add_wave(&wave_request(2, 1), None);
    for _ in 0..10 {
        machines.advance(time::Duration::from_secs(2));
        let record = machines.stored.clone();
        machines.planner = WavePlanner::new(MaintenanceSettings::default());
        machines.add_wave(&wave_request(2, 1), Some(record));
    }
    machines.advance(PLAN_INTERVAL);
    assert!(machines.is_completed(), "{:?}", machines.stored.done);
}

/// The next owner knows for how long a machine has been down at least, and orders its
/// maintenance only once.
#[test]
fn a_machine_that_is_down_is_not_ordered_again_by_the_next_owner() {
    let mut machines = FakeMachines::new(2);
    machines.add_wave(&wave_request(1, 1), None);
    machines.advance(time::Duration::from_millis(1_300));
    let record = machines.stored.clone();
    let down = record.down.get(&machine_name(0)).copied();
    let after_a_second = ElapsedWait::default().after(time::Duration::from_secs(1));
    assert_eq!(down, Some(after_a_second));
    let record = record.after(time::Duration::from_millis(100));
    machines.planner = WavePlanner::new(MaintenanceSettings::default());
    machines.add_wave(&wave_request(1, 1), Some(record));
    let actions = machines
        .planner
        .plan(&machines.machine_statuses, machines.now);
    let order = MaintenanceAction::Order {
        wave: 1,
        machine: machine_name(0),
    };
    assert!(!actions.contains(&order), "{actions:?}");
    machines.advance(time::Duration::from_millis(1_000));
    assert!(machines.is_completed());
    assert_eq!(machines.max_down_count, 1);
}

#[test]
fn a_record_of_an_earlier_release_has_no_machine_that_is_down() {
    let text = r#"{"begun":5,"done":["m1"],"ordered":["m2"]}"#;
    let record: MaintenanceRecord = serde_json::from_str(text).expect("it is read");
    assert!(record.down.is_empty());
    let written = serde_json::to_string(&record).expect("it is written");
    assert_eq!(written, text);
}

/// Owners change while the workers of two machines are emptied, the number that is
/// prepared; others have fewer tasks by then.
#[test]
fn a_new_owner_goes_on_to_empty_the_workers_that_its_predecessor_emptied() {
    let mut machines = FakeMachines::new(4);
    for number in 0..4 {
        machines.load(number).finite = 3;
    }
    machines.add_wave(&wave_request(4, 1), None);
    machines.advance(time::Duration::from_millis(1_500));
    machines.load(2).finite = 1;
    machines.load(3).finite = 1;
    machines.planner = WavePlanner::new(MaintenanceSettings::default());
    let record = machines.stored.clone();
    machines.add_wave(&wave_request(4, 1), Some(record));
    assert_eq!(machines.blocked(), ["w0", "w1"]);
    machines.load(1).finite = 0;
    machines.advance(PLAN_INTERVAL);
    assert_eq!(machines.blocked(), ["w0", "w1"]);
    let maintained: Vec<_> = machines.maintenance_counts.keys().collect();
    assert_eq!(maintained, [&machine_name(1)]);
}

/// Another wave has the machine down when this one begins.
#[test]
fn maintenance_of_another_wave_does_not_count() {
    let mut machines = FakeMachines::new(2);
    let machine = machine_name(0);
    let status = machines.machine_statuses.get_mut(&machine);
    let status = status.expect("the machine exists");
    status.is_up = false;
    let until = machines.now + MAINTENANCE_DURATION;
    machines.down_until.insert(machine.clone(), until);
    machines.add_wave(&wave_request(1, 1), None);
    machines.advance(time::Duration::from_secs(8));
    assert_eq!(machines.maintenance_counts.get(&machine), Some(&1));
    assert!(machines.is_completed());
}

/// Two waves share machines; the limit of each covers those that the other has down.
#[test]
fn the_limit_of_a_wave_counts_its_machines_that_another_wave_has_down() {
    let mut machines = FakeMachines::new(6);
    let shared = WaveRequest {
        number: 2,
        machines: (2..4).map(machine_name).collect(),
        ..wave_request(0, 2)
    };
    machines.add_wave(&wave_request(6, 2), None);
    let mut orders = 0;
    for tick in 0..200 {
        if tick == 10 {
            machines.add_wave(&shared, None);
        }
        machines.now = machines.now + PLAN_INTERVAL;
        let now = machines.now;
        for (machine, status) in &mut machines.machine_statuses {
            status.is_up = machines
                .down_until
                .get(machine)
                .is_none_or(|until| *until <= now);
        }
        for action in machines.planner.plan(&machines.machine_statuses, now) {
            let MaintenanceAction::Order { wave, machine } = action else {
                continue;
            };
            if !machines.machine_statuses[&machine].is_up {
                machines.planner.order_rejected(wave, &machine, now);
                continue;
            }
            let is_down = |number: &usize| {
                let until = machines.down_until.get(&machine_name(*number));
                until.is_some_and(|until| *until > now)
            };
            let down = (0..6).filter(is_down).count();
            assert!(wave != 1 || down < 2, "{machine} is ordered beside {down}");
            machines
                .down_until
                .insert(machine.clone(), now + MAINTENANCE_DURATION);
            let status = machines.machine_statuses.get_mut(&machine);
            status.expect("the machine exists").is_up = false;
            machines.planner.order_accepted(wave, &machine, now);
            orders += 1;
        }
    }
    assert_eq!(orders, 8, "each machine for each of its waves");
}

/// The platform carries out an order, the response is lost, and the repeated order is
/// rejected: the machine may be down for the first one.
#[test]
fn a_machine_counts_as_down_although_a_repeated_order_is_rejected() {
    let mut machines = FakeMachines::new(3);
    machines.loses_responses = true;
    machines.rejects_repeats = true;
    machines.add_wave(&wave_request(3, 1), None);
    machines.advance(time::Duration::from_secs(2));
    machines.loses_responses = false;
    machines.advance(time::Duration::from_secs(17));
    assert!(machines.is_completed());
    machines.assert_maintained_once();
    assert_eq!(machines.max_down_count, 1);
}

/// The response to the first order arrives before the rejection of its repetition.
#[test]
fn a_machine_whose_maintenance_has_begun_stays_so_after_a_late_rejection() {
    let mut machines = FakeMachines::new(3);
    machines.add_wave(&wave_request(3, 1), None);
    machines.advance(time::Duration::from_millis(500));
    let down: Vec<MachineName> = machines.down_until.keys().cloned().collect();
    machines.planner.order_rejected(1, &down[0], machines.now);
    machines.advance(time::Duration::from_secs(16));
    assert!(machines.is_completed());
    machines.assert_maintained_once();
    assert_eq!(machines.max_down_count, 1);
}

/// A machine fails for good, before its maintenance or in it, and stays listed: the wave
/// is not completed, and operators are told which machine it waits for.
#[rstest]
#[case::before_its_maintenance(0)]
#[case::in_its_maintenance(3_000)]
fn operators_are_told_which_machine_a_wave_waits_for(#[case] up_ms: u64) {
    let mut machines = FakeMachines::new(4);
    machines.add_wave(&wave_request(4, 1), None);
    // Machine 1 goes second, after two seconds.
    machines.advance(time::Duration::from_millis(up_ms));
    let failed = machine_name(1);
    let status = machines.machine_statuses.get_mut(&failed);
    let status = status.expect("the machine exists");
    status.is_up = false;
    status.worker = None;
    machines.down_until.remove(&failed);
    machines.advance(time::Duration::from_secs(10));
    assert_eq!(machines.delays, []);
    machines.advance(time::Duration::from_secs(3));
    let remaining = if up_ms == 0 { 1 } else { 3 };
    let early = WaveDelay {
        wave: 1,
        is_overdue: false,
        remaining,
        unavailable: vec![failed],
    };
    assert_eq!(machines.delays, std::slice::from_ref(&early));
    machines.advance(time::Duration::from_secs(60));
    let overdue = WaveDelay {
        is_overdue: true,
        ..early.clone()
    };
    assert_eq!(machines.delays, [early, overdue]);
    assert_eq!(machines.wave_states.last(), Some(&WaveState::Running));
}

/// The wave goes on, and is completed, as soon as the machine is up again.
#[test]
fn a_wave_is_completed_after_an_unavailable_machine_has_returned() {
    let mut machines = FakeMachines::new(2);
    machines.add_wave(&wave_request(2, 1), None);
    let name = machine_name(1);
    let set_up = |machines: &mut FakeMachines, is_up| {
        let status = machines.machine_statuses.get_mut(&name);
        status.expect("the machine exists").is_up = is_up;
    };
    set_up(&mut machines, false);
    machines.advance(time::Duration::from_secs(25));
    assert_eq!(machines.delays.len(), 2);
    set_up(&mut machines, true);
    machines.advance(time::Duration::from_secs(4));
    assert!(machines.is_completed());
    assert_eq!(machines.delays.len(), 3);
    assert_eq!(machines.delays[2].unavailable, []);
}

fn settings_with_rows(max_record_bytes: usize) -> MaintenanceSettings {
    MaintenanceSettings {
        max_record_bytes,
        ..MaintenanceSettings::default()
    }
}

/// Many machines of a large wave are emptied and down at once while owners change. What
/// is stored of them takes no more than a row holds beside the names of all machines.
#[test]
fn the_record_of_a_large_wave_fits_into_a_row() {
    let mut machines = FakeMachines::new(100);
    let request = wave_request(100, 60);
    machines.planner = WavePlanner::new(settings_with_rows(900));
    machines.add_wave(&request, None);
    for number in 0..100 {
        machines.load(number).finite = 1;
    }
    for _ in 0..10 {
        machines.advance(time::Duration::from_secs(3));
        machines.planner = WavePlanner::new(settings_with_rows(900));
        machines.add_wave(&request, Some(machines.stored.clone()));
    }
    assert!(machines.is_completed());
    machines.assert_maintained_once();
    assert!(machines.max_down_count <= 60, "{}", machines.max_down_count);
    let bytes = machines.largest_record_bytes;
    assert!((700..=900).contains(&bytes), "{bytes}");
}

/// A wave whose machines are too many for a row is refused with the sizes, once; its other
/// versions are not.
#[test]
fn a_wave_with_too_many_machines_for_a_row_is_refused() {
    let mut machines = FakeMachines::new(100);
    machines.planner = WavePlanner::new(settings_with_rows(300));
    let now = machines.now;
    let wall = WallTime::from_millis(now.as_millis());
    let large = wave_request(100, 2);
    let refused = machines.planner.add(&large, None, now, wall);
    let error = refused.expect_err("it does not fit");
    let text = error.to_string();
    assert!(text.contains("wave 1") && text.contains("100 machines") && text.contains("300"));
    assert_eq!(machines.planner.add(&large, None, now, wall), Ok(()));
    assert!(!machines.planner.is_active());
    machines.add_wave(&wave_request(30, 5), None);
    assert!(machines.planner.add(&large, None, now, wall).is_err());
    machines.advance(time::Duration::from_secs(20));
    assert!(machines.is_completed());
    assert_eq!(machines.maintenance_counts.len(), 30);
}
