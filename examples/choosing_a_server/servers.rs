//! Messages between entry VMs and backend servers.

use foxtailwinch::balancing;

use super::event;
use super::fleet;
use super::scenario;

/// Maximum number of times that a request is sent to a server.
const MAX_SENDS: u32 = 3;
const POLL_INTERVAL_US: u64 = 250_000;
const REPORT_INTERVAL_US: u64 = 100_000;
/// Time from the stop or start of a zone until the VMs and dispatchers receive
/// the new list of servers, in microseconds.
const SERVER_LIST_DELAY_US: u64 = 500_000;

impl fleet::Fleet {
    /// Sends a request to a server chosen by the VM's picker.
    pub(super) fn pick_locally(&mut self, request: usize) {
        let now_ms = self.now_ms();
        let pending = &self.requests[request];
        if pending.is_done {
            return;
        }
        let excluded = pending
            .excluded
            .map(|server| self.server_ids[server].as_str());
        let vm = &mut self.vms[pending.vm];
        let views: Vec<balancing::ServerView<'_>> = vm
            .servers
            .iter()
            .enumerate()
            .map(|(index, known)| balancing::ServerView {
                cold_since_ms: known.cold_since_ms,
                draining: !known.is_listed,
                same_zone: self.backends[index].zone == vm.zone,
                own_in_flight_requests: known.own_in_flight,
                reported_at_ms: known.reported_at_ms,
                reported_load_permille: known.reported_load_permille,
                same_region: self.backends[index].zone / 2 == vm.zone / 2,
                server_id: &self.server_ids[index],
                slot_count: self.scenario.slot_count,
                weight_permille: 1_000,
            })
            .collect();
        let pick_request = balancing::PickRequest {
            excluded: excluded.as_slice(),
            may_spill: false,
        };
        match vm.picker.pick(now_ms, &pick_request, &views) {
            Some(server) => self.send(request, server),
            None => self.refuse_after_send(request),
        }
    }

    /// Sends a request to a server.
    pub(super) fn send(&mut self, request: usize, server: usize) {
        if self.requests[request].is_done {
            self.return_grant(request);
            return;
        }
        self.tally.sent += 1;
        let now_ms = self.now_ms();
        let outgoing = &mut self.requests[request];
        outgoing.server = Some(server);
        outgoing.sends += 1;
        let send = outgoing.sends;
        let vm = &mut self.vms[outgoing.vm];
        vm.servers[server].own_in_flight += 1;
        let server_id = &self.server_ids[server];
        vm.picker
            .observe(now_ms, balancing::PickerEvent::Sent { server_id });
        let delay_us = fleet::delay_us(vm.zone, self.backends[server].zone);
        self.push_in(delay_us, event::Event::AtServer { request, send });
    }

    /// Handles the arrival of a request at its server.
    pub(super) fn reach_server(&mut self, request: usize, send: u32) {
        let arrived = &self.requests[request];
        let Some(server) = arrived.server.filter(|_| arrived.sends == send) else {
            return;
        };
        let slot_count = self.scenario.slot_count as usize;
        let backend = &mut self.backends[server];
        if !backend.is_up {
            self.reply(request, server, event::Outcome::Lost);
        } else if backend.running.len() < slot_count {
            self.start_run(request, server);
        } else {
            self.tally.collisions += 1;
            if self.scenario.has_overload_protection {
                self.reply(request, server, event::Outcome::Shed);
            } else {
                self.backends[server].waiting.push_back(request);
            }
        }
    }

    /// Completes a request and starts the next queued request.
    pub(super) fn end_run(&mut self, request: usize, send: u32, server: usize) {
        let is_current = self.requests[request].sends == send;
        if !is_current || !self.backends[server].running.swap_remove(&request) {
            return;
        }
        self.reply(request, server, event::Outcome::Answered);
        if let Some(next) = self.backends[server].waiting.pop_front() {
            self.start_run(next, server);
        }
    }

    /// Handles a server's response at the entry VM.
    pub(super) fn handle_response(
        &mut self,
        request: usize,
        send: u32,
        server: usize,
        outcome: event::Outcome,
        load_permille: u32,
    ) {
        let now_ms = self.now_ms();
        let reports_in_responses = self.scenario.policy == scenario::Policy::TwoChoicesInResponses;
        if reports_in_responses && outcome != event::Outcome::Lost {
            let known = &mut self.vms[self.requests[request].vm].servers[server];
            known.reported_at_ms = now_ms;
            known.reported_load_permille = Some(load_permille);
        }
        let answered = &self.requests[request];
        if answered.sends != send || answered.server.is_none() {
            return;
        }
        self.leave_server(request, outcome);
        if self.requests[request].is_done {
            return;
        }
        match outcome {
            event::Outcome::Answered => {
                let ended = &mut self.requests[request];
                ended.is_done = true;
                let elapsed_us = self.now_us - ended.arrived_us;
                let added_us = elapsed_us.saturating_sub(ended.run_us);
                let organisation = ended.organisation;
                if ended.attempts_left + 1 == self.scenario.attempts {
                    self.tally.record_first_response(ended.arrived_us);
                }
                self.tally
                    .record_response(self.now_us, organisation, added_us);
                self.release_gate(request);
            }
            event::Outcome::Lost | event::Outcome::Shed => self.retry(request, server),
        }
    }

    /// Cancels a request whose caller has stopped waiting.
    pub(super) fn cancel(&mut self, request: usize) {
        if let Some(server) = self.requests[request].server {
            let zone = self.vms[self.requests[request].vm].zone;
            let delay_us = fleet::delay_us(zone, self.backends[server].zone);
            self.push_in(delay_us, event::Event::CancelAtServer { request, server });
            self.leave_server(request, event::Outcome::Answered);
        } else {
            self.return_grant(request);
        }
        self.release_gate(request);
    }

    /// Updates the load that the servers report.
    pub(super) fn report_load(&mut self) {
        let slot_count = self.scenario.slot_count;
        let loads = self.backends.iter();
        let loads = loads.map(|backend| backend.load_permille(slot_count));
        self.reported_load_permille = loads.collect();
        self.push_in(REPORT_INTERVAL_US, event::Event::ReportLoad);
    }

    /// Reads the load reports of all servers at a VM.
    pub(super) fn poll(&mut self, vm: usize) {
        let now_ms = self.now_ms();
        let servers = self.vms[vm].servers.iter_mut();
        for (known, &load_permille) in servers.zip(&self.reported_load_permille) {
            known.reported_at_ms = now_ms;
            known.reported_load_permille = Some(load_permille);
        }
        self.push_in(POLL_INTERVAL_US, event::Event::Poll { vm });
    }

    /// Stops the servers of zone 0, or starts them cold.
    pub(super) fn set_zone_state(&mut self, is_up: bool) {
        let now_ms = self.now_ms();
        let mut lost = Vec::new();
        for (server, backend) in self.backends.iter_mut().enumerate() {
            if backend.zone != 0 {
                continue;
            }
            backend.is_up = is_up;
            backend.cold_since_ms = Some(now_ms);
            let requests = backend.running.drain(..).chain(backend.waiting.drain(..));
            lost.extend(requests.map(|request| (request, server)));
        }
        for (request, server) in lost {
            self.reply(request, server, event::Outcome::Lost);
        }
        self.push_in(SERVER_LIST_DELAY_US, event::Event::ServerListUpdate);
    }

    /// Sends the list of servers that are up to the VMs and dispatchers.
    pub(super) fn update_known_servers(&mut self) {
        for vm in &mut self.vms {
            for (known, backend) in vm.servers.iter_mut().zip(&self.backends) {
                known.is_listed = backend.is_up;
                known.cold_since_ms = backend.cold_since_ms;
            }
        }
        self.update_dispatchers();
    }

    fn start_run(&mut self, request: usize, server: usize) {
        self.backends[server].running.insert(request);
        let started = &self.requests[request];
        let send = started.sends;
        self.push_in(
            started.run_us,
            event::Event::EndRun {
                request,
                send,
                server,
            },
        );
    }

    fn reply(&mut self, request: usize, server: usize, outcome: event::Outcome) {
        let replied = &self.requests[request];
        let backend = &self.backends[server];
        let delay_us = fleet::delay_us(backend.zone, self.vms[replied.vm].zone);
        let event = event::Event::Response {
            load_permille: backend.load_permille(self.scenario.slot_count),
            outcome,
            request,
            send: replied.sends,
            server,
        };
        self.push_in(delay_us, event);
    }

    fn leave_server(&mut self, request: usize, outcome: event::Outcome) {
        let now_ms = self.now_ms();
        let left = &mut self.requests[request];
        let Some(server) = left.server.take() else {
            return;
        };
        let vm = &mut self.vms[left.vm];
        let known = &mut vm.servers[server];
        known.own_in_flight = known.own_in_flight.saturating_sub(1);
        let server_id = &self.server_ids[server];
        vm.picker
            .observe(now_ms, balancing::PickerEvent::Finished { server_id });
        if outcome == event::Outcome::Shed {
            vm.picker
                .observe(now_ms, balancing::PickerEvent::Shed { server_id });
        }
        self.return_grant(request);
    }

    fn retry(&mut self, request: usize, server: usize) {
        let now_ms = self.now_ms();
        let failed = &mut self.requests[request];
        failed.excluded = Some(server);
        failed.failed_sends += 1;
        let may_retry =
            failed.sends < MAX_SENDS && self.vms[failed.vm].retry_budget.try_retry(now_ms);
        if may_retry {
            self.choose_server(request);
        } else {
            self.refuse_after_send(request);
        }
    }

    fn refuse_after_send(&mut self, request: usize) {
        let now_ms = self.now_ms();
        let vm = &mut self.vms[self.requests[request].vm];
        let retry_after_ms = vm.gate.retry_after_ms(now_ms);
        self.refuse(request, retry_after_ms);
    }
}
