//! Actions of a soak, drawn from the seed; they overlap and come in series.

use std::rc;
use std::time;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time as timer;

use crate::caller;
use crate::cluster::SoakCluster;
use crate::platform::{FAIL_RUNS, LOSE, PlatformFault};
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

/// Listener whose proxy has a fault.
#[derive(Clone, Copy, Debug)]
enum LinkChoice {
    Caller,
    Table,
}

/// Fault of a link, or of the connections that are open.
#[derive(Clone, Copy, Debug)]
enum LinkAction {
    Fault(LinkFault),
    Reset,
    Silence,
}

/// Action on one process.
#[derive(Clone, Copy, Debug)]
#[rustfmt::skip]
enum ProcessAction {
    Freeze { ms: u64 },
    Kill { down_ms: u64 },
    Link { link: LinkChoice, action: LinkAction, ms: u64 },
    Reload,
    Restart { down_ms: u64 },
    RestartAndKill { kill_ms: u64, down_ms: u64 },
}

impl ProcessAction {
    fn is_planned(self) -> bool {
        matches!(self, Self::Reload | Self::Restart { .. })
    }
}

/// Drawn action; all times are in milliseconds.
#[derive(Clone, Debug)]
#[rustfmt::skip]
enum SoakAction {
    Burst { jobs: u32 },
    ChangeManifest { count: u32, gap_ms: u64 },
    Drain { worker: usize },
    Platform { fault: PlatformFault },
    Process { choice: ProcessChoice, action: ProcessAction },
    Quiet { ms: u64 },
    Remove { node: usize, is_killed: bool },
    Wave { first: usize, machines: usize, max_down: u32 },
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
    let mut fault = LinkFault::default();
    match rng.random_range(0..7) {
        0 => fault.delay = time::Duration::from_millis(rng.random_range(5..400)),
        1 => fault.holds_requests = true,
        2 => fault.holds_responses = true,
        3 => (fault.holds_requests, fault.holds_responses) = (true, true),
        4 => return LinkAction::Reset,
        5 => fault.bandwidth = rng.random_range(50..1_000),
        _ => return LinkAction::Silence,
    }
    LinkAction::Fault(fault)
}

fn draw_fault(rng: &mut StdRng, ms: u64) -> PlatformFault {
    let worker = rng.random_range(0..100);
    let any_worker = rng.random::<bool>().then_some(worker);
    let delay_ms: u64 = rng.random_range(20..1_500);
    let (target, target_worker) = match rng.random_range(0..10) {
        0..4 => ("table", None),
        4..6 => ("table-writes", None),
        6..8 => ("workers", any_worker),
        8 => ("machines", None),
        _ => ("advisor", None),
    };
    let (call_effect, call_field) = match rng.random_range(0..5) {
        0 => ("delay", format!("delay-ms = {delay_ms}, ")),
        1 => ("late", format!("delay-ms = {delay_ms}, ")),
        2 => ("lose-replies", String::new()),
        3 => ("lose-requests", String::new()),
        _ => {
            let status = if rng.random() { 503 } else { 429 };
            ("refuse", format!("status = {status}, "))
        }
    };
    let share: f64 = match rng.random() {
        true => 1.0,
        false => rng.random_range(0.05..0.6),
    };
    let lasts = |ms: u64| format!("to-seconds = {:?}", ms as f64 / 1_000.0);
    let mut ms = ms;
    let (effect, worker, fields) = match rng.random_range(0..20) {
        0..9 => {
            // One worker may be out of reach for longer than its leases last.
            ms *= if target_worker.is_some() { 3 } else { 1 };
            let lasts = lasts(ms);
            let fields = format!("target = \"{target}\", {call_field}share = {share:?}, {lasts}");
            (call_effect, target_worker, fields)
        }
        9..12 => {
            let is_replaced: bool = rng.random();
            let effect = if is_replaced { "replace" } else { "crash" };
            (effect, Some(worker), format!("down-ms = {ms}"))
        }
        12 => {
            let fields = format!("share = {:?}, {}", share.min(0.3), lasts(ms));
            (FAIL_RUNS, None, fields)
        }
        13..15 => ("lapse-leases", Some(worker), String::new()),
        15 => ("lapse-registrations", any_worker, lasts(ms)),
        16 => (LOSE, Some(worker), String::new()),
        17 => ("lose-history", None, String::new()),
        18 => {
            let factor: f64 = rng.random_range(0.5..4.0);
            let fields = format!("factor = {factor:?}, {}", lasts(ms));
            ("slow-runs", None, fields)
        }
        _ => {
            let step_ms: i64 = rng.random_range(-3_000..3_000);
            let fields = format!("step-ms = {step_ms}");
            ("step-clocks", Some(worker), fields)
        }
    };
    PlatformFault {
        effect,
        worker,
        fields,
        ms,
    }
}

#[rustfmt::skip]
fn draw(rng: &mut StdRng, processes: usize) -> SoakAction {
    let choice = draw_choice(rng, processes);
    let on = |action| SoakAction::Process { choice, action };
    let worker = rng.random_range(0..100);
    let count = rng.random_range(1..4);
    let ms = rng.random_range(300..4_000);
    let down_ms = rng.random_range(0..2_000);
    match rng.random_range(0..100) {
        0..10 => SoakAction::Quiet { ms: rng.random_range(5_000..13_000) },
        10..26 => on(ProcessAction::Restart { down_ms }),
        26..30 => {
            on(ProcessAction::RestartAndKill { kill_ms: rng.random_range(100..5_000), down_ms })
        }
        30..37 => on(ProcessAction::Kill { down_ms }),
        37..44 => on(ProcessAction::Freeze { ms }),
        44..47 => on(ProcessAction::Reload),
        47..49 => SoakAction::Remove {
            node: rng.random_range(0..processes), is_killed: rng.random(),
        },
        49..52 => SoakAction::Burst { jobs: rng.random_range(32..160) },
        52..58 => {
            on(ProcessAction::Link { link: LinkChoice::Table, action: draw_link(rng), ms })
        }
        58..61 => {
            on(ProcessAction::Link { link: LinkChoice::Caller, action: draw_link(rng), ms })
        }
        61..75 => SoakAction::Platform { fault: draw_fault(rng, ms) },
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
    let mut bursts = 0;
    let mut running = Vec::new();
    while cluster.started_at.elapsed() < duration {
        let action = draw(&mut rng, cluster.processes());
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

#[rustfmt::skip]
async fn run(cluster: &SoakCluster, action: SoakAction) {
    let platform = &cluster.platform;
    match action {
        SoakAction::Burst { .. } | SoakAction::Quiet { .. } => {}
        SoakAction::ChangeManifest { count, gap_ms } => {
            for number in 0..count {
                platform.change_manifest(f64::from(number + 1)).await;
                pause(gap_ms).await;
            }
        }
        SoakAction::Drain { worker } => platform.drain_worker(worker).await,
        SoakAction::Platform { fault } => {
            cluster.mark_unplanned();
            if platform.add_fault(&fault).await {
                hold_fault(cluster, fault.ms).await;
            }
            cluster.mark_unplanned();
        }
        SoakAction::Process { choice, action } if action.is_planned() => {
            each(cluster, choice, async |node| run_on(cluster, node, action).await).await;
        }
        SoakAction::Process { choice, action } => {
            cluster.mark_unplanned();
            each(cluster, choice, async |node| run_on(cluster, node, action).await).await;
            cluster.mark_unplanned();
        }
        // Half of the processes remain.
        SoakAction::Remove { .. } if !cluster.may_remove() => {}
        SoakAction::Remove { node, is_killed: true } => {
            cluster.mark_unplanned();
            cluster.kill_process(node);
        }
        SoakAction::Remove { node, is_killed: false } => {
            cluster.stop_process(node).await;
        }
        SoakAction::Wave { first, machines, max_down } => {
            platform.request_wave(first, machines, max_down).await;
        }
    }
}

/// Runs an action on one process, until the process is as it was before.
async fn run_on(cluster: &SoakCluster, node: usize, action: ProcessAction) {
    match action {
        ProcessAction::Freeze { ms } => {
            cluster.freeze_process(node, true);
            hold_fault(cluster, ms).await;
            cluster.freeze_process(node, false);
        }
        ProcessAction::Kill { down_ms } => kill(cluster, node, down_ms).await,
        ProcessAction::Link { link, action, ms } => {
            with_link(cluster, node, link, |link| match action {
                LinkAction::Fault(fault) => link.set_fault(fault),
                LinkAction::Reset => link.reset(),
                LinkAction::Silence => link.silence(),
            });
            hold_fault(cluster, ms).await;
            let usual = LinkFault::default();
            with_link(cluster, node, link, |link| link.set_fault(usual));
        }
        ProcessAction::Reload => cluster.reload_process(node),
        ProcessAction::Restart { down_ms } => restart(cluster, node, down_ms).await,
        ProcessAction::RestartAndKill { kill_ms, down_ms } => {
            let kill = async {
                pause(kill_ms).await;
                kill(cluster, node, down_ms).await;
            };
            tokio::join!(restart(cluster, node, down_ms), kill);
        }
    }
}

/// Kills a process and starts it again after a time.
pub(crate) async fn kill(cluster: &SoakCluster, node: usize, down_ms: u64) {
    cluster.mark_unplanned();
    if cluster.kill_process(node) {
        pause(down_ms).await;
        cluster.start_process(node).await;
    }
}

async fn restart(cluster: &SoakCluster, node: usize, down_ms: u64) {
    if cluster.stop_process(node).await {
        pause(down_ms).await;
        cluster.start_process(node).await;
    }
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
