//! Prints measurements of simulations of the planner and the two baselines.

use redwing_model::declaration::PolicyProfile;
use redwing_planner::simulation::{SimulationPolicy, SimulationSettings, run};

fn main() -> redwing_model::Result<()> {
    println!(
        "seed\track\tpolicy\troll-out s\tbound s\tratio\tbuffer\tmoves\tshare error\tdelay s\theadroom\tbroken"
    );
    for seed in 1..=5 {
        for rack_fails_at in [None, Some(1_950)] {
            let settings = SimulationSettings {
                seed,
                rack_fails_at,
                ..SimulationSettings::default()
            };
            for policy in [
                SimulationPolicy::Planner(PolicyProfile::ShareFirst),
                SimulationPolicy::Planner(PolicyProfile::BufferFirst),
                SimulationPolicy::LockStep,
                SimulationPolicy::SurgeMoves,
            ] {
                let result = run(&settings, policy)?;
                println!(
                    "{seed}\t{}\t{}\t{:?}\t{:.0}\t{:.3}\t{}\t{}\t{:.5}\t{:.1}\t{}\t{}",
                    rack_fails_at.is_some(),
                    policy.name(),
                    result.rollout_seconds,
                    result.bound_seconds,
                    result.rollout_ratio().unwrap_or(f64::NAN),
                    result.buffer,
                    result.moves,
                    result.share_error,
                    result.mean_delay_seconds,
                    result.smallest_headroom,
                    result.violation_count
                );
            }
        }
    }
    Ok(())
}
