//! At-most-once execution by home and witness: randomised runs of complete
//! fleets of the production state machines, mutants that these runs must
//! detect, an exhaustive search of a small fleet, and snapshots of keys.

#[path = "claims/delivery.rs"]
mod delivery;
#[path = "claims/driver.rs"]
mod driver;
#[path = "claims/exhaustive.rs"]
mod exhaustive;
#[path = "claims/failure_rates.rs"]
mod failure_rates;
#[path = "claims/fleet.rs"]
mod fleet;
#[path = "claims/keys.rs"]
mod keys;
#[path = "claims/ledger.rs"]
mod ledger;
#[path = "claims/message.rs"]
mod message;
#[path = "claims/mutant.rs"]
mod mutant;
#[path = "claims/randomised.rs"]
mod randomised;
#[path = "claims/scenarios.rs"]
mod scenarios;
#[path = "claims/step.rs"]
mod step;
#[path = "claims/vm.rs"]
mod vm;
