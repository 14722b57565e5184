//! Capacity targets of the policy profiles.

use std::time;

use redwing_model::declaration::PolicyProfile;

/// Capacity targets of a policy profile.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProfileTargets {
    /// Maximum fraction of a pool's slots that sustained demand may use.
    pub utilisation: f64,
    /// Time constant of the demand estimate.
    pub demand_window: time::Duration,
    /// Fraction by which demand could still grow after lent VMs are returned.
    pub release_margin: f64,
    /// Whether a move may start a drain of its own. If not, it waits for a
    /// reboot in the donor pool, unless VMs were lost or sustained demand exceeds
    /// the full capacity of the pool.
    pub drain_for_moves: bool,
}

impl ProfileTargets {
    /// Returns the targets of `profile`.
    pub fn of(profile: PolicyProfile) -> Self {
        match profile {
            PolicyProfile::ShareFirst => Self {
                utilisation: 0.75,
                demand_window: time::Duration::from_secs(1_200),
                release_margin: 0.25,
                drain_for_moves: false,
            },
            PolicyProfile::BufferFirst => Self {
                utilisation: 0.9,
                demand_window: time::Duration::from_secs(600),
                release_margin: 0.15,
                drain_for_moves: true,
            },
        }
    }
}
