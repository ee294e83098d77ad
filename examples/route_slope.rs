//! Measures the time and memory of route lookups by the number of routes.
//!
//! `cargo run --release --example route_slope [SEED]`

use std::env;
use std::error;
use std::hint;
use std::time;

use foxtailwinch::bundle;
use foxtailwinch::routing;
use rand::Rng as _;
use rand::SeedableRng as _;

const DEFAULT_SEED: u64 = 20_261_204;
const LOOKUP_COUNT: usize = 1_000_000;
const PATH_COUNT: usize = 100_000;
const ROUTE_COUNTS: [usize; 6] = [100, 1_000, 5_000, 10_000, 22_000, 44_000];
const SEGMENT_COUNT: u32 = 400;
const SERVICE_COUNT: u32 = 50;

fn main() -> Result<(), Box<dyn error::Error>> {
    let seed = match env::args().nth(1) {
        Some(seed) => seed.parse()?,
        None => DEFAULT_SEED,
    };
    println!("seed {seed}");
    println!("routes,build_ms,ns_per_hit,ns_per_miss,bytes,bytes_per_route");
    for route_count in ROUTE_COUNTS {
        println!("{}", measure(route_count, seed));
    }
    Ok(())
}

fn measure(route_count: usize, seed: u64) -> String {
    let mut random = rand::rngs::SmallRng::seed_from_u64(seed);
    let bundle = random_bundle(&mut random, route_count);
    let started = time::Instant::now();
    let table = routing::RouteTable::build(&bundle);
    let build_ms = started.elapsed().as_millis();
    let hits = hit_paths(&mut random, &bundle);
    let misses: Vec<String> = hits.iter().map(|path| format!("/missing{path}")).collect();
    let hit_ns = ns_per_lookup(&table, &hits);
    let miss_ns = ns_per_lookup(&table, &misses);
    let bytes = table.memory_bytes();
    let bytes_per_route = bytes / route_count;
    format!("{route_count},{build_ms},{hit_ns},{miss_ns},{bytes},{bytes_per_route}")
}

fn random_bundle(random: &mut rand::rngs::SmallRng, route_count: usize) -> bundle::Bundle {
    let mut prefixes = indexmap::IndexSet::new();
    while prefixes.len() < route_count {
        prefixes.insert(random_prefix(random));
    }
    let routes = prefixes.into_iter().map(|path_prefix| bundle::Route {
        idempotent: None,
        methods: vec!["GET".to_owned()],
        path_prefix,
        service: format!("service-{}", random.random_range(0..SERVICE_COUNT)),
    });
    bundle::Bundle {
        routes: routes.collect(),
        ..bundle::Bundle::default()
    }
}

fn random_prefix(random: &mut rand::rngs::SmallRng) -> String {
    let depth = random.random_range(2..=5);
    let segments: Vec<String> = (0..depth)
        .map(|_| random.random_range(0..SEGMENT_COUNT))
        .map(|segment| format!("/segment-{segment}"))
        .collect();
    segments.concat()
}

fn hit_paths(random: &mut rand::rngs::SmallRng, bundle: &bundle::Bundle) -> Vec<String> {
    let paths = (0..PATH_COUNT).map(|_| {
        let route = &bundle.routes[random.random_range(0..bundle.routes.len())];
        let item = random.random::<u32>();
        format!("{}/items/{item}", route.path_prefix)
    });
    paths.collect()
}

fn ns_per_lookup(table: &routing::RouteTable, paths: &[String]) -> u128 {
    let started = time::Instant::now();
    for index in 0..LOOKUP_COUNT {
        let found = table.find("GET", &paths[index % paths.len()]);
        hint::black_box(found);
    }
    started.elapsed().as_nanos() / LOOKUP_COUNT as u128
}
