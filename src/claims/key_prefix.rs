//! The part of an idempotency key that names its home and witness.

use std::net;

use base64::Engine as _;
use base64::prelude;
use xxhash_rust::xxh3;

use crate::claims;

/// Version of the binary form.
const FORMAT_VERSION: u8 = 1;
/// Length of the checksum at the end of the binary form.
const CHECKSUM_BYTES: usize = 4;
/// Tag of an IPv4 address.
const TAG_V4: u8 = 4;
/// Tag of an IPv6 address.
const TAG_V6: u8 = 6;

/// Prefix of an idempotency key, which names the home and the witness.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct KeyPrefix {
    /// The only VM that may run the key.
    pub home: claims::VmIdentity,
    /// Counter of the home; the keys of an epoch are evicted together.
    pub home_epoch: u64,
    /// VM that must grant the claim before the key runs.
    pub witness: claims::VmIdentity,
}

impl KeyPrefix {
    /// Returns the text form, which holds letters, digits, `-` and `_` only.
    ///
    /// The checksum detects a corrupted prefix, but not a forged one.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut binary = vec![FORMAT_VERSION];
        write_vm(&mut binary, &self.home);
        binary.extend_from_slice(&self.home_epoch.to_be_bytes());
        write_vm(&mut binary, &self.witness);
        let checksum = checksum(&binary);
        binary.extend_from_slice(&checksum);
        prelude::BASE64_URL_SAFE_NO_PAD.encode(&binary)
    }

    /// Parses the text form.
    ///
    /// # Errors
    /// Returns [`claims::KeyError::PrefixMalformed`] if the text cannot be
    /// decoded, [`claims::KeyError::PrefixChecksum`] if the checksum does not
    /// match, and [`claims::KeyError::PrefixFormat`] if the format version is
    /// unknown.
    pub fn parse(text: &str) -> Result<Self, claims::KeyError> {
        let malformed = claims::KeyError::PrefixMalformed;
        let binary = prelude::BASE64_URL_SAFE_NO_PAD
            .decode(text)
            .map_err(|_| malformed.clone())?;
        let split = binary.len().checked_sub(CHECKSUM_BYTES);
        let (content, found) = binary.split_at(split.ok_or(malformed.clone())?);
        if checksum(content) != found {
            return Err(claims::KeyError::PrefixChecksum);
        }
        match content {
            [FORMAT_VERSION, fields @ ..] => Self::decode_fields(fields).ok_or(malformed),
            [format, ..] => Err(claims::KeyError::PrefixFormat { format: *format }),
            [] => Err(malformed),
        }
    }

    fn decode_fields(mut content: &[u8]) -> Option<Self> {
        let rest = &mut content;
        let prefix = Self {
            home: read_vm(rest)?,
            home_epoch: u64::from_be_bytes(read_array(rest)?),
            witness: read_vm(rest)?,
        };
        rest.is_empty().then_some(prefix)
    }
}

fn checksum(content: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let [a, b, c, d, ..] = xxh3::xxh3_64(content).to_be_bytes();
    [a, b, c, d]
}

fn write_vm(binary: &mut Vec<u8>, vm: &claims::VmIdentity) {
    binary.extend_from_slice(&vm.incarnation.to_be_bytes());
    match vm.peer_address.ip() {
        net::IpAddr::V4(ip) => {
            binary.push(TAG_V4);
            binary.extend_from_slice(&ip.octets());
        }
        net::IpAddr::V6(ip) => {
            binary.push(TAG_V6);
            binary.extend_from_slice(&ip.octets());
        }
    }
    binary.extend_from_slice(&vm.peer_address.port().to_be_bytes());
}

fn read_array<const LENGTH: usize>(rest: &mut &[u8]) -> Option<[u8; LENGTH]> {
    let (array, tail) = rest.split_first_chunk::<LENGTH>()?;
    *rest = tail;
    Some(*array)
}

fn read_vm(rest: &mut &[u8]) -> Option<claims::VmIdentity> {
    let incarnation = u64::from_be_bytes(read_array(rest)?);
    let ip = match read_array::<1>(rest)? {
        [TAG_V4] => net::IpAddr::from(read_array::<4>(rest)?),
        [TAG_V6] => net::IpAddr::from(read_array::<16>(rest)?),
        _ => return None,
    };
    let port = u16::from_be_bytes(read_array(rest)?);
    Some(claims::VmIdentity {
        incarnation,
        peer_address: net::SocketAddr::new(ip, port),
    })
}
