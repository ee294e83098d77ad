//! Servers of a dispatcher with exact counts of their granted slots.

use rand::Rng as _;
use rand::SeedableRng as _;

use crate::balancing;
use crate::balancing::ramp;
use crate::configs;

/// Servers of a dispatcher with the number of granted slots of each.
#[derive(Clone, Debug)]
pub(crate) struct ServerPool {
    config: configs::balancing::BalancingConfig,
    random: rand::rngs::SmallRng,
    servers: indexmap::IndexMap<String, ServerSlots>,
}

#[derive(Clone, Debug)]
struct ServerSlots {
    granted_count: u32,
    server: balancing::DispatcherServer,
}

impl ServerPool {
    /// Creates a pool without servers.
    pub(crate) fn new(config: &configs::balancing::BalancingConfig, seed: u64) -> Self {
        Self {
            config: config.clone(),
            random: rand::rngs::SmallRng::seed_from_u64(seed),
            servers: indexmap::IndexMap::new(),
        }
    }

    /// Releases a slot of the server.
    pub(crate) fn release(&mut self, server_id: &str) {
        if let Some(slots) = self.servers.get_mut(server_id) {
            slots.granted_count = slots.granted_count.saturating_sub(1);
        }
    }

    /// Returns whether any server that accepts new requests has a free slot.
    pub(crate) fn has_free_slot(&self) -> bool {
        self.servers.values().any(ServerSlots::has_free_slot)
    }

    /// Returns the total number of slots of the servers that accept new
    /// requests.
    pub(crate) fn slot_count(&self) -> u32 {
        let slots = self.servers.values().filter(|slots| slots.accepts_work());
        slots.map(|slots| slots.server.slot_count).sum()
    }

    /// Replaces the servers. `granted_on` returns the number of granted slots
    /// of the server with the given id.
    pub(crate) fn replace(
        &mut self,
        servers: Vec<balancing::DispatcherServer>,
        granted_on: impl Fn(&str) -> u32,
    ) {
        self.servers = servers
            .into_iter()
            .map(|server| {
                let server_id = server.server_id.clone();
                let granted_count = granted_on(&server_id);
                let slots = ServerSlots {
                    granted_count,
                    server,
                };
                (server_id, slots)
            })
            .collect();
    }

    /// Acquires a slot and returns the id of its server, or `None` when no
    /// sampled server has a free slot.
    ///
    /// Each server is sampled with a probability equal to its weight. The
    /// result may therefore be `None` although a cold or suspected server has a
    /// free slot. Of the sampled servers, the one with the smallest fraction of
    /// its slots in use is chosen, with ties broken at random.
    pub(crate) fn acquire(&mut self, now_ms: u64, excluded: Option<&str>) -> Option<String> {
        let config = &self.config;
        let random = &mut self.random;
        let free = self.servers.iter_mut().filter_map(|(server_id, slots)| {
            if !slots.has_free_slot() || excluded == Some(server_id.as_str()) {
                return None;
            }
            let weight_permille = slots.weight_permille(config, now_ms);
            if random.random_range(0..1_000) >= weight_permille {
                return None;
            }
            let used_permille = slots.granted_count * 1_000 / slots.server.slot_count;
            Some(((used_permille, random.random::<u32>()), slots))
        });
        let (_, slots) = free.min_by_key(|(order, _)| *order)?;
        slots.granted_count += 1;
        assert!(
            slots.granted_count <= slots.server.slot_count,
            "a dispatcher never grants more slots than a server has"
        );
        Some(slots.server.server_id.clone())
    }
}

impl ServerSlots {
    fn has_free_slot(&self) -> bool {
        self.accepts_work() && self.granted_count < self.server.slot_count
    }

    fn accepts_work(&self) -> bool {
        !self.server.draining && self.server.weight_permille > 0
    }

    fn weight_permille(&self, config: &configs::balancing::BalancingConfig, now_ms: u64) -> u32 {
        let weight_permille = self.server.weight_permille;
        let cold_since_ms = self.server.cold_since_ms;
        ramp::ramped_weight_permille(config, now_ms, weight_permille, cold_since_ms)
    }
}
