//! Compact encoding of routes in messages between entry VMs.

use std::fmt;

use base64::Engine as _;
use serde::de;

use crate::ports;

/// Routes, encoded as one string instead of an object each.
///
/// The string has about a third of the bytes: names of fields repeat in each of
/// thousands of routes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CompactRoutes(pub Vec<ports::Route>);

impl serde::Serialize for CompactRoutes {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let bytes = postcard::to_stdvec(&self.0).map_err(serde::ser::Error::custom)?;
        let text = base64::engine::general_purpose::STANDARD.encode(bytes);
        serializer.serialize_str(&text)
    }
}

impl<'de> serde::Deserialize<'de> for CompactRoutes {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(CompactRoutesVisitor)
    }
}

struct CompactRoutesVisitor;

impl de::Visitor<'_> for CompactRoutesVisitor {
    type Value = CompactRoutes;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("routes in postcard encoding, as base64")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Self::Value, E> {
        let bytes = base64::engine::general_purpose::STANDARD.decode(text);
        let bytes = bytes.map_err(E::custom)?;
        let routes = postcard::from_bytes(&bytes).map_err(E::custom)?;
        Ok(CompactRoutes(routes))
    }
}
