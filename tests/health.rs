//! Tests of gray-failure detection, ejection and quarantine.

mod health {
    mod clocks;
    mod detector;
    mod fleet;
    mod floor;
    mod floor_simulation;
    mod leases;
    mod log;
    mod quarantine;
    mod vm;
}
