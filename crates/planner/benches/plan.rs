//! Duration of one plan by number of VMs, with roll-outs in progress.

use std::collections::BTreeMap;
use std::hint;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use redwing_model::vm::VmPhase;
use redwing_model::{ClassName, VmId};
use redwing_planner::plan::plan;
use redwing_planner::rollout::{self, RolloutCommand};
use redwing_planner::simulation::{FleetLayout, SimulatedFleet};
use redwing_planner::{PlanTime, PlannerSettings, PlannerView, VmObservation};

/// Fleet sizes: number of pools, and of VMs in each.
const SIZES: [(usize, u32); 4] = [(5, 10), (10, 100), (25, 166), (50, 166)];

/// Seconds of roll-out before the measured plan.
const WARM_UP_SECONDS: u64 = 30;

fn fleet_with_rollouts(pools: usize, vms: u32) -> SimulatedFleet {
    let layout = FleetLayout {
        pool_sizes: vec![vms; pools],
        max_unavailable: vms / 10,
        ..FleetLayout::default()
    };
    let mut fleet = SimulatedFleet::new(&layout).expect("the generated names are valid");
    for pool in fleet.declaration.pools.clone().into_keys() {
        let start = rollout::command(time(0), &fleet.rows, &pool, RolloutCommand::Start);
        fleet.commit(0, &start.expect("no roll-out is open"));
    }
    for second in 0..WARM_UP_SECONDS {
        let observations = fleet.observe(second);
        let view = view(&fleet, &observations);
        let plan = plan(time(second), &PlannerSettings::default(), &view);
        for step in &plan.steps {
            fleet.commit(second, &step.commit);
        }
        for call in &plan.calls {
            fleet.call(second, call);
        }
    }
    fleet
}

fn time(second: u64) -> PlanTime {
    PlanTime::from_secs(second)
}

fn view<'a>(
    fleet: &'a SimulatedFleet,
    observations: &'a BTreeMap<VmId, VmObservation>,
) -> PlannerView<'a> {
    PlannerView {
        observations,
        ..PlannerView::new(&fleet.declaration, &fleet.rows)
    }
}

fn bench_plan(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("plan");
    for (pools, vms) in SIZES {
        let fleet = fleet_with_rollouts(pools, vms);
        // As in an entry process, listed and serving VMs have no observation.
        let mut observations = fleet.observe(WARM_UP_SECONDS);
        observations.retain(|vm, _| fleet.rows.vms[vm].value.phase != VmPhase::Serving);
        let demand: BTreeMap<ClassName, f64> = BTreeMap::new();
        let view = PlannerView {
            demand: &demand,
            ..view(&fleet, &observations)
        };
        let settings = PlannerSettings::default();
        let size = pools as u32 * vms;
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter(|| plan(time(WARM_UP_SECONDS), &settings, hint::black_box(&view)));
        });
    }
    group.finish();
}

criterion_group!(benches, bench_plan);
criterion_main!(benches);
