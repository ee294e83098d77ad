//! The messages between the VMs of a fleet.

use foxtailwinch::claims;

#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Message {
    ForwardToHome {
        deadline_ms: u64,
        entry_attempt_id: u64,
        fingerprint: u64,
        key: claims::ClaimKey,
    },
    Claim {
        claim: claims::Claim,
    },
    ClaimReply {
        key: claims::ClaimKey,
        reply: claims::ClaimReply,
    },
    HandOver {
        batch: claims::HandOverBatch,
    },
    HomeReply {
        entry_attempt_id: u64,
        reply: claims::EntryHomeReply,
    },
    Seal {
        entry_attempt_id: u64,
        seal: claims::Seal,
    },
    SealReply {
        entry_attempt_id: u64,
        reply: claims::SealReply,
    },
}

#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Envelope {
    pub from: usize,
    pub message: Message,
    pub to: usize,
}
