//! Life cycle of a VM as typestates.
//!
//! A [`TrackedVm`] carries its phase in its type, so that only the transitions
//! of that phase can be called. Each transition increments the revision of the
//! row by one.
//!
//! # Examples
//!
//! ```
//! use redwing_model::vm::{VmIdentity, VmPhase, VmRecord};
//! use redwing_planner::lifecycle::AnyVm;
//!
//! let record = VmRecord {
//!     identity: VmIdentity {
//!         vm: "vm-1".parse()?,
//!         address: "127.0.0.1:80".parse().unwrap(),
//!         rack: "rack-1".parse()?,
//!         data_centre: "dc-1".parse()?,
//!     },
//!     pool: "reports".parse()?,
//!     phase: VmPhase::Serving,
//!     revision: 1,
//! };
//! if let AnyVm::Serving(vm) = AnyVm::from(record) {
//!     let record = vm.drain().reboot().into_record();
//!     assert_eq!((record.phase, record.revision), (VmPhase::Rebooting, 3));
//! }
//! # Ok::<(), redwing_model::Error>(())
//! ```

use std::marker;

use redwing_model::PoolName;
use redwing_model::vm::{VmIdentity, VmPhase, VmRecord};

/// Phase of a VM as a type.
pub trait PhaseMarker {
    /// Phase as stored in the table.
    const PHASE: VmPhase;
}

macro_rules! phase_markers {
    ($($name:ident)*) => {
        $(
            #[doc = concat!("Marks a VM in phase [`VmPhase::", stringify!($name), "`].")]
            #[derive(Clone, Copy, Debug)]
            pub struct $name;

            impl PhaseMarker for $name {
                const PHASE: VmPhase = VmPhase::$name;
            }
        )*

        /// A VM whose phase is determined at run time.
        #[derive(Clone, Debug)]
        pub enum AnyVm {
            $(
                #[doc = concat!("In phase [`VmPhase::", stringify!($name), "`].")]
                $name(TrackedVm<$name>),
            )*
        }

        impl From<VmRecord> for AnyVm {
            fn from(record: VmRecord) -> Self {
                match record.phase {
                    $(VmPhase::$name => Self::$name(TrackedVm::from_record(record)),)*
                }
            }
        }
    };
}

phase_markers!(Serving Draining Rebooting Returning Moving Failed Missing);

/// A VM in the phase `P`.
#[derive(Clone, Debug)]
pub struct TrackedVm<P> {
    record: VmRecord,
    phase: marker::PhantomData<P>,
}

impl TrackedVm<Serving> {
    /// Creates the record of a newly listed VM.
    pub fn adopt(identity: VmIdentity, pool: PoolName) -> Self {
        Self::from_record(VmRecord {
            identity,
            pool,
            phase: VmPhase::Serving,
            revision: 1,
        })
    }

    /// Starts a drain that ends in a reboot, or in the removal of the VM.
    pub fn drain(self) -> TrackedVm<Draining> {
        self.transition()
    }

    /// Starts a drain that ends in a change of pool.
    pub fn drain_to_move(self) -> TrackedVm<Moving> {
        self.transition()
    }
}

impl TrackedVm<Draining> {
    /// Starts the reboot of a drained VM.
    pub fn reboot(self) -> TrackedVm<Rebooting> {
        self.transition()
    }

    /// Puts the VM back into service without a reboot.
    pub fn cancel_drain(self) -> TrackedVm<Serving> {
        self.transition()
    }
}

impl TrackedVm<Moving> {
    /// Puts the VM into service in another pool.
    pub fn join_pool(mut self, pool: PoolName) -> TrackedVm<Serving> {
        self.record.pool = pool;
        self.transition()
    }

    /// Puts the VM back into service in its current pool.
    pub fn cancel_drain(self) -> TrackedVm<Serving> {
        self.transition()
    }
}

impl TrackedVm<Rebooting> {
    /// Starts the check of a VM that responds again.
    pub fn start_check(self) -> TrackedVm<Returning> {
        self.transition()
    }
}

impl TrackedVm<Returning> {
    /// Puts the VM into service in its current pool.
    pub fn return_to_service(self) -> TrackedVm<Serving> {
        self.transition()
    }

    /// Puts the VM into service in another pool.
    pub fn join_pool(mut self, pool: PoolName) -> TrackedVm<Serving> {
        self.record.pool = pool;
        self.transition()
    }
}

impl TrackedVm<Failed> {
    /// Starts the check of a VM that responds again.
    pub fn start_check(self) -> TrackedVm<Returning> {
        self.transition()
    }
}

impl TrackedVm<Missing> {
    /// Starts the check of a VM that is listed and responds again.
    pub fn start_check(self) -> TrackedVm<Returning> {
        self.transition()
    }
}

impl<P: PhaseMarker> TrackedVm<P> {
    fn from_record(record: VmRecord) -> Self {
        Self {
            record,
            phase: marker::PhantomData,
        }
    }

    /// Returns the row of the VM.
    pub fn record(&self) -> &VmRecord {
        &self.record
    }

    /// Converts the VM into its row.
    pub fn into_record(self) -> VmRecord {
        self.record
    }

    /// Records that the VM did not return from a reboot, or stopped responding
    /// during its check.
    pub fn mark_failed(self) -> TrackedVm<Failed> {
        self.transition()
    }

    /// Records that the VM has been missing from the VM list for too long.
    pub fn mark_missing(self) -> TrackedVm<Missing> {
        self.transition()
    }

    fn transition<Q: PhaseMarker>(self) -> TrackedVm<Q> {
        let mut record = self.record;
        record.phase = Q::PHASE;
        record.revision += 1;
        TrackedVm::from_record(record)
    }
}
