//! Measures shares, limits and goodput of several cooperating schedulers.
//!
//! `cargo run --release -p redwing-policy --example share -- [SEED]` prints
//! each figure twice: with tokens transferred between the processes, and with
//! the fixed split of tokens that each process starts with.

#[path = "../tests/support/mod.rs"]
mod support;

use std::collections::BTreeMap;
use std::env;

use redwing_model::CustomerName;
use redwing_policy::SchedulerSettings;

use support::cluster::{Cluster, RequestEnd, SplitMix64};
use support::{FleetShape, customer, vm};

/// Entry processes.
const NODES: usize = 8;

/// Mean run time of a request, in milliseconds.
const MEAN_RUN_MILLIS: f64 = 300.0;

/// Time step, in milliseconds.
const STEP_MILLIS: u64 = 2;

/// Length of a window of share errors, in milliseconds.
const WINDOW_MILLIS: u64 = 10_000;

/// Generates arrivals and run times of one stream of requests.
struct Arrivals {
    random: SplitMix64,
}

impl Arrivals {
    /// Returns the number of arrivals within one step at `rate` requests per second.
    fn count(&mut self, rate: f64) -> u64 {
        let mean = rate * STEP_MILLIS as f64 / 1_000.0;
        let whole = mean.floor();
        whole as u64 + u64::from(self.random.unit() < mean - whole)
    }

    /// Returns a run time with an exponential distribution, in milliseconds.
    fn run(&mut self, mean: f64) -> u64 {
        let drawn = -mean * (1.0 - self.random.unit()).ln();
        (drawn as u64).clamp(1, 10_000)
    }
}

fn settings(exchange: bool) -> SchedulerSettings {
    SchedulerSettings {
        exchange_tokens: exchange,
        ..SchedulerSettings::default()
    }
}

fn cluster(shape: FleetShape, exchange: bool, seed: u64) -> Cluster {
    let mut cluster = Cluster::new(shape, NODES, settings(exchange), seed);
    cluster.check_tokens = false;
    cluster.network.delay = 2;
    cluster
}

/// Splits `slots` by weighted max-min fairness; customers are (weight, demand).
fn max_min(slots: f64, customers: &[(f64, f64)]) -> Vec<f64> {
    let mut assigned = vec![0.0; customers.len()];
    let mut open: Vec<usize> = (0..customers.len()).collect();
    let mut remaining = slots;
    loop {
        let weights: f64 = open.iter().map(|index| customers[*index].0).sum();
        let slots_per_weight = remaining / weights;
        let met = |index: &usize| customers[*index].1 <= slots_per_weight * customers[*index].0;
        let (met, unmet): (Vec<_>, Vec<_>) = open.iter().copied().partition(met);
        for index in &met {
            assigned[*index] = customers[*index].1;
            remaining -= customers[*index].1;
        }
        if met.is_empty() || unmet.is_empty() {
            for index in unmet {
                assigned[index] = slots_per_weight * customers[index].0;
            }
            return assigned;
        }
        open = unmet;
    }
}

/// Results of the run with rotating demand.
struct ShareFigures {
    /// Largest error in windows where demand exceeds supply most of the time.
    worst: f64,
    mean: f64,
    /// Largest error in any window, including the decline after a peak.
    worst_any: f64,
    bytes_per_node: f64,
    messages_per_node: f64,
    slot_use: f64,
}

/// Returns the nodes through which a customer's requests arrive.
fn arrival_nodes(index: usize) -> std::ops::Range<usize> {
    match index {
        0 => 0..1,
        1 => 0..2,
        2 => 4..8,
        _ => 0..NODES,
    }
}

/// Each class in turn receives five times its mean rate, and a twentieth of it
/// otherwise; customers arrive through one, two, four or all processes.
fn rotating_demand(exchange: bool, seed: u64) -> ShareFigures {
    const CLASSES: usize = 5;
    const TURN_MILLIS: u64 = 10_000;
    const TURNS: u64 = 10;
    let shares = [0.3, 0.25, 0.2, 0.1, 0.1, 0.05];
    let shape = FleetShape {
        workers: 50,
        classes: CLASSES,
        customers: shares
            .iter()
            .enumerate()
            .map(|(index, share)| (customer(&format!("team-{index}")), *share, 400))
            .collect(),
        ..FleetShape::default()
    };
    let slots = 80.0;
    let mut cluster = cluster(shape.clone(), exchange, seed);
    let mut arrivals = Arrivals {
        random: SplitMix64::new(seed),
    };
    // The peak is twice the capacity of the pool.
    let mean_rate = 2.0 * slots / (MEAN_RUN_MILLIS / 1_000.0) / 5.0;
    let mut used: BTreeMap<(u64, usize, usize), f64> = BTreeMap::new();
    let mut ideal = used.clone();
    let mut contended: BTreeMap<(u64, usize), f64> = BTreeMap::new();
    let mut busy = 0.0;
    let mut possible = 0.0;
    let end = TURN_MILLIS * TURNS;
    while cluster.now < end {
        let peak = (cluster.now / TURN_MILLIS) as usize % CLASSES;
        for class in 0..CLASSES {
            let factor = if class == peak { 5.0 } else { 0.05 };
            for (index, (name, ..)) in shape.customers.iter().enumerate() {
                let rate = mean_rate * factor / shape.customers.len() as f64;
                for _ in 0..arrivals.count(rate) {
                    let nodes = arrival_nodes(index);
                    let node = nodes.start + arrivals.random.below(nodes.len() as u64) as usize;
                    let run = arrivals.run(MEAN_RUN_MILLIS);
                    cluster.submit(node, &shape.class(class), Some(name), true, run, 5_000);
                }
            }
        }
        cluster.run(STEP_MILLIS, STEP_MILLIS);
        for class in 0..CLASSES {
            let loads: Vec<_> = shape
                .customers
                .iter()
                .map(|(name, ..)| cluster.load(&shape.class(class), name))
                .collect();
            let demand: Vec<(f64, f64)> = loads
                .iter()
                .zip(&shares)
                .map(|(load, share)| (*share, f64::from(load.open)))
                .collect();
            let fair = max_min(slots, &demand);
            let open: f64 = demand.iter().map(|(_, demand)| demand).sum();
            possible += open.min(slots);
            if open > slots {
                *contended
                    .entry((cluster.now / WINDOW_MILLIS, class))
                    .or_default() += STEP_MILLIS as f64;
            }
            for (index, load) in loads.iter().enumerate() {
                let key = (cluster.now / WINDOW_MILLIS, class, index);
                *used.entry(key).or_default() += f64::from(load.running);
                *ideal.entry(key).or_default() += fair[index];
                busy += f64::from(load.running);
            }
        }
    }
    let mut errors = Vec::new();
    let mut worst_any: f64 = 0.0;
    for (key, ideal) in &ideal {
        let error = (used[key] - ideal).abs() / ideal;
        let time = contended.get(&(key.0, key.1)).copied().unwrap_or(0.0);
        if time >= WINDOW_MILLIS as f64 / 2.0 {
            errors.push(error);
        }
        // Windows in which a customer could use less than one slot are not meaningful.
        if *ideal >= WINDOW_MILLIS as f64 / STEP_MILLIS as f64 {
            worst_any = worst_any.max(error);
        }
    }
    let seconds = end as f64 / 1_000.0;
    ShareFigures {
        worst: errors.iter().copied().fold(0.0, f64::max),
        worst_any,
        mean: errors.iter().sum::<f64>() / errors.len() as f64,
        bytes_per_node: cluster.bytes as f64 / seconds / NODES as f64,
        messages_per_node: cluster.messages as f64 / seconds / NODES as f64,
        slot_use: busy / possible,
    }
}

/// Returns how long the slots of two equal customers take to converge after the
/// second one starts to submit requests, through other processes than the
/// first.
fn convergence(exchange: bool, seed: u64) -> Option<u64> {
    const START_MILLIS: u64 = 5_000;
    let shape = FleetShape {
        workers: 10,
        ..FleetShape::default()
    };
    let mut cluster = cluster(shape.clone(), exchange, seed);
    let mut arrivals = Arrivals {
        random: SplitMix64::new(seed),
    };
    let class = shape.class(0);
    let (first, second) = (customer("a"), customer("b"));
    let mut recent = std::collections::VecDeque::new();
    while cluster.now < START_MILLIS + 10_000 {
        let mut submit = |cluster: &mut Cluster, node, name: &CustomerName| {
            for _ in 0..arrivals.count(500.0) {
                let run = arrivals.run(MEAN_RUN_MILLIS);
                cluster.submit(node, &class, Some(name), true, run, 5_000);
            }
        };
        submit(&mut cluster, 0, &first);
        if cluster.now >= START_MILLIS {
            submit(&mut cluster, 7, &second);
        }
        cluster.run(STEP_MILLIS, STEP_MILLIS);
        recent.push_back(f64::from(cluster.load(&class, &second).running));
        if recent.len() > 100 {
            recent.pop_front();
        }
        let mean = recent.iter().sum::<f64>() / recent.len() as f64;
        if cluster.now > START_MILLIS && (mean - 40.0).abs() < 2.0 {
            return Some(cluster.now - START_MILLIS);
        }
    }
    None
}

/// Returns how long permits stay stranded after the demand of a customer with a
/// limit moves from one process to another, in milliseconds.
fn stranded_permits(exchange: bool, seed: u64) -> Option<u64> {
    const START_MILLIS: u64 = 5_000;
    const LIMIT: u32 = 24;
    let shape = FleetShape {
        workers: 10,
        customers: vec![(customer("a"), 1.0, LIMIT)],
        ..FleetShape::default()
    };
    let mut cluster = cluster(shape.clone(), exchange, seed);
    let mut arrivals = Arrivals {
        random: SplitMix64::new(seed),
    };
    let class = shape.class(0);
    let name = customer("a");
    while cluster.now < START_MILLIS + 10_000 {
        let node = if cluster.now < START_MILLIS { 0 } else { 7 };
        for _ in 0..arrivals.count(300.0) {
            let run = arrivals.run(MEAN_RUN_MILLIS);
            cluster.submit(node, &class, Some(&name), true, run, 400);
        }
        cluster.run(STEP_MILLIS, STEP_MILLIS);
        let here = cluster.scheduler(7).map_or(0, |node| node.running());
        if cluster.now > START_MILLIS && here as f64 >= 0.95 * f64::from(LIMIT) {
            return Some(cluster.now - START_MILLIS);
        }
    }
    None
}

/// Results at three times the capacity.
struct OverloadFigures {
    /// Responses in time, as a fraction of those that the slots could produce.
    responses: f64,
    /// Slot time of responses in time, as a fraction of all slot time.
    slot_time: f64,
}

fn overload(exchange: bool, seed: u64) -> OverloadFigures {
    const END_MILLIS: u64 = 40_000;
    const START_MILLIS: u64 = 10_000;
    let shape = FleetShape {
        workers: 10,
        ..FleetShape::default()
    };
    let mut cluster = cluster(shape.clone(), exchange, seed);
    let mut arrivals = Arrivals {
        random: SplitMix64::new(seed),
    };
    let class = shape.class(0);
    let capacity = 80.0 / (MEAN_RUN_MILLIS / 1_000.0);
    while cluster.now < END_MILLIS {
        for (name, ..) in &shape.customers {
            for _ in 0..arrivals.count(3.0 * capacity / 2.0) {
                let node = arrivals.random.below(NODES as u64) as usize;
                let run = arrivals.run(MEAN_RUN_MILLIS);
                cluster.submit(node, &class, Some(name), true, run, 2_000);
            }
        }
        cluster.run(STEP_MILLIS, STEP_MILLIS);
    }
    let in_time = cluster
        .requests
        .values()
        .filter(|request| match request.ends[..] {
            [RequestEnd::Responded { at, success: true }] => {
                at <= request.deadline && at > START_MILLIS
            }
            _ => false,
        });
    let (mut responses, mut used) = (0.0, 0.0);
    for request in in_time {
        responses += 1.0;
        used += request.run as f64;
    }
    let millis = (END_MILLIS - START_MILLIS) as f64;
    OverloadFigures {
        responses: responses / (capacity * millis / 1_000.0),
        slot_time: used / (80.0 * millis),
    }
}

/// Returns the fraction of requests lost to one backend server in ten that
/// fails every request at once, for repeatable requests and for the others.
fn black_hole(exchange: bool, seed: u64) -> (f64, f64) {
    let shape = FleetShape {
        workers: 10,
        ..FleetShape::default()
    };
    let mut cluster = cluster(shape.clone(), exchange, seed);
    cluster.black_hole = Some(vm(3));
    let mut arrivals = Arrivals {
        random: SplitMix64::new(seed),
    };
    let class = shape.class(0);
    let rate = 0.7 * 80.0 / (MEAN_RUN_MILLIS / 1_000.0) / 2.0;
    while cluster.now < 60_000 {
        for (name, ..) in &shape.customers {
            for _ in 0..arrivals.count(rate) {
                let node = arrivals.random.below(NODES as u64) as usize;
                let run = arrivals.run(MEAN_RUN_MILLIS);
                let repeatable = arrivals.random.percent(50);
                cluster.submit(node, &class, Some(name), repeatable, run, 5_000);
            }
        }
        cluster.run(STEP_MILLIS, STEP_MILLIS);
    }
    let lost = |repeatable: bool| {
        let of_kind = cluster
            .requests
            .values()
            .filter(|request| request.repeatable == repeatable && !request.ends.is_empty());
        let (mut lost, mut all) = (0.0, 0.0);
        for request in of_kind {
            all += 1.0;
            if !matches!(request.ends[0], RequestEnd::Responded { success: true, .. }) {
                lost += 1.0;
            }
        }
        lost / all
    };
    (lost(true), lost(false))
}

fn show_time(time: Option<u64>) -> String {
    time.map_or("never within 10 s".to_owned(), |time| format!("{time} ms"))
}

fn main() {
    let seed = env::args().nth(1).and_then(|text| text.parse().ok());
    let seed: u64 = seed.unwrap_or(1);
    println!("seed {seed}, {NODES} entry processes, mean run {MEAN_RUN_MILLIS} ms");
    for (name, exchange) in [("tokens pass", true), ("fixed split", false)] {
        println!("{name}:");
        let figures = rotating_demand(exchange, seed);
        println!("  share error, worst    {:.1} %", figures.worst * 100.0);
        println!("  share error, mean     {:.1} %", figures.mean * 100.0);
        println!("  share error, any      {:.1} %", figures.worst_any * 100.0);
        println!("  use of wanted slots   {:.1} %", figures.slot_use * 100.0);
        println!("  bytes/s a node        {:.0}", figures.bytes_per_node);
        println!("  messages/s a node     {:.0}", figures.messages_per_node);
        println!(
            "  convergence           {}",
            show_time(convergence(exchange, seed))
        );
        println!(
            "  permits stranded      {}",
            show_time(stranded_permits(exchange, seed))
        );
        let figures = overload(exchange, seed);
        println!("  goodput at 3x         {:.1} %", figures.responses * 100.0);
        println!("  slot time at 3x       {:.1} %", figures.slot_time * 100.0);
        let (repeatable, single) = black_hole(exchange, seed);
        println!("  lost, repeatable      {:.2} %", repeatable * 100.0);
        println!("  lost, run at most once {:.2} %", single * 100.0);
    }
}
