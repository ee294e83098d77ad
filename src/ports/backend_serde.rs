//! Compact serialization of a backend server.

use std::fmt;
use std::net;

use serde::de;
use serde::ser;
use serde::ser::SerializeTuple as _;

use crate::ports;

/// Number of fields of a server.
const FIELD_COUNT: usize = 9;

/// Serialized as a sequence of the fields in alphabetical order, without their names:
/// hundreds of VMs that start at the same time send each other all servers.
impl ser::Serialize for ports::Backend {
    fn serialize<S: ser::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut fields = serializer.serialize_tuple(FIELD_COUNT)?;
        fields.serialize_element(&self.address)?;
        fields.serialize_element(&self.availability_zone)?;
        fields.serialize_element(&self.born_unix_ms)?;
        fields.serialize_element(&self.id)?;
        fields.serialize_element(&self.region)?;
        fields.serialize_element(&self.service)?;
        fields.serialize_element(&self.slot_count)?;
        fields.serialize_element(&self.state)?;
        fields.serialize_element(&self.warmup_left_ms)?;
        fields.end()
    }
}

impl<'de> de::Deserialize<'de> for ports::Backend {
    fn deserialize<D: de::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(FIELD_COUNT, BackendVisitor)
    }
}

struct BackendVisitor;

impl<'de> de::Visitor<'de> for BackendVisitor {
    type Value = ports::Backend;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "a backend server as {FIELD_COUNT} fields")
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut fields: A) -> Result<Self::Value, A::Error> {
        let mut index = 0;
        Ok(ports::Backend {
            address: next_field::<net::SocketAddr, _>(&mut fields, &mut index)?,
            availability_zone: next_field(&mut fields, &mut index)?,
            born_unix_ms: next_field(&mut fields, &mut index)?,
            id: next_field(&mut fields, &mut index)?,
            region: next_field(&mut fields, &mut index)?,
            service: next_field(&mut fields, &mut index)?,
            slot_count: next_field(&mut fields, &mut index)?,
            state: next_field(&mut fields, &mut index)?,
            warmup_left_ms: next_field(&mut fields, &mut index)?,
        })
    }
}

fn next_field<'de, T: de::Deserialize<'de>, A: de::SeqAccess<'de>>(
    fields: &mut A,
    index: &mut usize,
) -> Result<T, A::Error> {
    let field = fields.next_element()?;
    let field = field.ok_or_else(|| de::Error::invalid_length(*index, &BackendVisitor))?;
    *index += 1;
    Ok(field)
}
