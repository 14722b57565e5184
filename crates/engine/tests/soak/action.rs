//! Actions of a soak, drawn from the seed; they overlap and come in series.

use std::rc;
use std::time;

use rand::Rng;
use rand::rngs::StdRng;
use redwing_engine::EngineSettings;
use redwing_standin::WorkerFault;
use tokio::time as timer;

use crate::cluster::SoakCluster;

/// Longest time between the first and the last start of a series, in milliseconds.
const MAX_SERIES_MS: u64 = 20_000;

/// Processes that an action affects.
#[derive(Clone, Copy, Debug)]
enum ProcessChoice {
    One(usize),
    Owner,
    Every { gap_ms: u64 },
}

/// Drawn action; all times are in milliseconds.
#[derive(Clone, Copy, Debug)]
#[rustfmt::skip]
enum SoakAction {
    Quiet { ms: u64 },
    Restart { choice: ProcessChoice, leave_ms: u64, down_ms: u64 },
    Kill { choice: ProcessChoice, down_ms: u64 },
    Drain { worker: u32, leaves_ms: u64, is_replaced: bool },
    CrashWorker { worker: u32 },
    SilenceWorker { worker: u32, ms: u64 },
    DelayOrders { worker: u32, delay_ms: u64, ms: u64 },
    AddWorkers { count: u32 },
    TableDown { ms: u64 },
    TableSlow { delay_ms: u64, ms: u64 },
    CutOff { choice: ProcessChoice, ms: u64 },
    LoseReplies { count: u32 },
    LoseRequests { count: u32 },
    DelayCommits { count: u32, ms: u64 },
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

#[rustfmt::skip]
fn draw(rng: &mut StdRng, processes: usize) -> SoakAction {
    let choice = draw_choice(rng, processes);
    let worker = rng.random_range(0..100);
    let count = rng.random_range(1..4);
    let ms = rng.random_range(300..4_000);
    let down_ms = rng.random_range(0..2_000);
    match rng.random_range(0..100) {
        0..10 => SoakAction::Quiet { ms: rng.random_range(5_000..13_000) },
        10..32 => SoakAction::Restart { choice, leave_ms: rng.random_range(200..3_500), down_ms },
        32..38 => SoakAction::Kill { choice, down_ms },
        38..58 => SoakAction::Drain {
            worker, leaves_ms: rng.random_range(3_000..9_000), is_replaced: rng.random(),
        },
        58..62 => SoakAction::CrashWorker { worker },
        62..66 => SoakAction::SilenceWorker { worker, ms: rng.random_range(1_000..14_000) },
        66..69 => SoakAction::DelayOrders { worker, delay_ms: rng.random_range(100..2_500), ms },
        69..74 => SoakAction::AddWorkers { count },
        74..77 => SoakAction::TableDown { ms },
        77..80 => SoakAction::TableSlow { delay_ms: rng.random_range(20..600), ms },
        80..84 => SoakAction::CutOff { choice, ms },
        84..87 => SoakAction::LoseReplies { count },
        87..90 => SoakAction::LoseRequests { count },
        90..93 => SoakAction::DelayCommits { count, ms },
        _ => SoakAction::ChangeManifest { count: count * 3, gap_ms: rng.random_range(0..200) },
    }
}

/// Runs drawn actions for the duration, and waits until all have ended.
pub(crate) async fn run_all(
    cluster: &rc::Rc<SoakCluster>,
    rng: &mut StdRng,
    duration: time::Duration,
) {
    let processes = cluster.slots.borrow().len();
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
        running.push(tokio::task::spawn_local(async move {
            run(&cluster, action).await;
            cluster.acted_at.set(timer::Instant::now());
        }));
        let is_series = rng.random_bool(0.4);
        pause(if is_series {
            50
        } else {
            rng.random_range(100..3_000)
        })
        .await;
    }
    for action in running {
        action.await.expect("the action ends");
    }
}

async fn run(cluster: &SoakCluster, action: SoakAction) {
    match action {
        SoakAction::Quiet { .. } => {}
        SoakAction::Restart {
            choice,
            leave_ms,
            down_ms,
        } => {
            let leave_delay = time::Duration::from_millis(leave_ms);
            each(cluster, choice, async |node| {
                if cluster.stop_process(node).await {
                    pause(down_ms).await;
                    start(cluster, node, leave_delay).await;
                }
            })
            .await;
        }
        SoakAction::Kill { choice, down_ms } => {
            each(cluster, choice, async |node| {
                cluster.mark_unplanned();
                if cluster.kill_process(node).await {
                    pause(down_ms).await;
                    start(cluster, node, EngineSettings::default().leave_delay).await;
                }
            })
            .await;
        }
        SoakAction::Drain {
            worker,
            leaves_ms,
            is_replaced,
        } => {
            let Some((_, worker)) = cluster.take_worker(worker) else {
                return;
            };
            cluster
                .workers
                .drain(&worker, time::Duration::from_millis(leaves_ms));
            cluster.register().await;
            pause(leaves_ms).await;
            cluster.remove_worker(&worker).await;
            if is_replaced {
                cluster.add_worker().await;
            }
        }
        SoakAction::AddWorkers { count } => {
            for _ in 0..count {
                cluster.add_worker().await;
            }
        }
        SoakAction::ChangeManifest { count, gap_ms } => {
            for number in 0..count {
                cluster.change_manifest(f64::from(number + 1)).await;
                pause(gap_ms).await;
            }
        }
        _ => {
            cluster.mark_unplanned();
            run_fault(cluster, action).await;
        }
    }
}

async fn run_fault(cluster: &SoakCluster, action: SoakAction) {
    match action {
        SoakAction::CrashWorker { worker } => {
            if let Some((number, worker)) = cluster.take_worker(worker) {
                cluster.workers.crash(&worker);
                cluster.return_worker(number);
            }
        }
        SoakAction::SilenceWorker { worker, ms } => {
            let fault = WorkerFault {
                is_unresponsive: true,
                ..WorkerFault::default()
            };
            fault_worker(cluster, worker, fault, ms).await;
        }
        SoakAction::DelayOrders {
            worker,
            delay_ms,
            ms,
        } => {
            let execution_delay = Some(time::Duration::from_millis(delay_ms));
            let fault = WorkerFault {
                execution_delay,
                ..WorkerFault::default()
            };
            fault_worker(cluster, worker, fault, ms).await;
        }
        SoakAction::TableDown { ms } => {
            cluster.set_table(None, |plan| plan.table_down = true);
            hold_fault(cluster, ms).await;
            cluster.set_table(None, |plan| plan.table_down = false);
        }
        SoakAction::TableSlow { delay_ms, ms } => {
            cluster.set_table(None, |plan| plan.table_delay_millis = delay_ms);
            hold_fault(cluster, ms).await;
            cluster.set_table(None, |plan| plan.table_delay_millis = 0);
        }
        SoakAction::CutOff { choice, ms } => {
            each(cluster, choice, async |node| {
                cluster.set_table(Some(node), |plan| plan.table_down = true);
                hold_fault(cluster, ms).await;
                cluster.set_table(Some(node), |plan| plan.table_down = false);
            })
            .await;
        }
        SoakAction::LoseReplies { count } => {
            cluster.set_table(None, |plan| plan.lost_replies = count)
        }
        SoakAction::LoseRequests { count } => {
            cluster.set_table(None, |plan| plan.lost_requests = count)
        }
        SoakAction::DelayCommits { count, ms } => {
            cluster.set_table(None, |plan| plan.late_requests = count);
            hold_fault(cluster, ms).await;
            cluster.set_table(None, |plan| plan.late_requests = 0);
            cluster.platform.deliver_late_requests();
        }
        _ => {}
    }
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
            let nodes = 0..cluster.slots.borrow().len();
            let changes = nodes.map(async |node| {
                pause(gap_ms * node as u64).await;
                change(node).await;
            });
            futures_util::future::join_all(changes).await;
        }
    }
}

async fn fault_worker(cluster: &SoakCluster, worker: u32, fault: WorkerFault, ms: u64) {
    if let Some((number, worker)) = cluster.take_worker(worker) {
        cluster.set_worker_fault(&worker, fault);
        pause(ms).await;
        cluster.set_worker_fault(&worker, WorkerFault::default());
        cluster.return_worker(number);
    }
}

/// Waits while a fault is active; it is unplanned until its end.
async fn hold_fault(cluster: &SoakCluster, ms: u64) {
    cluster.active_faults.set(cluster.active_faults.get() + 1);
    pause(ms).await;
    cluster.active_faults.set(cluster.active_faults.get() - 1);
    cluster.mark_unplanned();
}

async fn start(cluster: &SoakCluster, node: usize, leave_delay: time::Duration) {
    let settings = EngineSettings {
        leave_delay,
        ..EngineSettings::default()
    };
    cluster.start_process(node, settings).await;
}

async fn pause(ms: u64) {
    timer::sleep(time::Duration::from_millis(ms)).await;
}
