//! The daemon's request path, against servers with exactly one fault each.

mod attempts;
mod bodies;
mod caller;
mod deadlines;
mod fixtures;
mod homes;
mod in_flight;
mod keys;
mod loopback;
mod refusals;
mod responses;
mod scripted_server;
mod step;
mod vm;
mod wait;
