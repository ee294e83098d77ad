//! Route table for lookups by path and method.

use std::mem;

use crate::bundle;
use crate::routing;
use crate::routing::path;
use crate::routing::segment_key;

/// Index of the empty prefix.
const ROOT_PREFIX: u32 = 0;

/// Trie of routes by path segment. A lookup costs one hash per path segment,
/// independent of the number of routes.
///
/// A route matches when its prefix equals the leading complete segments of the
/// path and it lists the method or no method. Of several matching routes, the
/// one with the longest prefix takes precedence, then one that lists methods,
/// then the one that comes first in the bundle.
///
/// Empty segments are ignored and percent-encoded unreserved characters are
/// decoded before the comparison. Paths with `.` or `..` segments never match:
/// a backend server that resolved such segments would run a different request
/// than the one that was routed.
#[derive(Clone, Debug)]
pub struct RouteTable {
    /// Index of the longer prefix of each edge.
    edges: indexmap::IndexMap<segment_key::SegmentKey, u32>,
    /// Indices of the routes with each prefix, in order of precedence.
    prefixes: Vec<Vec<u32>>,
    routes: Vec<CompiledRoute>,
}

#[derive(Clone, Debug)]
struct CompiledRoute {
    idempotent: bool,
    route: bundle::Route,
}

impl CompiledRoute {
    fn compile(route: &bundle::Route, bundle: &bundle::Bundle) -> Self {
        let service = bundle.services.get(&route.service);
        let service_idempotent = service.is_some_and(|service| service.idempotent);
        Self {
            idempotent: route.idempotent.unwrap_or(service_idempotent),
            route: route.clone(),
        }
    }

    fn allows(&self, method: &str) -> bool {
        let methods = &self.route.methods;
        methods.is_empty() || methods.iter().any(|allowed| allowed == method)
    }
}

impl RouteTable {
    /// Builds the table of the routes of `bundle`.
    ///
    /// Routes whose prefix contains a `.` or `..` segment can never match and
    /// are omitted.
    #[must_use]
    pub fn build(bundle: &bundle::Bundle) -> Self {
        let mut table = Self {
            edges: indexmap::IndexMap::with_capacity(bundle.routes.len()),
            prefixes: vec![Vec::new()],
            routes: Vec::with_capacity(bundle.routes.len()),
        };
        for route in &bundle.routes {
            table.insert(CompiledRoute::compile(route, bundle));
        }
        table.order_candidates();
        table
    }

    /// Returns the matching route, or `None` when no route matches.
    #[must_use]
    pub fn find<'a>(&'a self, method: &str, path: &str) -> Option<routing::RouteMatch<'a>> {
        if !path.starts_with('/') {
            return None;
        }
        let path = path::decode_unreserved(path);
        let mut best = self.first_allowed(ROOT_PREFIX, method);
        let mut prefix = Some(ROOT_PREFIX);
        for segment in path::segments(&path) {
            if path::is_dot_segment(segment) {
                return None;
            }
            prefix = prefix.and_then(|prefix| self.child(prefix, segment));
            let longer = prefix.and_then(|prefix| self.first_allowed(prefix, method));
            best = longer.or(best);
        }
        best.map(Self::to_match)
    }

    /// Returns the memory used by the table, in bytes, calculated from the
    /// sizes and capacities of its parts.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        // An index map stores the hash with each entry, and an index of
        // one-word slots, of which at most seven eighths are in use.
        let edge_bytes = mem::size_of::<(segment_key::SegmentKey, u32, usize)>();
        let slot_bytes = mem::size_of::<usize>() * 8 / 7;
        let edges = self.edges.capacity() * (edge_bytes + slot_bytes);
        let segments: usize = self.edges.keys().map(|key| key.segment.len()).sum();
        let prefixes = self.prefixes.capacity() * mem::size_of::<Vec<u32>>();
        let candidates: usize = self.prefixes.iter().map(Vec::capacity).sum();
        let routes: usize = self.routes.iter().map(Self::route_bytes).sum();
        edges + segments + prefixes + candidates * mem::size_of::<u32>() + routes
    }

    /// Returns the number of routes.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    fn insert(&mut self, compiled: CompiledRoute) {
        let decoded = path::decode_unreserved(&compiled.route.path_prefix).into_owned();
        if path::segments(&decoded).any(path::is_dot_segment) {
            return;
        }
        let mut prefix = ROOT_PREFIX;
        for segment in path::segments(&decoded) {
            prefix = self.child_or_insert(prefix, segment);
        }
        let route_index = to_index(self.routes.len());
        self.prefixes[prefix as usize].push(route_index);
        self.routes.push(compiled);
    }

    fn order_candidates(&mut self) {
        let routes = &self.routes;
        for candidates in &mut self.prefixes {
            candidates.sort_by_key(|&index| routes[index as usize].route.methods.is_empty());
            candidates.shrink_to_fit();
        }
    }

    fn child(&self, parent: u32, segment: &str) -> Option<u32> {
        let key = segment_key::SegmentKeyView { parent, segment };
        self.edges.get(&key).copied()
    }

    fn child_or_insert(&mut self, parent: u32, segment: &str) -> u32 {
        if let Some(child) = self.child(parent, segment) {
            return child;
        }
        let child = to_index(self.prefixes.len());
        let segment = Box::from(segment);
        self.edges
            .insert(segment_key::SegmentKey { parent, segment }, child);
        self.prefixes.push(Vec::new());
        child
    }

    fn first_allowed(&self, prefix: u32, method: &str) -> Option<&CompiledRoute> {
        self.prefixes[prefix as usize]
            .iter()
            .map(|&index| &self.routes[index as usize])
            .find(|compiled| compiled.allows(method))
    }

    fn to_match(compiled: &CompiledRoute) -> routing::RouteMatch<'_> {
        routing::RouteMatch {
            idempotent: compiled.idempotent,
            route: &compiled.route,
            service_name: &compiled.route.service,
        }
    }

    fn route_bytes(compiled: &CompiledRoute) -> usize {
        let route = &compiled.route;
        let methods: usize = route
            .methods
            .iter()
            .map(|method| mem::size_of::<String>() + method.capacity())
            .sum();
        mem::size_of::<CompiledRoute>()
            + route.path_prefix.capacity()
            + route.service.capacity()
            + methods
    }
}

fn to_index(length: usize) -> u32 {
    u32::try_from(length).expect("a bundle holds fewer than 2^32 path segments")
}
