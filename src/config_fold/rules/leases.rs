//! Rules for leases.

use crate::config_fold;
use crate::config_fold::rules;

/// Largest number of leases, including expired ones.
const LEASE_LIMIT_COUNT: usize = 4_096;

pub fn take_lease(
    state: &mut config_fold::FoldState,
    position: rules::RecordPosition,
    name: &str,
    duration_ms: u64,
    mut lease: config_fold::Lease,
) -> Result<config_fold::FoldEvent, config_fold::Rejection> {
    if let Some(held) = state.leases.get(name) {
        let renews = held.holder == lease.holder && held.term <= lease.term;
        if !renews && position.log_unix_ms < held.expires_unix_ms {
            return Err(config_fold::Rejection::LeaseHeld {
                expires_unix_ms: held.expires_unix_ms,
                holder: held.holder.clone(),
                name: name.to_owned(),
                term: held.term,
            });
        }
        if !renews && lease.term <= held.term {
            return Err(config_fold::Rejection::LeaseTermTooLow {
                name: name.to_owned(),
                term: held.term,
            });
        }
        // A renewal never moves the expiry earlier, because the holder may still
        // rely on the previous expiry.
        lease.expires_unix_ms = lease.expires_unix_ms.max(held.expires_unix_ms);
    } else if state.leases.len() >= LEASE_LIMIT_COUNT {
        let what = "leases".to_owned();
        return Err(config_fold::Rejection::TooMany { what });
    }
    let event = config_fold::FoldEvent::LeaseTaken {
        duration_ms,
        holder: lease.holder.clone(),
        name: name.to_owned(),
        term: lease.term,
    };
    state.leases.insert(name.to_owned(), lease);
    Ok(event)
}
