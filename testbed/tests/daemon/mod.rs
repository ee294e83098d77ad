//! The daemon's request path, against servers with exactly one fault each.

mod answers;
mod attempts;
mod bodies;
mod caller;
mod deadlines;
mod fixtures;
mod homes;
mod keys;
mod leave;
mod loopback;
mod refusals;
mod scripted_server;
mod step;
mod vm;
mod wait;
