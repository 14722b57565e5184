//! The two policy profiles as targets of the planner.

use std::time;

use redwing_model::declaration::PolicyProfile;

/// What a policy profile asks of capacity decisions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProfileTargets {
    /// Largest fraction of a pool's slots that sustained demand may use.
    pub utilisation: f64,
    /// Time constant of the demand estimate.
    pub demand_window: time::Duration,
    /// Fraction by which demand may still grow before lent VMs go back.
    pub release_margin: f64,
    /// Whether a move may start a drain of its own; if not, it waits for a
    /// reboot of the donor pool, unless VMs are lost.
    pub moves_drain: bool,
}

impl ProfileTargets {
    /// Returns the targets of `profile`.
    pub fn of(profile: PolicyProfile) -> Self {
        match profile {
            PolicyProfile::ShareFirst => Self {
                utilisation: 0.75,
                demand_window: time::Duration::from_secs(1_200),
                release_margin: 0.25,
                moves_drain: false,
            },
            PolicyProfile::BufferFirst => Self {
                utilisation: 0.9,
                demand_window: time::Duration::from_secs(600),
                release_margin: 0.15,
                moves_drain: true,
            },
        }
    }
}
