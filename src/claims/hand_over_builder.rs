//! A builder of hand-over messages.

use crate::claims;

/// Builds the hand-over messages, one or more per witness. The key with which a
/// message reaches the limit is its last one.
pub struct HandOverBuilder {
    actions: Vec<claims::HomeAction>,
    limit_bytes: usize,
    open: indexmap::IndexMap<claims::VmIdentity, OpenBatch>,
}

#[derive(Default)]
struct OpenBatch {
    entries: Vec<claims::HandOverEntry>,
    size_bytes: usize,
}

impl HandOverBuilder {
    /// Creates an empty builder.
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            actions: Vec::new(),
            limit_bytes,
            open: indexmap::IndexMap::new(),
        }
    }

    /// Adds a key with its final outcome.
    pub fn add(&mut self, key: &claims::ClaimKey, outcome: &claims::KeyOutcome) {
        let witness = key.prefix.witness;
        let batch = self.open.entry(witness).or_default();
        batch.size_bytes += key.size_bytes() + outcome.response_bytes();
        batch.entries.push(claims::HandOverEntry {
            key: key.clone(),
            outcome: outcome.clone(),
        });
        if batch.size_bytes >= self.limit_bytes {
            let entries = std::mem::take(batch).entries;
            self.actions.push(hand_over(witness, entries));
        }
    }

    /// Returns the actions that send the messages.
    pub fn finish(mut self) -> Vec<claims::HomeAction> {
        for (witness, batch) in self.open {
            if !batch.entries.is_empty() {
                self.actions.push(hand_over(witness, batch.entries));
            }
        }
        self.actions
    }
}

fn hand_over(
    witness: claims::VmIdentity,
    entries: Vec<claims::HandOverEntry>,
) -> claims::HomeAction {
    let batch = claims::HandOverBatch { entries };
    claims::HomeAction::HandOver { batch, witness }
}
