//! What became of a scenario's requests under one policy.

use crate::replay;

/// What became of a scenario's requests under one policy.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// The policy.
    pub policy: String,
    /// Each service.
    pub services: Vec<replay::ServiceFigures>,
}

impl Figures {
    /// Adds the figures of another run of the same policy.
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
