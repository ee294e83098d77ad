//! Names of organisations in the names of counters.

/// Most organisations with counters of their own. Each counter is kept for the lifetime
/// of the process.
const MAX_LABELS: usize = 4_096;
/// Label that all further organisations share. No name yields it: labels of names
/// contain no dot.
const SHARED_LABEL: &str = "other.organisations";

/// Names of organisations in the names of counters.
#[derive(Clone, Debug, Default)]
pub struct OrganisationLabels {
    names: indexmap::IndexSet<String>,
}

impl OrganisationLabels {
    /// Returns the label of an organisation: its name, in which any other character than
    /// ASCII letters and digits is an underscore, or a shared label if there are too
    /// many.
    pub fn label(&mut self, name: &str) -> String {
        if !self.names.contains(name) {
            if self.names.len() >= MAX_LABELS {
                return SHARED_LABEL.to_owned();
            }
            self.names.insert(name.to_owned());
        }
        let safe = |character: char| {
            if character.is_ascii_alphanumeric() {
                character
            } else {
                '_'
            }
        };
        name.chars().map(safe).collect()
    }
}
