//! Calls at VMs, and the endpoints that run them.

use super::*;

impl BrittleSim {
    pub(super) fn send_calls(&mut self) {
        let now = self.env.now;
        let interval = Duration::from_millis(5);
        let (count, crowd) = (self.vms.len(), self.vms.len().div_ceil(10));
        self.env.schedule_wake(count, Some(now + interval));
        let mean = self.capacity() * self.scenario.load * interval.as_secs_f64();
        let rest = self.env.rng.random_bool(mean.fract());
        for _ in 0..mean as usize + usize::from(rest) {
            let is_crowd = self.env.rng.random_bool(self.scenario.skew);
            let limit = if is_crowd { crowd } else { count };
            let vm = self.env.rng.random_range(0..limit);
            // Callers go to another VM if one is down or has just started.
            let vm = (vm..vm + count)
                .map(|vm| vm % count)
                .find(|vm| self.vms[*vm].is_up);
            let Some(vm) = vm else { continue };
            self.offered += usize::from(now >= SHRUNK_FROM);
            self.calls.push(Call {
                vm,
                epoch: self.vms[vm].epoch,
                rank: 0,
                state: CallState::Over,
                wait_end: now + MAX_WAIT,
                endpoint: 0,
                incarnation: 0,
                key: None,
                tried: Vec::new(),
                sent: now,
            });
            self.place(self.calls.len() - 1);
        }
    }

    pub(super) fn place(&mut self, index: usize) {
        let now = self.env.now;
        let Call { vm, rank, .. } = self.calls[index];
        let service = service();
        for _ in 0..40 {
            let decision = {
                let call = &self.calls[index];
                let request = PlacementRequest {
                    service: &service,
                    prompt: None,
                    objective: None,
                    max_gap: None,
                    limits: poplarswitch_ingress::StartLimits::default(),
                    top_priority: false,
                    rank,
                    software: None,
                    tried: &call.tried,
                    data_centre: &DataCentre::new("bole"),
                };
                let table = &self.vms[vm].table;
                table.choose(now, request, &GroupSplit::default())
            };
            let PlacementDecision::Send(placement) = decision else {
                return self.wait(index);
            };
            let key = placement.endpoint;
            if self.rounds_share(vm) {
                return self.send_by_share(index, key);
            }
            match self.vms[vm].table.take_slot(now, key, rank) {
                None => return self.send_call(index, key),
                Some(SlotDecision::Granted) => {
                    self.send_call(index, key);
                    self.vms[vm].table.end_reservation(key);
                    return;
                }
                Some(SlotDecision::Denied) => {}
                Some(SlotDecision::Ask(owner, request)) => {
                    self.calls[index].state = CallState::Asking(key);
                    self.vms[vm].pending.insert(index);
                    self.push(vm, index, REPLY_TIMEOUT, SimEvent::ReplyOver);
                    return self.send_requests(vm, [(owner, request)]);
                }
            }
        }
    }

    /// Sends a call if the VM's equal share, which is one call at least, allows it.
    fn send_by_share(&mut self, index: usize, key: EndpointKey) {
        let now = self.env.now;
        let Call { vm, .. } = self.calls[index];
        let share = (self.scenario.slots / self.vms.len() as u32).max(1);
        let table = &self.vms[vm].table;
        let Some(endpoint) = endpoint_of(table, key) else {
            return;
        };
        let has_room = table.get(key).is_some_and(|e| e.open_calls < share);
        if now >= BRITTLE_FROM && (!has_room || now < self.vms[vm].crowded[endpoint]) {
            self.calls[index].tried.push(key);
            self.place(index);
        } else {
            self.send_call(index, key);
        }
    }

    pub(super) fn take_again(&mut self, index: usize, key: EndpointKey) {
        let now = self.env.now;
        let Call { vm, rank, .. } = self.calls[index];
        self.vms[vm].pending.remove(&index);
        match self.vms[vm].table.take_slot(now, key, rank) {
            None => self.send_call(index, key),
            Some(SlotDecision::Granted) => {
                self.send_call(index, key);
                self.vms[vm].table.end_reservation(key);
            }
            Some(SlotDecision::Ask(..) | SlotDecision::Denied) => self.place(index),
        }
    }

    fn wait(&mut self, index: usize) {
        let now = self.env.now;
        let Call {
            vm, rank, wait_end, ..
        } = self.calls[index];
        let table = &mut self.vms[vm].table;
        let service = service();
        if now >= wait_end || !table.is_brittle_service(now, &service) {
            self.calls[index].state = CallState::Over;
            return;
        }
        let key = table.shortest_slot_queue(now, &service, None, &self.calls[index].tried);
        let request = key.and_then(|key| table.wait_for_slot(now, key, rank));
        self.calls[index].state = CallState::Waiting(key);
        self.vms[vm].pending.insert(index);
        let delay = match key {
            Some(_) => wait_end.since(now),
            None => RETRY_INTERVAL.min(wait_end.since(now)),
        };
        self.push(vm, index, delay, SimEvent::WaitOver);
        self.send_requests(vm, request);
    }

    pub(super) fn end_wait(&mut self, index: usize) {
        let Call {
            vm, rank, state, ..
        } = self.calls[index];
        if let CallState::Waiting(Some(key)) = state {
            self.vms[vm].table.end_slot_wait(key, rank);
            if !self.vms[vm].table.has_free_slot(self.env.now, key, rank) {
                self.release(vm, key);
            }
        }
        self.calls[index].state = CallState::Over;
        self.vms[vm].pending.remove(&index);
    }

    fn send_call(&mut self, index: usize, key: EndpointKey) {
        let now = self.env.now;
        let vm = self.calls[index].vm;
        let table = &mut self.vms[vm].table;
        let Some(endpoint) = endpoint_of(table, key) else {
            return self.place(index);
        };
        if let Some(endpoint) = table.get_mut(key) {
            endpoint.open_calls += 1;
        }
        let call = &mut self.calls[index];
        call.state = CallState::Sent;
        call.key = Some(key);
        call.endpoint = endpoint;
        call.sent = now;
        let incarnation = table.get(key).map_or(0, |e| e.entry.start_ms - 1);
        call.incarnation = incarnation;
        self.push(vm, index, ONE_WAY, SimEvent::Arrive);
    }

    pub(super) fn handle(&mut self, node: NodeIndex, index: usize, event: SimEvent) {
        match event {
            SimEvent::Arrive => self.arrive(index),
            SimEvent::Finish => self.finish(index),
            SimEvent::Answer => self.answer(index),
            SimEvent::ReplyOver => {
                if let CallState::Asking(key) = self.calls[index].state {
                    let now = self.env.now;
                    let vm = self.calls[index].vm;
                    self.vms[vm].table.record_slot_silence(now, key);
                    self.take_again(index, key);
                }
            }
            SimEvent::WaitOver => {
                if matches!(self.calls[index].state, CallState::Waiting(_)) {
                    self.end_wait(index);
                    self.place(index);
                }
            }
            SimEvent::Waits => {
                let now = self.env.now;
                let waits = self.vms[node].table.repeat_slot_waits(now);
                self.send_requests(node, waits);
            }
            SimEvent::Unused => {
                let now = self.env.now;
                let keys = core::mem::take(&mut self.vms[node].unused);
                for key in keys {
                    let request = self.vms[node].table.return_unused_slots(now, key);
                    self.send_requests(node, request);
                }
            }
            SimEvent::Restart => {
                self.endpoints[index].is_down = false;
                self.endpoints[index].incarnation += 1;
                self.push(self.scenario.vms, index, LISTING_DELAY, SimEvent::Listed);
            }
            SimEvent::Listed => (0..self.vms.len()).for_each(|vm| self.list(vm)),
        }
    }

    // Endpoints.

    fn arrive(&mut self, index: usize) {
        let now = self.env.now;
        let Call {
            vm,
            endpoint,
            incarnation,
            state,
            ..
        } = self.calls[index];
        if state != CallState::Sent {
            return;
        }
        let (from, to) = self.scenario.queue;
        let queue = if now >= SHRUNK_FROM { to } else { from };
        let target = &mut self.endpoints[endpoint];
        let state = if target.is_down || target.incarnation != incarnation {
            CallState::Failed
        } else if (target.running.len() as u32) < self.scenario.slots {
            target.running.insert(index);
            return self.run_call(index);
        } else if (target.queued.len() as u32) < queue {
            return target.queued.push_back(index);
        } else {
            target.rejections.push_back(now);
            target
                .rejections
                .retain(|at| now.since(*at) < REJECTION_WINDOW);
            let is_crash = now >= SHRUNK_FROM && target.rejections.len() > self.scenario.bound;
            self.rejected += usize::from(now >= SHRUNK_FROM);
            if is_crash {
                self.crash(endpoint);
                CallState::Failed
            } else {
                CallState::Rejected
            }
        };
        self.calls[index].state = state;
        self.push(vm, index, ONE_WAY, SimEvent::Answer);
    }

    fn run_call(&mut self, index: usize) {
        let vm = self.calls[index].vm;
        let factor = self.env.rng.random_range(0.5..=1.5);
        let run_time = self.scenario.run_time.mul_f64(factor);
        self.push(vm, index, run_time, SimEvent::Finish);
    }

    fn finish(&mut self, index: usize) {
        let Call { vm, endpoint, .. } = self.calls[index];
        if !self.endpoints[endpoint].running.remove(&index) {
            return;
        }
        self.calls[index].state = CallState::Served;
        self.served += usize::from(self.env.now >= SHRUNK_FROM);
        self.push(vm, index, ONE_WAY, SimEvent::Answer);
        self.run_next(endpoint);
    }

    pub(super) fn run_next(&mut self, endpoint: usize) {
        let target = &mut self.endpoints[endpoint];
        if (target.running.len() as u32) < self.scenario.slots
            && let Some(next) = target.queued.pop_front()
        {
            target.running.insert(next);
            self.run_call(next);
        }
    }

    fn crash(&mut self, endpoint: usize) {
        self.crashes += 1;
        let target = &mut self.endpoints[endpoint];
        target.is_down = true;
        target.rejections.clear();
        let lost = core::mem::take(&mut target.running);
        let lost = lost.into_iter().chain(core::mem::take(&mut target.queued));
        for index in lost.collect::<Vec<usize>>() {
            self.calls[index].state = CallState::Failed;
            let vm = self.calls[index].vm;
            self.push(vm, index, ONE_WAY, SimEvent::Answer);
        }
        let world = self.scenario.vms;
        self.push(world, endpoint, DOWN_TIME, SimEvent::Restart);
    }

    fn answer(&mut self, index: usize) {
        let now = self.env.now;
        let call = self.calls[index].clone();
        let (vm, Some(key)) = (call.vm, call.key) else {
            return;
        };
        if self.vms[vm].epoch != call.epoch || !self.vms[vm].is_up {
            return;
        }
        let table = &mut self.vms[vm].table;
        if call.state != CallState::Failed {
            let bound = (now >= BRITTLE_FROM).then_some(self.scenario.bound as f64);
            table.record_bound(now, key, call.sent, bound);
        }
        let mut rejection = None;
        match call.state {
            CallState::Rejected => {
                rejection = table.record_rejection(now, key);
                self.vms[vm].crowded[call.endpoint] = now + self.old_backoff();
            }
            CallState::Failed => {
                if let Some(endpoint) = table.get_mut(key) {
                    Health::record_unreachable(&mut endpoint.health, now);
                }
            }
            _ => {}
        }
        let table = &mut self.vms[vm].table;
        if let Some(endpoint) = table.get_mut(key) {
            endpoint.open_calls = endpoint.open_calls.saturating_sub(1);
        }
        self.send_requests(vm, rejection);
        self.release(vm, key);
        self.calls[index].tried.push(key);
        let is_retried = matches!(call.state, CallState::Rejected | CallState::Failed);
        self.calls[index].state = CallState::Over;
        if is_retried && self.calls[index].tried.len() < 3 {
            self.place(index);
        }
    }

    /// Time without calls after a rejection under [`Rule::RoundedShares`].
    fn old_backoff(&self) -> Duration {
        let seconds = self.vms.len() as f64 / (self.scenario.bound as f64 * 0.5);
        Duration::from_secs_f64(seconds.clamp(0.1, 2.0))
    }
}
