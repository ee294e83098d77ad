//! The reply of the home, as an entry VM receives it.

use crate::claims;
use crate::verdict;

/// Reply of the home, as an entry VM receives it.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum EntryHomeReply {
    /// Stored response.
    Answer(claims::StoredResponse),
    /// The home runs the request, and the driver streams its response to the
    /// caller. The attempt is finished.
    AnswerStreaming,
    /// The home is not the incarnation that the key names.
    AskWitness,
    /// Final refusal.
    Refused(verdict::Refusal),
}

impl From<claims::HomeReply> for EntryHomeReply {
    fn from(reply: claims::HomeReply) -> Self {
        match reply {
            claims::HomeReply::Answer(response) => Self::Answer(response),
            claims::HomeReply::AskWitness => Self::AskWitness,
            claims::HomeReply::Refused(refusal) => Self::Refused(refusal),
        }
    }
}
