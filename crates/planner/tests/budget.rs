//! Headroom and excess of availability budgets.
#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use redwing_model::VmId;
use redwing_planner::{OutageCause, PlanTime, PoolBudget, PoolRecord, VmOutage};
use rstest::rstest;

fn record(assigned: u32, members: u32, out: u32) -> PoolRecord {
    let mut record = PoolRecord {
        members,
        ..PoolRecord::new(assigned)
    };
    for number in 0..out {
        let outage = VmOutage {
            cause: OutageCause::Failure,
            started: PlanTime::default(),
            phase_started: PlanTime::default(),
            move_to: None,
            reboot: None,
        };
        let vm = VmId::new(&format!("vm-{number}")).unwrap();
        record.outages.insert(vm, outage);
    }
    record
}

#[rstest]
#[case::all_serving(10, 10, 0, 0, 2)]
#[case::one_out(10, 10, 1, 0, 1)]
#[case::spent(10, 10, 2, 0, 0)]
#[case::exceeded(10, 10, 4, 0, 0)]
#[case::ejected_counts(10, 10, 1, 1, 0)]
#[case::shortfall_counts(10, 9, 0, 0, 1)]
#[case::shortfall_and_out(10, 9, 1, 0, 0)]
#[case::extra_does_not_raise_budget(10, 12, 2, 0, 0)]
#[case::empty(0, 0, 0, 0, 0)]
fn headroom_counts_outages_shortfall_and_suspects(
    #[case] assigned: u32,
    #[case] members: u32,
    #[case] out: u32,
    #[case] suspects: u32,
    #[case] expected: u32,
) {
    let record = record(assigned, members, out);
    assert_eq!(PoolBudget::new(2).headroom(&record, suspects), expected);
}

#[test]
fn excess_counts_vms_beyond_the_budget() {
    let budget = PoolBudget::new(2);
    assert_eq!(budget.excess(&record(10, 10, 2), 0), 0);
    assert_eq!(budget.excess(&record(10, 10, 3), 1), 2);
    assert_eq!(budget.excess(&record(10, 7, 0), 0), 1);
}
