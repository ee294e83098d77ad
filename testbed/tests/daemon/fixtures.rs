//! Settings and bundle of the test VMs.

use std::net;

use foxtailwinch::bundle;
use foxtailwinch::claims;
use foxtailwinch::configs;

/// Timeouts that are long enough for a test on a busy machine.
const LONG_CLAIM_TIMEOUTS: &str = "claims: {claim_timeout_ms: 10000, seal_timeout_ms: 5000}";

/// Returns valid settings with the additional lines `extra_settings` of the
/// settings file. If `extra_settings` is empty, claims have long timeouts.
pub fn settings(
    address: net::SocketAddr,
    identity: claims::VmIdentity,
    extra_settings: &str,
) -> configs::DaemonConfig {
    let peer_address = identity.peer_address;
    let extra_settings = if extra_settings.is_empty() {
        LONG_CLAIM_TIMEOUTS
    } else {
        extra_settings
    };
    let text = format!(
        "availability_zone: kariakoo\ncaller_address: {address}\n\
         log_service_address: 127.0.0.1:1\noperator_address: 127.0.0.1:1\n\
         peer_address: {peer_address}\nregion: pwani\nvm_id: vm-1\n\
         {extra_settings}\n"
    );
    configs::DaemonConfig::parse("vm.yaml", &text).expect("valid settings")
}

/// Returns a bundle with two routes to one service: `/bei` is idempotent,
/// `/agizo` is not.
pub fn bundle(addresses: &[net::SocketAddr]) -> bundle::Bundle {
    let servers = addresses.iter().enumerate().map(|(index, address)| {
        let server = bundle::BackendServer {
            address: *address,
            availability_zone: "kariakoo".to_owned(),
            connection_limit: 330,
            region: "pwani".to_owned(),
            slot_count: 6,
        };
        (format!("s{index}"), server)
    });
    let service = bundle::Service {
        deadline_ms: 20_000,
        max_body_bytes: 1_000_000,
        servers: servers.collect(),
        ..bundle::Service::default()
    };
    let route = |path_prefix: &str, idempotent| bundle::Route {
        idempotent: Some(idempotent),
        methods: Vec::new(),
        path_prefix: path_prefix.to_owned(),
        service: "agizo".to_owned(),
    };
    bundle::Bundle {
        routes: vec![route("/bei", true), route("/agizo", false)],
        services: [("agizo".to_owned(), service)].into(),
        ..bundle::Bundle::default()
    }
}
