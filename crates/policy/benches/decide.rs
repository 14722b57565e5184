//! Cost of scheduler calls as the fleet and the number of customers grow.

#[path = "../tests/support/mod.rs"]
mod support;

use std::collections::VecDeque;
use std::hint;
use std::time;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use redwing_model::VmId;
use redwing_policy::{NodeScheduler, SchedulerSettings, TicketId};

use support::{FleetShape, at, customer, dispatched, node, success, ticket};

/// Current and largest planned fleets: workers, classes, customers.
const FLEETS: [(usize, usize, usize); 4] =
    [(50, 5, 6), (50, 5, 290), (8_300, 50, 6), (8_300, 50, 290)];

/// Waiting requests of each class.
const WAITING_PER_CLASS: u64 = 600;

/// A scheduler with every slot in use and requests waiting in each class.
struct BusyScheduler {
    scheduler: NodeScheduler,
    shape: FleetShape,
    running: VecDeque<(TicketId, VmId)>,
    next: u64,
}

impl BusyScheduler {
    fn new(workers: usize, classes: usize, customers: usize) -> Self {
        let share = 1.0 / customers as f64;
        let limit = (workers * 8 / customers * 2 + 8) as u32;
        let shape = FleetShape {
            workers,
            classes,
            customers: (0..customers)
                .map(|number| (customer(&format!("team-{number}")), share, limit))
                .collect(),
            ..FleetShape::default()
        };
        let mut scheduler = NodeScheduler::new(SchedulerSettings::default(), node(0));
        scheduler.install(at(0), shape.view(0, 1));
        let mut busy = Self {
            scheduler,
            shape,
            running: VecDeque::new(),
            next: 0,
        };
        let requests = (workers * 8) as u64 + WAITING_PER_CLASS * classes as u64;
        for _ in 0..requests {
            busy.submit();
        }
        busy
    }

    fn submit(&mut self) {
        let class = self.shape.class(self.next as usize % self.shape.classes);
        let index = (self.next as usize / self.shape.classes) % self.shape.customers.len();
        let name = self.shape.customers[index].0.clone();
        let request = ticket(self.next, &class, Some(&name));
        self.next += 1;
        self.scheduler.submit(at(1_000), request);
        self.collect();
    }

    fn finish(&mut self) {
        if let Some((id, vm)) = self.running.pop_front() {
            self.scheduler.finish(at(1_000), id, &success(&vm));
            self.collect();
        }
    }

    fn collect(&mut self) {
        self.running
            .extend(dispatched(&self.scheduler.take_actions()));
    }
}

fn bench_decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decide");
    group.sample_size(20);
    group.warm_up_time(time::Duration::from_millis(300));
    group.measurement_time(time::Duration::from_secs(1));
    for (workers, classes, customers) in FLEETS {
        let mut busy = BusyScheduler::new(workers, classes, customers);
        let name = format!("{workers} workers, {customers} customers");
        // One request arrives and one ends, which starts another.
        group.bench_function(BenchmarkId::new("submit and finish", &name), |bencher| {
            bencher.iter(|| {
                busy.submit();
                busy.finish();
            });
        });
        group.bench_function(BenchmarkId::new("submit and cancel", &name), |bencher| {
            bencher.iter(|| {
                let id = TicketId(busy.next);
                busy.submit();
                busy.scheduler.cancel(at(1_000), id);
            });
        });
        group.bench_function(BenchmarkId::new("tick", &name), |bencher| {
            bencher.iter(|| {
                busy.scheduler.tick(at(1_000));
                hint::black_box(busy.scheduler.take_actions())
            });
        });
        // One VM alternates between not serving and serving.
        let mut views = [busy.shape.view(0, 1), busy.shape.view(0, 1)];
        views[1].workers[0].serving = false;
        let mut turn = 0;
        group.bench_function(BenchmarkId::new("install", &name), |bencher| {
            bencher.iter_batched(
                || {
                    turn += 1;
                    views[turn % 2].clone()
                },
                |view| busy.scheduler.install(at(1_000), view),
                BatchSize::LargeInput,
            );
        });
    }
    group.finish();
}

criterion_group!(benches, bench_decisions);
criterion_main!(benches);
