//! Records and bundles for the tests of the configuration fold.

use foxtailwinch::bundle;
use foxtailwinch::config_fold;

/// Returns a valid bundle. Different deadlines make different bundles.
pub fn bundle(deadline_ms: u64) -> String {
    format!(
        "services:
  agizo:
    deadline_ms: {deadline_ms}
    servers:
      agizo-1:
        address: 127.0.0.1:9001
        availability_zone: kariakoo
        region: pwani
        slot_count: 6
routes:
  - path_prefix: /orders
    service: agizo
"
    )
}

pub fn proposed(version: &str, base: Option<&str>, content: &str) -> config_fold::RecordBody {
    config_fold::RecordBody::BundleProposed {
        base_version: base.map(str::to_owned),
        bundle_version: version.to_owned(),
        content: content.to_owned(),
        digest: bundle::digest(content),
        operator: "asha".to_owned(),
    }
}

pub fn signed_off(version: &str) -> config_fold::RecordBody {
    config_fold::RecordBody::SignedOff {
        bundle_version: version.to_owned(),
        operator: "juma".to_owned(),
    }
}

pub fn rolled_out(version: &str, base: Option<&str>) -> config_fold::RecordBody {
    config_fold::RecordBody::RolledOut {
        base_version: base.map(str::to_owned),
        bundle_version: version.to_owned(),
        operator: "asha".to_owned(),
    }
}

pub fn lease(holder: &str, term: u64, duration_ms: u64) -> config_fold::RecordBody {
    config_fold::RecordBody::LeaseTaken {
        duration_ms,
        holder: holder.to_owned(),
        name: "agizo".to_owned(),
        term,
    }
}

/// Returns the body of a record to append.
pub fn body(record_id: &str, body: config_fold::RecordBody) -> String {
    config_fold::Record::new(record_id.to_owned(), body).to_json()
}

/// Returns stored records from offset 0, appended 1 s apart.
pub fn stored(bodies: Vec<config_fold::RecordBody>) -> Vec<config_fold::LogRecord> {
    let stored = |(offset, record): (u64, config_fold::RecordBody)| config_fold::LogRecord {
        appended_unix_ms: offset * 1_000,
        body: body(&format!("r{offset}"), record),
        offset,
    };
    (0..).zip(bodies).map(stored).collect()
}
