//! Workers that start again under their ids and are cut off soon after, while long tasks
//! run and orders for their former incarnations are on their way.
//!
//! Load pattern: tasks that outlive the longest lease. A worker that is cut off goes on with
//! them until its lease expires, so that a start elsewhere before that shows as a second run.

use std::cell;
use std::rc;
use std::time;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task;
use tokio::time as timer;

use crate::action;
use crate::caller;
use crate::cluster::SoakCluster;
use crate::platform::{self, DATA_CENTRES, PlatformShape};

/// Differs the draws from those of other series.
const SEED_MASK: u64 = 0x7265_6375;

/// Longest lease that the workers grant, in milliseconds.
const MAX_LEASE_MS: u64 = 10_000;

/// Time from the beginning of a cut until the longest lease has expired on the slowest clock.
const LEASE_TIME: time::Duration = time::Duration::from_millis(10_500);

/// Longest time that runs go on after a cut under a usual lease, in milliseconds.
const USUAL_LEASE_MS: f64 = 5_200.0;

/// Longest time by which an order is late, in milliseconds.
const MAX_LATE_MS: u64 = 12_000;

/// Longest time from the start of a worker to its first registration, in milliseconds.
const MAX_REPORT_MS: u64 = 1_000;

/// Time for which a killed process is down, in milliseconds.
const PROCESS_DOWN_MS: u64 = 1_500;

/// Number of long tasks for each worker: most of those that one data centre loses run there
/// again, and elsewhere only when others have ended.
const TAKEOVER_LOAD: f64 = 0.9;

/// Number of long tasks for each worker, so that most are idle.
const IDLE_LOAD: f64 = 0.1;

/// Longest time that a round waits for a state of the workers or the owner.
const WAIT_LIMIT: time::Duration = time::Duration::from_millis(2_500);

/// Time in which a response of a worker is received.
const RESPONSE_TIME: time::Duration = time::Duration::from_millis(200);

/// Time between two looks at owner and workers.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(30);

/// Time before the crash for which orders may be late.
const LEAD_MS: u64 = 1_500;

/// Extent of a series.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SeriesShape {
    pub(crate) seed: u64,
    pub(crate) processes: usize,
    /// Number of workers in each pool.
    pub(crate) workers: usize,
    /// Time in which another round may begin.
    pub(crate) duration: time::Duration,
    pub(crate) rounds: RoundChoice,
}

impl SeriesShape {
    /// Returns the shape of the platform.
    pub(crate) fn platform(&self) -> PlatformShape {
        PlatformShape {
            workers: self.workers,
            max_lease_ms: MAX_LEASE_MS,
            has_standby: false,
            ..PlatformShape::usual(self.processes, self.seed)
        }
    }
}

/// Which rounds a series has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RoundChoice {
    /// Drawn from the seed.
    Any,
    /// All workers of a data centre return, the owner is killed, and they are cut off.
    Takeover,
    /// Idle workers return, get work before they have registered, and are cut off.
    Idle,
}

/// Workers that a round is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RoundScope {
    Worker(usize),
    DataCentre(usize),
}

/// Orders that are carried out late.
#[derive(Clone, Copy, Debug, PartialEq)]
struct LateOrders {
    /// Time before the crash from which they are sent, until the return.
    lead_ms: u64,
    share: f64,
    delay_ms: u64,
}

/// One crash with the return and the cut that follow; times are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
struct SeriesRound {
    scope: RoundScope,
    /// Time from the crash to the return.
    down_ms: u64,
    /// Time from the return to the first registration.
    report_ms: u64,
    /// Step of the workers' time of day.
    born_step_ms: i64,
    late: Vec<LateOrders>,
    /// Time from the return to the cut.
    reach_ms: u64,
    cut_ms: u64,
    /// Time from the return to a burst of jobs, if there is one.
    burst_ms: Option<u64>,
    /// Time from the beginning of the round to the end of the owner, if it is killed.
    kill_ms: Option<u64>,
    /// Whether the cut awaits the contact of a next owner with workers that have runs again,
    /// instead of its time.
    has_takeover: bool,
}

impl SeriesRound {
    fn draw(rng: &mut StdRng) -> Self {
        let scope = match rng.random_bool(0.8) {
            true => RoundScope::DataCentre(rng.random_range(0..DATA_CENTRES)),
            false => RoundScope::Worker(rng.random_range(0..100)),
        };
        let down_ms = match rng.random_bool(0.4) {
            true => rng.random_range(5..60),
            false => rng.random_range(60..1_500),
        };
        let reach_ms = match rng.random_bool(0.25) {
            true => rng.random_range(10..800),
            false => rng.random_range(800..4_000),
        };
        let cut_ms = rng.random_range(5_000..13_000);
        let late = (0..rng.random_range(0..4)).map(|_| LateOrders {
            lead_ms: rng.random_range(100..LEAD_MS),
            share: rng.random_range(0.1..0.9),
            delay_ms: match rng.random_bool(0.5) {
                true => down_ms + rng.random_range(20..1_200),
                false => rng.random_range(100..MAX_LATE_MS),
            },
        });
        let late = late.collect();
        let end_ms = LEAD_MS + down_ms + reach_ms + 1_000;
        Self {
            scope,
            down_ms,
            report_ms: rng.random_range(0..MAX_REPORT_MS),
            born_step_ms: match rng.random_bool(0.2) {
                true => -60_000,
                false => 0,
            },
            late,
            reach_ms,
            cut_ms,
            burst_ms: rng.random_bool(0.7).then(|| rng.random_range(0..reach_ms)),
            kill_ms: rng
                .random_bool(0.5)
                .then(|| rng.random_range(LEAD_MS / 2..end_ms)),
            has_takeover: false,
        }
    }

    /// Draws a round in which the owner is killed between the return and the cut.
    fn draw_takeover(rng: &mut StdRng) -> Self {
        let down_ms = rng.random_range(300..1_300);
        Self {
            scope: RoundScope::DataCentre(rng.random_range(0..DATA_CENTRES)),
            down_ms,
            report_ms: rng.random_range(300..600),
            born_step_ms: 0,
            late: vec![LateOrders {
                lead_ms: 800,
                share: 0.9,
                delay_ms: down_ms + 500,
            }],
            reach_ms: 0,
            cut_ms: rng.random_range(10_500..12_000),
            burst_ms: None,
            kill_ms: None,
            has_takeover: true,
        }
    }

    /// Draws a round in which workers get starts before anything of the new incarnations has
    /// been received.
    fn draw_idle(rng: &mut StdRng) -> Self {
        let down_ms = rng.random_range(5..60);
        let reach_ms = rng.random_range(250..900);
        Self {
            scope: RoundScope::DataCentre(rng.random_range(0..DATA_CENTRES)),
            down_ms,
            report_ms: MAX_REPORT_MS,
            born_step_ms: 0,
            late: Vec::new(),
            reach_ms,
            cut_ms: rng.random_range(10_500..12_000),
            burst_ms: Some(0),
            kill_ms: None,
            has_takeover: false,
        }
    }

    /// Time from the beginning of the round to the cut.
    fn cut_at(&self) -> time::Duration {
        time::Duration::from_millis(LEAD_MS + self.down_ms + self.reach_ms)
    }

    /// Returns the cut of one machine in the platform's format, some time from now.
    fn cut(&self, machine: usize, after: time::Duration) -> String {
        let from = after.as_secs_f64();
        let to = from + self.cut_ms as f64 / 1_000.0;
        format!(
            "{{ effect = \"cut\", machine = {machine}, from-seconds = {from:?}, to-seconds = {to:?} }},\n"
        )
    }

    /// Returns the faults of one machine in the platform's format, without the cut.
    fn faults(&self, machine: usize) -> String {
        let seconds = |ms: u64| ms as f64 / 1_000.0;
        let returned_ms = LEAD_MS + self.down_ms;
        let late = self.late.iter().map(|late| {
            format!(
                "{{ effect = \"late\", target = \"workers\", machine = {machine}, from-seconds = {:?}, \
                 to-seconds = {:?}, share = {:?}, delay-ms = {} }},\n",
                seconds(LEAD_MS - late.lead_ms),
                seconds(returned_ms),
                late.share,
                late.delay_ms
            )
        });
        let crash = format!(
            "{{ effect = \"crash\", machine = {machine}, from-seconds = {:?}, down-ms = {}, \
             born-step-ms = {}, report-ms = {} }},\n",
            seconds(LEAD_MS),
            self.down_ms,
            self.born_step_ms,
            self.report_ms
        );
        late.chain([crash]).collect()
    }
}

/// Runs rounds, one after the other, while callers submit long tasks.
pub(crate) async fn run_all(cluster: &rc::Rc<SoakCluster>, shape: SeriesShape) {
    // Until the end: an end that is lost in a crash may show long after it, and no bound holds.
    cluster.active_faults.set(cluster.active_faults.get() + 1);
    let mut rng = StdRng::seed_from_u64(shape.seed ^ SEED_MASK);
    let is_over = rc::Rc::new(cell::Cell::new(false));
    let load = match shape.rounds {
        RoundChoice::Takeover => TAKEOVER_LOAD,
        RoundChoice::Idle => IDLE_LOAD,
        RoundChoice::Any => rng.random_range(0.5..0.9),
    };
    let machines = cluster.platform.view().await.machine_count();
    let lasting = caller::submit_lasting(
        rc::Rc::clone(cluster),
        shape.seed,
        (
            (machines as f64 * load).ceil() as u32,
            shape.rounds != RoundChoice::Takeover,
        ),
        rc::Rc::clone(&is_over),
    );
    let lasting = task::spawn_local(lasting);
    let begun = timer::Instant::now();
    let mut rounds = 0;
    loop {
        timer::sleep(time::Duration::from_millis(rng.random_range(500..3_000))).await;
        let round = match shape.rounds {
            RoundChoice::Any => SeriesRound::draw(&mut rng),
            RoundChoice::Takeover => SeriesRound::draw_takeover(&mut rng),
            RoundChoice::Idle => SeriesRound::draw_idle(&mut rng),
        };
        println!("{:7.2?} {round:?}", cluster.started_at.elapsed());
        let tasks = machines as u32 / 2;
        let burst = caller::burst_lasting(cluster, shape.seed, rounds, tasks);
        run_round(cluster, &round, burst).await;
        rounds += 1;
        if begun.elapsed() >= shape.duration {
            break;
        }
    }
    is_over.set(true);
    lasting.await.expect("the long tasks end");
}

/// Runs a round; polls `burst` at its burst of jobs, if there is one.
async fn run_round(cluster: &SoakCluster, round: &SeriesRound, burst: impl Future<Output = ()>) {
    let machines = match round.scope {
        RoundScope::Worker(choice) => vec![cluster.platform.machine_number(choice)],
        RoundScope::DataCentre(number) => {
            let name = platform::data_centre_name(number);
            let view = cluster.platform.view().await;
            view.machines_in(&name)
        }
    };
    let begun = timer::Instant::now();
    let faults = machines.iter().map(|machine| match round.has_takeover {
        true => round.faults(*machine),
        false => round.faults(*machine) + &round.cut(*machine, round.cut_at()),
    });
    add_faults(cluster, faults.collect()).await;
    let kill = async {
        if let Some(kill_ms) = round.kill_ms {
            timer::sleep(time::Duration::from_millis(kill_ms)).await;
            if let Some(node) = cluster.owner_node().await {
                println!("{:7.2?} kill {node}", cluster.started_at.elapsed());
                action::kill(cluster, node, PROCESS_DOWN_MS).await;
            }
        }
    };
    let burst = async {
        if let Some(burst_ms) = round.burst_ms {
            let at_ms = LEAD_MS + round.down_ms + burst_ms;
            timer::sleep(time::Duration::from_millis(at_ms)).await;
            burst.await;
        }
    };
    let cut = async {
        let mut killed = None;
        if round.has_takeover {
            timer::sleep(time::Duration::from_millis(LEAD_MS + round.down_ms)).await;
            killed = take_over(cluster, &machines).await;
            let cuts = machines.iter();
            let cuts = cuts.map(|machine| round.cut(*machine, time::Duration::ZERO));
            add_faults(cluster, cuts.collect()).await;
        } else {
            timer::sleep_until(begun + round.cut_at()).await;
        }
        let cut_ms = cluster.platform.view().await.now_ms;
        let cut_time = time::Duration::from_millis(round.cut_ms).max(LEASE_TIME);
        let start = async {
            if let Some(node) = killed {
                cluster.start_process(node).await;
            }
        };
        tokio::join!(timer::sleep(cut_time), start);
        cut_ms
    };
    let (cut_ms, (), ()) = tokio::join!(cut, kill, burst);
    print_leases(cluster, cut_ms, &machines).await;
    cluster.acted_at.set(timer::Instant::now());
}

async fn add_faults(cluster: &SoakCluster, faults: String) {
    let text = format!("fault = [\n{faults}]");
    cluster.platform.add_faults(&text).await;
}

/// Kills the owner once most of the machines have runs again, and waits until another one is in
/// contact with their workers. Returns the node that was killed.
async fn take_over(cluster: &SoakCluster, machines: &[usize]) -> Option<usize> {
    let platform = &cluster.platform;
    let most = machines.len() * 4 / 5;
    wait_until(async || platform.view().await.busy_count(machines) > most).await;
    wait_until(async || cluster.owner_node().await.is_some()).await;
    let owner = cluster.owner_node().await?;
    println!("{:7.2?} kill {owner}", cluster.started_at.elapsed());
    cluster.mark_unplanned();
    cluster.kill_process(owner);
    let token = platform.view().await.last_token();
    wait_until(async || platform.view().await.fenced_count(machines, token) == machines.len())
        .await;
    timer::sleep(RESPONSE_TIME).await;
    Some(owner)
}

/// Waits for some time until a state is reached.
async fn wait_until(is_reached: impl AsyncFn() -> bool) {
    let end = timer::Instant::now() + WAIT_LIMIT;
    while timer::Instant::now() < end && !is_reached().await {
        timer::sleep(POLL_INTERVAL).await;
    }
}

/// Prints how many workers had runs at the cut, and for how long these went on.
async fn print_leases(cluster: &SoakCluster, cut_ms: f64, machines: &[usize]) {
    let view = cluster.platform.later_view().await;
    let lapses = view.lapses(cut_ms, machines);
    let last_ms = lapses.values().copied().fold(0.0, f64::max);
    let late = lapses.values().filter(|at| **at > cut_ms + USUAL_LEASE_MS);
    println!(
        "{:7.2?} cut at {cut_ms:.0} ms, runs lapse on {} workers, on {} of them late, the last after {:.0} ms",
        cluster.started_at.elapsed(),
        lapses.len(),
        late.count(),
        last_ms - cut_ms
    );
}
