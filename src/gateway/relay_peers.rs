//! Choice of the entry VM that a request is relayed to.

use std::net;

use crate::gateway;
use crate::gateway::entry_points;

/// Time for which a VM that declined a request is not chosen again, in milliseconds.
const AVOID_MS: u64 = 1_000;

/// The other entry VMs, for requests that this VM cannot send to a server itself.
#[derive(Debug, Default)]
pub struct RelayPeers {
    avoided_until_ms: indexmap::IndexMap<net::SocketAddr, u64>,
    least_version: u64,
}

impl RelayPeers {
    /// Returns the caller address of the VM to relay a request to; `None` if no VM is
    /// left.
    ///
    /// Prefers the VMs that callers are sent to, because they know the servers' health,
    /// and among these the near ones.
    #[must_use]
    pub fn choose(
        &self,
        now_ms: u64,
        request: &gateway::RelayRequest<'_>,
    ) -> Option<net::SocketAddr> {
        let advertised =
            entry_points::advertised(request.config, request.vms, request.has_downloads, None);
        let usable = request.vms.iter().filter(|vm| {
            let address = vm.caller_address;
            let avoided_until_ms = self.avoided_until_ms.get(&address);
            address != request.identity.caller_address
                && !request.tried.contains(&address)
                && avoided_until_ms.is_none_or(|until_ms| *until_ms <= now_ms)
        });
        let ranked = usable.map(|vm| {
            let identity = request.identity;
            let is_advertised = advertised.contains(&vm.caller_address);
            let is_near = vm.availability_zone == identity.availability_zone;
            let is_in_region = vm.region == identity.region;
            ((!is_advertised, !is_in_region, !is_near), vm.caller_address)
        });
        let mut ranked: Vec<_> = ranked.collect();
        ranked.sort_unstable();
        let best = ranked.first()?.0;
        ranked.retain(|(rank, _)| *rank == best);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_precision_loss,
            clippy::cast_sign_loss,
            reason = "a random value is between 0 and 1, the number of VMs small"
        )]
        let index = (request.random_value * ranked.len() as f64) as usize;
        ranked.get(index).map(|(_, address)| *address)
    }

    /// Records that a VM could not be reached, or declined a request.
    pub fn record_declined(&mut self, now_ms: u64, vm: net::SocketAddr) {
        self.avoided_until_ms
            .retain(|_, until_ms| *until_ms > now_ms);
        self.avoided_until_ms.insert(vm, now_ms + AVOID_MS);
    }

    /// Records the version of the configuration by which a VM handled a request.
    pub fn record_version(&mut self, version: u64) {
        self.least_version = self.least_version.max(version);
    }

    /// Returns the version of the configuration that a VM must have to handle requests
    /// of this VM, whose own version is `own_version`. A caller must not see an older
    /// configuration after a newer one.
    #[must_use]
    pub fn required_version(&self, own_version: u64) -> u64 {
        self.least_version.max(own_version)
    }
}
