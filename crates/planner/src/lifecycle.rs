//! Life cycle of a VM as typestates.
//!
//! A [`TrackedVm`] carries its phase in its type, so that only the steps of
//! that phase can be called. Each step raises the revision of the row by one.
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

        /// A VM whose phase is known only at run time.
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
                    $(VmPhase::$name => Self::$name(TrackedVm::load(record)),)*
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
    /// Creates the record of a VM that has just been found.
    pub fn adopt(identity: VmIdentity, pool: PoolName) -> Self {
        Self::load(VmRecord {
            identity,
            pool,
            phase: VmPhase::Serving,
            revision: 1,
        })
    }

    /// Starts a drain that ends in a reboot, or in the VM's departure.
    pub fn drain(self) -> TrackedVm<Draining> {
        self.enter()
    }

    /// Starts a drain that ends in a change of pool.
    pub fn drain_to_move(self) -> TrackedVm<Moving> {
        self.enter()
    }
}

impl TrackedVm<Draining> {
    /// Starts the reboot of a VM that runs nothing any more.
    pub fn reboot(self) -> TrackedVm<Rebooting> {
        self.enter()
    }

    /// Puts the VM back into service without a reboot.
    pub fn cancel(self) -> TrackedVm<Serving> {
        self.enter()
    }
}

impl TrackedVm<Moving> {
    /// Puts the VM into service in another pool.
    pub fn join(mut self, pool: PoolName) -> TrackedVm<Serving> {
        self.record.pool = pool;
        self.enter()
    }

    /// Puts the VM back into service in its present pool.
    pub fn cancel(self) -> TrackedVm<Serving> {
        self.enter()
    }
}

impl TrackedVm<Rebooting> {
    /// Starts the check of a VM that answers again.
    pub fn check(self) -> TrackedVm<Returning> {
        self.enter()
    }
}

impl TrackedVm<Returning> {
    /// Puts the VM into service in its present pool.
    pub fn serve(self) -> TrackedVm<Serving> {
        self.enter()
    }

    /// Puts the VM into service in another pool.
    pub fn join(mut self, pool: PoolName) -> TrackedVm<Serving> {
        self.record.pool = pool;
        self.enter()
    }
}

impl TrackedVm<Failed> {
    /// Starts the check of a VM that answers again.
    pub fn check(self) -> TrackedVm<Returning> {
        self.enter()
    }
}

impl TrackedVm<Missing> {
    /// Starts the check of a VM that is seen again.
    pub fn check(self) -> TrackedVm<Returning> {
        self.enter()
    }
}

impl<P: PhaseMarker> TrackedVm<P> {
    fn load(record: VmRecord) -> Self {
        Self {
            record,
            phase: marker::PhantomData,
        }
    }

    /// Returns the row that is stored for the VM.
    pub fn record(&self) -> &VmRecord {
        &self.record
    }

    /// Returns the row that is stored for the VM, by value.
    pub fn into_record(self) -> VmRecord {
        self.record
    }

    /// Records that the VM did not come back, or was reported failed.
    pub fn fail(self) -> TrackedVm<Failed> {
        self.enter()
    }

    /// Records that the VM has not been seen for too long.
    pub fn silence(self) -> TrackedVm<Missing> {
        self.enter()
    }

    fn enter<Q: PhaseMarker>(self) -> TrackedVm<Q> {
        let mut record = self.record;
        record.phase = Q::PHASE;
        record.revision += 1;
        TrackedVm::load(record)
    }
}
