//! Conversion between marks and their protobuf messages.

use super::model::KeyHash;
use super::{Mark, MarkTarget};
use crate::clock::Hlc;
use crate::peer::generated::v1;
use crate::peer::generated::v1::mark::Kind;

/// Converts a mark to its protobuf message.
pub fn mark_to_message(mark: &Mark) -> v1::Mark {
    let (kind, target, hlc) = match mark {
        Mark::KeyWithdrawn(hash) => (Kind::KeyWithdrawn, hash.0.clone(), 0),
        Mark::Service { target: MarkTarget::DataCentre(name), at, in_service } => {
            let kind = if *in_service { Kind::DataCentreIn } else { Kind::DataCentreOut };
            (kind, name.to_string(), at.0)
        }
        Mark::Service { target: MarkTarget::BackendServer(name), at, in_service } => {
            let kind = if *in_service { Kind::BackendServerIn } else { Kind::BackendServerOut };
            (kind, name.to_string(), at.0)
        }
    };
    v1::Mark { kind: kind.into(), target, hlc }
}

/// Converts a protobuf message to a mark; `None` if this version of the program does not know its
/// kind.
pub fn mark_from_message(message: v1::Mark) -> Option<Mark> {
    let kind = Kind::try_from(message.kind).ok()?;
    let text = message.target;
    let (target, in_service) = match kind {
        Kind::Unspecified => return None,
        Kind::KeyWithdrawn => return Some(Mark::KeyWithdrawn(KeyHash(text))),
        Kind::DataCentreOut => (MarkTarget::DataCentre(text.into()), false),
        Kind::DataCentreIn => (MarkTarget::DataCentre(text.into()), true),
        Kind::BackendServerOut => (MarkTarget::BackendServer(text.into()), false),
        Kind::BackendServerIn => (MarkTarget::BackendServer(text.into()), true),
    };
    Some(Mark::Service { target, at: Hlc(message.hlc), in_service })
}

/// Converts protobuf messages to marks, skipping those of unknown kind.
pub fn marks_from_messages(messages: Vec<v1::Mark>) -> Vec<Mark> {
    messages.into_iter().filter_map(mark_from_message).collect()
}
