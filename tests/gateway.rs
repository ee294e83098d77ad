//! Tests of the gateway's decisions in virtual time.

#[path = "gateway/api_keys.rs"]
mod api_keys;
#[path = "gateway/backend_pool.rs"]
mod backend_pool;
#[path = "gateway/budget_random.rs"]
mod budget_random;
#[path = "gateway/budget_restarts.rs"]
mod budget_restarts;
#[path = "gateway/choice_replay.rs"]
mod choice_replay;
#[path = "gateway/cold_start.rs"]
mod cold_start;
#[path = "gateway/configuration_spread.rs"]
mod configuration_spread;
#[path = "gateway/degraded_use.rs"]
mod degraded_use;
#[path = "gateway/entry_points.rs"]
mod entry_points;
#[path = "gateway/extreme_numbers.rs"]
mod extreme_numbers;
#[path = "gateway/failure_spells.rs"]
mod failure_spells;
#[path = "gateway/fixtures.rs"]
mod fixtures;
#[path = "gateway/full_read.rs"]
mod full_read;
#[path = "gateway/held_memory.rs"]
mod held_memory;
#[path = "gateway/memory_account.rs"]
mod memory_account;
#[path = "gateway/named_limits.rs"]
mod named_limits;
#[path = "gateway/outdated_sources.rs"]
mod outdated_sources;
#[path = "gateway/pause_detector.rs"]
mod pause_detector;
#[path = "gateway/planned_stops.rs"]
mod planned_stops;
#[path = "gateway/pull_schedule.rs"]
mod pull_schedule;
#[path = "gateway/queueing.rs"]
mod queueing;
#[path = "gateway/queueing_replay.rs"]
mod queueing_replay;
#[path = "gateway/read_schedule.rs"]
mod read_schedule;
#[path = "gateway/recorded_messages.rs"]
mod recorded_messages;
#[path = "gateway/registry.rs"]
mod registry;
#[path = "gateway/registry_random.rs"]
mod registry_random;
#[path = "gateway/relay_peers.rs"]
mod relay_peers;
#[path = "gateway/request_decisions.rs"]
mod request_decisions;
#[path = "gateway/retries.rs"]
mod retries;
#[path = "gateway/routes.rs"]
mod routes;
#[path = "gateway/send_permission.rs"]
mod send_permission;
#[path = "gateway/server_reach.rs"]
mod server_reach;
#[path = "gateway/sized_entry_points.rs"]
mod sized_entry_points;
