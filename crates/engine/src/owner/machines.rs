//! Drives the upkeep of machines.

use std::collections::BTreeMap;
use std::rc;

use redwing_jobs::name::MachineName;
use redwing_jobs::upkeep::{MachineFact, UpkeepAction, UpkeepRecord, WavePlanner, WaveState};
use redwing_jobs::{BootTime, JobScheduler};
use redwing_provider::Category;
use tokio::sync::mpsc;

use crate::clock;
use crate::event;
use crate::log_job_event;
use crate::manifest::OperatorView;
use crate::row;
use crate::services::{ListedMachine, MachineClient, MachineHolder, MachineOutcome, MachineState};

use super::change::ExtraRows;
use super::{OwnerParts, OwnerSettings};

/// What came of a call about machines.
#[derive(Debug)]
pub(super) enum MachineAnswer {
    /// The list, or nothing if there was no answer.
    Listed(Option<Vec<ListedMachine>>),
    /// What became of an order for upkeep; nothing if that is not known.
    Upkeep {
        wave: u64,
        machine: MachineName,
        outcome: Option<MachineOutcome>,
    },
}

/// Keeps the list of machines and gives the orders for their upkeep.
pub(super) struct MachineDesk {
    client: rc::Rc<dyn MachineClient>,
    answers: mpsc::UnboundedSender<MachineAnswer>,
    planner: WavePlanner,
    node: String,
    fence: u64,
    machines: Vec<ListedMachine>,
    is_listing: bool,
    next_list: BootTime,
    /// Rows to store with the next change.
    rows: ExtraRows,
    is_fenced: bool,
}

impl MachineDesk {
    pub(super) fn new(
        parts: &OwnerParts,
        fence: u64,
        answers: mpsc::UnboundedSender<MachineAnswer>,
    ) -> Self {
        Self {
            client: rc::Rc::clone(&parts.services.machines),
            answers,
            planner: WavePlanner::new(parts.settings.upkeep.clone()),
            node: parts.node.clone(),
            fence,
            machines: Vec::new(),
            is_listing: false,
            next_list: BootTime::default(),
            rows: Vec::new(),
            is_fenced: false,
        }
    }

    /// Returns whether the platform answered that a newer owner exists.
    pub(super) fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    pub(super) fn has_rows(&self) -> bool {
        !self.rows.is_empty()
    }

    pub(super) fn take_rows(&mut self) -> ExtraRows {
        std::mem::take(&mut self.rows)
    }

    /// Takes in the waves that operators asked for.
    pub(super) fn add_waves(
        &mut self,
        view: &OperatorView,
        kept: &BTreeMap<u64, UpkeepRecord>,
        now: BootTime,
    ) {
        for wave in view.waves.iter() {
            let record = kept.get(&wave.number).cloned();
            self.planner.add(wave, record, now, clock::wall_now());
        }
    }

    /// Lists the machines and gives the orders that are due.
    pub(super) fn tick(&mut self, parts: &OwnerParts, scheduler: &mut JobScheduler, now: BootTime) {
        if !self.planner.is_active() {
            return;
        }
        self.list_if_due(&parts.settings, now);
        if self.machines.is_empty() {
            return;
        }
        let facts = self.facts(scheduler);
        for action in self.planner.plan(&facts, now) {
            self.act(parts, scheduler, action, now);
        }
    }

    fn list_if_due(&mut self, settings: &OwnerSettings, now: BootTime) {
        if self.is_listing || now < self.next_list {
            return;
        }
        self.is_listing = true;
        self.next_list = now + settings.machine_interval;
        let client = rc::Rc::clone(&self.client);
        let answers = self.answers.clone();
        tokio::task::spawn_local(async move {
            let machines = match client.list().await {
                Ok(machines) => Some(machines),
                Err(error) => {
                    log_job_event!(warn, event::MACHINE_CALL_FAILED, error = error);
                    None
                }
            };
            // The session may have ended in the meantime.
            let _ = answers.send(MachineAnswer::Listed(machines));
        });
    }

    fn facts(&self, scheduler: &JobScheduler) -> BTreeMap<MachineName, MachineFact> {
        let facts = self.machines.iter().map(|machine| {
            let load = machine
                .worker
                .as_ref()
                .map(|worker| scheduler.worker_load(worker));
            let fact = MachineFact {
                is_up: machine.state == MachineState::Up,
                is_in_upkeep: machine.state == MachineState::Upkeep,
                worker: machine.worker.clone(),
                load: load.unwrap_or_default(),
            };
            (machine.name.clone(), fact)
        });
        facts.collect()
    }

    fn act(
        &mut self,
        parts: &OwnerParts,
        scheduler: &mut JobScheduler,
        action: UpkeepAction,
        now: BootTime,
    ) {
        match action {
            UpkeepAction::Prepare(worker) => {
                scheduler.block_worker(&worker, true);
                scheduler.evict_long_running(&worker, now);
            }
            UpkeepAction::Release(worker) => scheduler.block_worker(&worker, false),
            UpkeepAction::Order { wave, machine } => self.order_upkeep(wave, machine),
            UpkeepAction::Store { wave, state } => self.store_wave(parts, wave, state),
        }
    }

    fn store_wave(&mut self, parts: &OwnerParts, wave: u64, state: WaveState) {
        log_job_event!(
            info,
            event::WAVE_CHANGED,
            wave = wave,
            state = format!("{state:?}")
        );
        let key = row::upkeep_key(wave);
        if let Some(record) = self.planner.record(wave) {
            match row::write(&key, record) {
                Ok(value) => self.rows.push((key, value)),
                Err(error) => log_job_event!(error, event::ROW_MALFORMED, error = error),
            }
        }
        self.rows.push(parts.codec.wave_status(wave, state));
    }

    fn order_upkeep(&self, wave: u64, machine: MachineName) {
        let client = rc::Rc::clone(&self.client);
        let answers = self.answers.clone();
        let node = self.node.clone();
        let fence = self.fence;
        tokio::task::spawn_local(async move {
            let holder = MachineHolder { name: &node, fence };
            let outcome = match client.begin_upkeep(holder, &machine, wave).await {
                Ok(outcome) => {
                    log_job_event!(
                        info,
                        event::MACHINE_ORDERED,
                        machine = machine,
                        wave = wave,
                        outcome = format!("{outcome:?}"),
                    );
                    Some(outcome)
                }
                Err(error) => {
                    log_job_event!(
                        warn,
                        event::MACHINE_CALL_FAILED,
                        machine = machine,
                        error = error
                    );
                    let is_void = error.classify() != Category::Unknown;
                    is_void.then_some(MachineOutcome::Throttled)
                }
            };
            // The session may have ended in the meantime.
            let _ = answers.send(MachineAnswer::Upkeep {
                wave,
                machine,
                outcome,
            });
        });
    }

    /// Takes in what came of a call.
    pub(super) fn answered(&mut self, answer: MachineAnswer, now: BootTime) {
        match answer {
            MachineAnswer::Listed(machines) => {
                self.is_listing = false;
                self.machines = machines.unwrap_or_else(|| std::mem::take(&mut self.machines));
            }
            MachineAnswer::Upkeep {
                wave,
                machine,
                outcome,
            } => self.upkeep_answered(wave, &machine, outcome, now),
        }
    }

    fn upkeep_answered(
        &mut self,
        wave: u64,
        machine: &MachineName,
        outcome: Option<MachineOutcome>,
        now: BootTime,
    ) {
        match outcome {
            Some(MachineOutcome::Accepted) => self.planner.order_accepted(wave, machine, now),
            Some(MachineOutcome::Fenced) => self.is_fenced = true,
            Some(MachineOutcome::Busy | MachineOutcome::Throttled) => {
                self.planner.order_rejected(wave, machine);
            }
            Some(MachineOutcome::NotInWave | MachineOutcome::Invalid) => {
                self.planner.order_needless(wave, machine);
            }
            // The planner repeats an order that was not answered.
            None => {}
        }
    }
}
