//! Results of a replay under one policy.

use crate::replay;

/// Results of a replay under one policy.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Name of the policy.
    pub policy: String,
    /// Results by service, in the order of the scenario.
    pub services: Vec<replay::ServiceFigures>,
}

impl Figures {
    /// Adds the results of another replay under the same policy.
    pub fn add(&mut self, other: &Self) {
        if self.services.is_empty() {
            self.services.clone_from(&other.services);
            return;
        }
        for (service, other) in self.services.iter_mut().zip(&other.services) {
            service.add(other);
        }
    }
}
