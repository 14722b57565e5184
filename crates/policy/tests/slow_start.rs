//! Cold backend servers in the scheduler of one process.

mod support;

use std::collections::{BTreeMap, HashMap};
use std::time;

use redwing_model::VmId;
use redwing_policy::slow_start::{ClassSupply, SlowStart};
use redwing_policy::{NodeScheduler, SchedulerSettings, TicketId};
use rstest::rstest;

use support::{FleetShape, at, class, customer, dispatched, node, success, ticket, vm};

/// Time for which a server is cold, in milliseconds.
const COLD_MS: u64 = 10_000;

fn shape() -> FleetShape {
    FleetShape {
        workers: 4,
        classes: 1,
        customers: vec![(customer("a"), 1.0, 1_000)],
        ..FleetShape::default()
    }
}

fn scheduler(shape: &FleetShape, cold: &[usize]) -> NodeScheduler {
    let mut scheduler = NodeScheduler::new(SchedulerSettings::default(), node(0));
    scheduler.install(at(0), shape.view(0, 1));
    let left = time::Duration::from_millis(COLD_MS);
    let cold: HashMap<VmId, time::Duration> =
        cold.iter().map(|number| (vm(*number), left)).collect();
    scheduler.set_cold(at(0), &cold);
    scheduler
}

/// Sends `rate` requests every 10 ms from one time to another; each takes 20 ms. Returns the
/// number of requests that each VM got.
fn send(
    scheduler: &mut NodeScheduler,
    shape: &FleetShape,
    rate: u64,
    (from, to): (u64, u64),
) -> BTreeMap<VmId, u64> {
    let mut counts = BTreeMap::new();
    let mut running: Vec<(u64, TicketId, VmId)> = Vec::new();
    for now in (from..to).step_by(10) {
        let (done, rest) = running.into_iter().partition(|(end, ..)| *end <= now);
        running = rest;
        for (_, id, name) in done {
            scheduler.finish(at(now), id, &success(&name));
        }
        for number in 0..rate {
            let id = now * 1_000 + number;
            scheduler.submit(at(now), ticket(id, &shape.class(0), Some(&customer("a"))));
        }
        scheduler.tick(at(now));
        for (id, name) in dispatched(&scheduler.take_actions()) {
            *counts.entry(name.clone()).or_default() += 1;
            running.push((now + 20, id, name));
        }
    }
    for (_, id, name) in running {
        scheduler.finish(at(to), id, &success(&name));
    }
    scheduler.take_actions();
    counts
}

/// Guards against a cold server that gets most of the load since nothing runs on it, one that
/// gets nothing, and one that stays behind when it is warm.
#[test]
fn a_cold_server_gets_its_share_and_later_as_much_as_the_others() {
    let shape = shape();
    let mut scheduler = scheduler(&shape, &[0]);
    let count =
        |counts: &BTreeMap<VmId, u64>, number| counts.get(&vm(number)).copied().unwrap_or(0);
    // Its speed is 0.2 for 2 s and then grows to 0.5, so that its mean is 0.29.
    let first = send(&mut scheduler, &shape, 4, (0, 5_000));
    let total: u64 = first.values().sum();
    assert_eq!(total, 2_000);
    let share = 0.29 / 3.29 * 2_000.0;
    let cold = count(&first, 0) as f64;
    assert!(cold <= share * 1.5 + 5.0, "{cold} of {share}");
    assert!(cold >= share * 0.7, "{cold} of {share}");
    let later = send(&mut scheduler, &shape, 4, (COLD_MS, COLD_MS + 2_000));
    let numbers = (0..4).map(|number| count(&later, number));
    assert!(
        numbers.clone().max() <= numbers.min().map(|least| least + 20),
        "{later:?}"
    );
}

/// Guards against requests that wait although servers are free, because all of them are cold.
#[test]
fn servers_that_are_all_cold_are_not_withheld() {
    let shape = shape();
    let mut scheduler = scheduler(&shape, &[0, 1, 2, 3]);
    for id in 0..32 {
        scheduler.submit(at(1), ticket(id, &shape.class(0), Some(&customer("a"))));
    }
    assert_eq!(dispatched(&scheduler.take_actions()).len(), 32);
}

/// Guards against requests that wait for their deadline while only a cold server is free, and
/// against a cold server that then gets all of them at once.
#[test]
fn a_cold_server_helps_out_within_its_limit_when_the_others_are_full() {
    let shape = shape();
    let mut scheduler = scheduler(&shape, &[0]);
    for id in 0..200 {
        scheduler.submit(at(1), ticket(id, &shape.class(0), Some(&customer("a"))));
    }
    for now in 2..200 {
        scheduler.tick(at(now));
    }
    let started = dispatched(&scheduler.take_actions());
    let cold = started.iter().filter(|(_, name)| *name == vm(0)).count();
    // The others took 24 requests, of which it earned 1.5.
    assert!((2..=7).contains(&cold), "{cold}");
    assert_eq!(started.len() - cold, 24);
}

#[rstest]
#[case::one_process(1)]
#[case::three_processes(3)]
#[case::many_processes(8)]
fn a_server_never_gets_more_than_its_share_and_the_slack(#[case] processes: usize) {
    let mut starts: Vec<SlowStart> = (0..processes).map(|_| SlowStart::default()).collect();
    let cold = HashMap::from([(vm(0), time::Duration::from_millis(COLD_MS))]);
    let classes = [class("class-0")];
    for start in &mut starts {
        start.set_cold(at(0), &cold);
    }
    let supply = ClassSupply {
        serving: 10,
        cold: 1,
        is_starving: false,
    };
    let (mut sent, mut earned) = (0_u32, 0.0);
    for now in (0..COLD_MS).step_by(20) {
        let speed = (now as f64 / COLD_MS as f64).max(0.2);
        for start in &mut starts {
            let verdicts = start.update(at(now), processes, |_| &classes, |_| supply);
            let mut is_withheld = verdicts[0].is_withheld;
            for number in 0..20 {
                earned += speed / (9.0 + speed);
                let name = if is_withheld { vm(1) } else { vm(0) };
                sent += u32::from(!is_withheld);
                is_withheld |= start.count(&classes[0], &name);
                assert!(f64::from(sent) <= earned * 1.5 + 5.0, "{number} at {now}");
            }
        }
    }
    assert!(f64::from(sent) >= earned * 0.9, "{sent} of {earned}");
}
