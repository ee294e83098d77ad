//! Tests of the daemon's request path. Each test runs the request-handling part
//! of entry VMs in this process, in front of scripted servers that truncate,
//! swap, delay or drop responses.

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
