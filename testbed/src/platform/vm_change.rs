//! Change of the VM list.

use crate::platform;

/// Change of the VM list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VmChange {
    /// The platform is about to remove a VM.
    Leaving {
        /// Name of the VM.
        id: String,
    },
    /// A VM is added or changed.
    Put(platform::Vm),
    /// A VM has been removed.
    Removed {
        /// Name of the VM.
        id: String,
    },
}
