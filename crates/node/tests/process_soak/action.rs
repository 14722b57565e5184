//! Actions of a soak, drawn from the seed; they overlap and come in series.

use std::rc;
use std::time;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time as timer;

use crate::caller;
use crate::cluster::SoakCluster;
use crate::platform::StandinPlatform;
use crate::proxy::{LinkFault, LinkProxy};

/// Longest time between the first and the last start of a series, in milliseconds.
const MAX_SERIES_MS: u64 = 20_000;

/// Processes that an action affects.
#[derive(Clone, Copy, Debug)]
enum ProcessChoice {
    One(usize),
    Owner,
    Every { gap_ms: u64 },
}

/// Listener whose proxy an action disturbs.
#[derive(Clone, Copy, Debug)]
enum LinkChoice {
    Caller,
    Table,
}

/// Disturbance of a link.
#[derive(Clone, Copy, Debug)]
enum LinkAction {
    Delay { delay_ms: u64 },
    HoldRequests,
    HoldResponses,
    HoldBoth,
    Reset,
    Silence,
    Slow { bandwidth: u32 },
}

/// Service of the platform that a fault is in.
#[derive(Clone, Copy, Debug)]
enum FaultTarget {
    Advisor,
    Machines,
    Table,
    TableWrites,
    /// Worker of one machine, or of all.
    Workers(Option<usize>),
}

/// Fault of the calls to a service.
#[derive(Clone, Copy, Debug)]
enum CallFault {
    Delay { delay_ms: u64 },
    Late { delay_ms: u64 },
    LoseReplies,
    LoseRequests,
    Refuse { status: u16 },
}

/// Fault of the platform, or of a worker.
#[derive(Clone, Copy, Debug)]
enum PlatformFault {
    Calls {
        target: FaultTarget,
        fault: CallFault,
        share: f64,
    },
    Crash {
        worker: usize,
        is_replaced: bool,
    },
    FailRuns {
        share: f64,
    },
    LapseLeases {
        worker: usize,
    },
    LapseRegistrations {
        worker: Option<usize>,
    },
    Lose {
        worker: usize,
    },
    LoseHistory,
    SlowRuns {
        factor: f64,
    },
    StepClock {
        worker: usize,
        step_ms: i64,
    },
}

impl PlatformFault {
    /// Returns the fault in the platform's format.
    fn text(self, platform: &StandinPlatform, ms: u64) -> String {
        let machine = |worker: usize| format!("machine = {}\n", platform.machine_number(worker));
        let lasts = format!("to-seconds = {:?}\n", ms as f64 / 1_000.0);
        let fields = match self {
            Self::Calls {
                target,
                fault,
                share,
            } => {
                let target = match target {
                    FaultTarget::Advisor => "target = \"advisor\"\n".to_owned(),
                    FaultTarget::Machines => "target = \"machines\"\n".to_owned(),
                    FaultTarget::Table => "target = \"table\"\n".to_owned(),
                    FaultTarget::TableWrites => "target = \"table-writes\"\n".to_owned(),
                    FaultTarget::Workers(worker) => {
                        let machine = worker.map(machine).unwrap_or_default();
                        format!("target = \"workers\"\n{machine}")
                    }
                };
                let fault = match fault {
                    CallFault::Delay { delay_ms } => {
                        format!("effect = \"delay\"\ndelay-ms = {delay_ms}\n")
                    }
                    CallFault::Late { delay_ms } => {
                        format!("effect = \"late\"\ndelay-ms = {delay_ms}\n")
                    }
                    CallFault::LoseReplies => "effect = \"lose-replies\"\n".to_owned(),
                    CallFault::LoseRequests => "effect = \"lose-requests\"\n".to_owned(),
                    CallFault::Refuse { status } => {
                        format!("effect = \"refuse\"\nstatus = {status}\n")
                    }
                };
                format!("{target}{fault}{lasts}share = {share:?}\n")
            }
            Self::Crash {
                worker,
                is_replaced,
            } => {
                let effect = if is_replaced { "replace" } else { "crash" };
                format!("effect = \"{effect}\"\ndown-ms = {ms}\n{}", machine(worker))
            }
            Self::FailRuns { share } => {
                format!("effect = \"fail-runs\"\nshare = {share:?}\n{lasts}")
            }
            Self::LapseLeases { worker } => {
                format!("effect = \"lapse-leases\"\n{}", machine(worker))
            }
            Self::LapseRegistrations { worker } => {
                let machine = worker.map(machine).unwrap_or_default();
                format!("effect = \"lapse-registrations\"\n{machine}{lasts}")
            }
            Self::Lose { worker } => format!("effect = \"lose\"\n{}", machine(worker)),
            Self::LoseHistory => "effect = \"lose-history\"\n".to_owned(),
            Self::SlowRuns { factor } => {
                format!("effect = \"slow-runs\"\nfactor = {factor:?}\n{lasts}")
            }
            Self::StepClock { worker, step_ms } => {
                format!(
                    "effect = \"step-clocks\"\nstep-ms = {step_ms}\n{}",
                    machine(worker)
                )
            }
        };
        format!("[[fault]]\nfrom-seconds = 0.0\n{fields}")
    }
}

/// Drawn action; all times are in milliseconds.
#[derive(Clone, Copy, Debug)]
#[rustfmt::skip]
enum SoakAction {
    Quiet { ms: u64 },
    Restart { choice: ProcessChoice, down_ms: u64 },
    RestartAndKill { choice: ProcessChoice, kill_ms: u64, down_ms: u64 },
    Kill { choice: ProcessChoice, down_ms: u64 },
    Freeze { choice: ProcessChoice, ms: u64 },
    Reload { choice: ProcessChoice },
    Disturb { choice: ProcessChoice, link: LinkChoice, action: LinkAction, ms: u64 },
    Platform { fault: PlatformFault, ms: u64 },
    Drain { worker: usize },
    Remove { node: usize, is_killed: bool },
    Burst { jobs: u32 },
    Wave { first: usize, machines: usize, max_down: u32 },
    ChangeManifest { count: u32, gap_ms: u64 },
}

fn draw_choice(rng: &mut StdRng, processes: usize) -> ProcessChoice {
    let one = ProcessChoice::One(rng.random_range(0..processes));
    match rng.random_range(0..3) {
        0 => one,
        1 => ProcessChoice::Owner,
        _ => ProcessChoice::Every {
            gap_ms: rng
                .random_range(0..2_500)
                .min(MAX_SERIES_MS / processes as u64),
        },
    }
}

fn draw_link(rng: &mut StdRng) -> LinkAction {
    match rng.random_range(0..7) {
        0 => LinkAction::Delay {
            delay_ms: rng.random_range(5..400),
        },
        1 => LinkAction::HoldRequests,
        2 => LinkAction::HoldResponses,
        3 => LinkAction::HoldBoth,
        4 => LinkAction::Reset,
        5 => LinkAction::Slow {
            bandwidth: rng.random_range(50..1_000),
        },
        _ => LinkAction::Silence,
    }
}

#[rustfmt::skip]
fn draw_fault(rng: &mut StdRng) -> PlatformFault {
    let worker = rng.random_range(0..100);
    let any_worker = rng.random::<bool>().then_some(worker);
    let delay_ms = rng.random_range(20..1_500);
    let target = match rng.random_range(0..10) {
        0..4 => FaultTarget::Table,
        4..6 => FaultTarget::TableWrites,
        6..8 => FaultTarget::Workers(any_worker),
        8 => FaultTarget::Machines,
        _ => FaultTarget::Advisor,
    };
    let fault = match rng.random_range(0..5) {
        0 => CallFault::Delay { delay_ms },
        1 => CallFault::Late { delay_ms },
        2 => CallFault::LoseReplies,
        3 => CallFault::LoseRequests,
        _ => CallFault::Refuse { status: if rng.random() { 503 } else { 429 } },
    };
    let share = if rng.random() { 1.0 } else { rng.random_range(0.05..0.6) };
    match rng.random_range(0..20) {
        0..9 => PlatformFault::Calls { target, fault, share },
        9..12 => PlatformFault::Crash { worker, is_replaced: rng.random() },
        12 => PlatformFault::FailRuns { share: share.min(0.3) },
        13..15 => PlatformFault::LapseLeases { worker },
        15 => PlatformFault::LapseRegistrations { worker: any_worker },
        16 => PlatformFault::Lose { worker },
        17 => PlatformFault::LoseHistory,
        18 => PlatformFault::SlowRuns { factor: rng.random_range(0.5..4.0) },
        _ => PlatformFault::StepClock { worker, step_ms: rng.random_range(-3_000..3_000) },
    }
}

#[rustfmt::skip]
fn draw(rng: &mut StdRng, processes: usize) -> SoakAction {
    let choice = draw_choice(rng, processes);
    let worker = rng.random_range(0..100);
    let count = rng.random_range(1..4);
    let ms = rng.random_range(300..4_000);
    let down_ms = rng.random_range(0..2_000);
    match rng.random_range(0..100) {
        0..10 => SoakAction::Quiet { ms: rng.random_range(5_000..13_000) },
        10..26 => SoakAction::Restart { choice, down_ms },
        26..30 => SoakAction::RestartAndKill {
            choice, kill_ms: rng.random_range(100..5_000), down_ms,
        },
        30..37 => SoakAction::Kill { choice, down_ms },
        37..44 => SoakAction::Freeze { choice, ms },
        44..47 => SoakAction::Reload { choice },
        47..49 => SoakAction::Remove {
            node: rng.random_range(0..processes), is_killed: rng.random(),
        },
        49..52 => SoakAction::Burst { jobs: rng.random_range(32..160) },
        52..58 => SoakAction::Disturb {
            choice, link: LinkChoice::Table, action: draw_link(rng), ms,
        },
        58..61 => SoakAction::Disturb {
            choice, link: LinkChoice::Caller, action: draw_link(rng), ms,
        },
        61..75 => SoakAction::Platform { fault: draw_fault(rng), ms },
        75..85 => SoakAction::Drain { worker },
        85..92 => SoakAction::Wave {
            first: worker, machines: rng.random_range(1..5), max_down: count,
        },
        _ => SoakAction::ChangeManifest { count: count * 3, gap_ms: rng.random_range(0..200) },
    }
}

/// Runs actions drawn from the seed for the duration, and waits until all have ended.
pub(crate) async fn run_all(cluster: &rc::Rc<SoakCluster>, seed: u64, duration: time::Duration) {
    let mut rng = StdRng::seed_from_u64(seed);
    let rng = &mut rng;
    let processes = cluster.processes();
    let mut bursts = 0;
    let mut running = Vec::new();
    while cluster.started_at.elapsed() < duration {
        let action = draw(rng, processes);
        println!("{:7.2?} {action:?}", cluster.started_at.elapsed());
        if let SoakAction::Quiet { ms } = action {
            pause(ms).await;
            continue;
        }
        cluster.acted_at.set(timer::Instant::now());
        let cluster = rc::Rc::clone(cluster);
        let burst = bursts;
        bursts += u32::from(matches!(action, SoakAction::Burst { .. }));
        running.push(tokio::task::spawn_local(async move {
            match action {
                SoakAction::Burst { jobs } => {
                    caller::submit_burst(&cluster, seed, burst, jobs).await;
                }
                _ => run(&cluster, action).await,
            }
            cluster.acted_at.set(timer::Instant::now());
        }));
        let is_series = rng.random_bool(0.4);
        let gap_ms = rng.random_range(100..3_000);
        pause(if is_series { 50 } else { gap_ms }).await;
    }
    for action in running {
        action.await.expect("the action ends");
    }
}

async fn run(cluster: &SoakCluster, action: SoakAction) {
    match action {
        SoakAction::Quiet { .. } => {}
        SoakAction::Restart { choice, down_ms } => {
            each(cluster, choice, async |node| {
                restart(cluster, node, down_ms).await;
            })
            .await;
        }
        SoakAction::Reload { choice } => {
            each(cluster, choice, async |node| cluster.reload_process(node)).await;
        }
        SoakAction::Remove { node, is_killed } => {
            // Half of the processes remain.
            if !cluster.may_remove() {
                return;
            }
            if is_killed {
                cluster.mark_unplanned();
                cluster.kill_process(node);
            } else {
                cluster.stop_process(node).await;
            }
        }
        SoakAction::Drain { worker } => cluster.platform.drain_worker(worker).await,
        SoakAction::Wave {
            first,
            machines,
            max_down,
        } => {
            let platform = &cluster.platform;
            platform.request_wave(first, machines, max_down).await;
        }
        SoakAction::ChangeManifest { count, gap_ms } => {
            for number in 0..count {
                let weight = f64::from(number + 1);
                cluster.platform.change_manifest(weight).await;
                pause(gap_ms).await;
            }
        }
        _ => {
            cluster.mark_unplanned();
            run_fault(cluster, action).await;
            cluster.mark_unplanned();
        }
    }
}

async fn run_fault(cluster: &SoakCluster, action: SoakAction) {
    match action {
        SoakAction::RestartAndKill {
            choice,
            kill_ms,
            down_ms,
        } => {
            each(cluster, choice, async |node| {
                let kill = async {
                    pause(kill_ms).await;
                    cluster.mark_unplanned();
                    if cluster.kill_process(node) {
                        pause(down_ms).await;
                        cluster.start_process(node).await;
                    }
                };
                tokio::join!(restart(cluster, node, down_ms), kill);
            })
            .await;
        }
        SoakAction::Kill { choice, down_ms } => {
            each(cluster, choice, async |node| {
                cluster.mark_unplanned();
                if cluster.kill_process(node) {
                    pause(down_ms).await;
                    cluster.start_process(node).await;
                }
            })
            .await;
        }
        SoakAction::Freeze { choice, ms } => {
            each(cluster, choice, async |node| {
                cluster.freeze_process(node, true);
                hold_fault(cluster, ms).await;
                cluster.freeze_process(node, false);
            })
            .await;
        }
        SoakAction::Disturb {
            choice,
            link,
            action,
            ms,
        } => {
            each(cluster, choice, async |node| {
                disturb(cluster, node, link, action);
                hold_fault(cluster, ms).await;
                with_link(cluster, node, link, |link| {
                    link.set_fault(LinkFault::default());
                });
            })
            .await;
        }
        SoakAction::Platform { fault, ms } => {
            match fault {
                PlatformFault::Lose { .. } if cluster.platform.lost_machines() > 0 => return,
                PlatformFault::Lose { worker } => cluster.platform.lose_machine(worker).await,
                _ => {
                    let text = fault.text(&cluster.platform, ms);
                    cluster.platform.add_faults(&text).await;
                }
            }
            hold_fault(cluster, ms).await;
        }
        _ => {}
    }
}

async fn restart(cluster: &SoakCluster, node: usize, down_ms: u64) {
    if cluster.stop_process(node).await {
        pause(down_ms).await;
        cluster.start_process(node).await;
    }
}

fn disturb(cluster: &SoakCluster, node: usize, link: LinkChoice, action: LinkAction) {
    let fault = match action {
        LinkAction::Delay { delay_ms } => LinkFault {
            delay: time::Duration::from_millis(delay_ms),
            ..LinkFault::default()
        },
        LinkAction::Slow { bandwidth } => LinkFault {
            bandwidth,
            ..LinkFault::default()
        },
        LinkAction::HoldRequests => LinkFault {
            holds_requests: true,
            ..LinkFault::default()
        },
        LinkAction::HoldResponses => LinkFault {
            holds_responses: true,
            ..LinkFault::default()
        },
        LinkAction::HoldBoth => LinkFault {
            holds_requests: true,
            holds_responses: true,
            ..LinkFault::default()
        },
        LinkAction::Reset => return with_link(cluster, node, link, LinkProxy::reset),
        LinkAction::Silence => return with_link(cluster, node, link, LinkProxy::silence),
    };
    with_link(cluster, node, link, |link| link.set_fault(fault));
}

fn with_link(
    cluster: &SoakCluster,
    node: usize,
    link: LinkChoice,
    change: impl FnOnce(&LinkProxy),
) {
    let slot = &cluster.slots.borrow()[node];
    change(match link {
        LinkChoice::Caller => &slot.caller_link,
        LinkChoice::Table => &slot.table_link,
    });
}

/// Runs a change for each chosen process, several of them in turn.
async fn each(cluster: &SoakCluster, choice: ProcessChoice, change: impl AsyncFn(usize)) {
    match choice {
        ProcessChoice::One(node) => change(node).await,
        ProcessChoice::Owner => {
            if let Some(node) = cluster.owner_node().await {
                change(node).await;
            }
        }
        ProcessChoice::Every { gap_ms } => {
            let changes = (0..cluster.processes()).map(async |node| {
                pause(gap_ms * node as u64).await;
                change(node).await;
            });
            futures_util::future::join_all(changes).await;
        }
    }
}

/// Waits while a fault is active; it is unplanned until its end.
async fn hold_fault(cluster: &SoakCluster, ms: u64) {
    cluster.active_faults.set(cluster.active_faults.get() + 1);
    pause(ms).await;
    cluster.active_faults.set(cluster.active_faults.get() - 1);
    cluster.mark_unplanned();
}

async fn pause(ms: u64) {
    timer::sleep(time::Duration::from_millis(ms)).await;
}
