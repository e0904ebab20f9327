//! The lease of the duties: calls to the platform, and news between VMs.

use crate::{
    DutySettings, PlatformCall, PlatformReply, RecordName, clock,
    duties::{self, DutyMessage, HolderNews},
    duty_client::CALL_TIMEOUT,
    platform_client::{PlatformClient, PlatformError},
    shared::Shared,
};
use core::{cmp::Reverse, net::Ipv4Addr, pin::pin, time::Duration};
use poplarswitch_entity::{Incarnation, Time};
use poplarswitch_ingress::{Member, Phase, Revision, hash_pair, hash_text};
use poplarswitch_lease::{
    Lease, LeaseCall, LeaseNews, LeaseRecord, LeaseReply, LeaseRequest, LeaseSettings, Stamp,
    Tenure,
};
use std::sync::Arc;
use tokio::time::{sleep, timeout};

/// Renewals during the length of a lease.
const RENEWALS: u32 = 3;
/// Time limit for a reply of the platform, which takes 0.35 s when it is slow.
const REPLY_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay before a failed call to the platform is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Longest time between checks whether this VM should give up the lease.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Time between the successors that the holder has named.
const SUCCESSOR_DELAY: Duration = Duration::from_millis(150);
/// Number of successors that the holder names.
const SUCCESSORS: usize = 3;
/// Time by which a VM with little memory lets others go first.
const MEMORY_DELAY: Duration = Duration::from_millis(300);
/// Memory of a VM that needn't let others go first, in bytes.
const AMPLE_MEMORY: u64 = 512 << 20;
/// Time over which VMs of equal rank are spread at random.
const RANDOM_DELAY: Duration = Duration::from_millis(600);

/// Holds the lease of the duties whenever this VM can, until the process exits.
pub(crate) async fn run(shared: Arc<Shared>, client: Arc<PlatformClient>) {
    let Some(duty) = shared.settings.duty.clone() else {
        return;
    };
    let mut holder = Holder::new(&shared, &client, &duty);
    while !holder.lease.is_finished() {
        holder.step().await;
    }
    holder.publish(clock::now());
}

/// The part of this VM in holding the lease.
struct Holder<'a> {
    shared: &'a Shared,
    client: &'a PlatformClient,
    lease: Lease,
    /// Part of the lease at whose beginning this VM stops to begin calls.
    margin: Duration,
    successors: Vec<Ipv4Addr>,
    /// Time without news after which a successor reads the record.
    max_silence: Duration,
    /// When this VM began to give the lease up.
    departing_since: Option<Time>,
    /// Why the tenure ends, for the log.
    reason: &'static str,
}

impl<'a> Holder<'a> {
    fn new(shared: &'a Shared, client: &'a PlatformClient, duty: &DutySettings) -> Self {
        let margin = margin(duty);
        let duration = duration(duty);
        let settings = LeaseSettings::builder()
            .duration(duration)
            .renew_interval(duration / RENEWALS)
            .read_interval(duration * 2)
            .retry_delay(RETRY_DELAY)
            .reply_timeout(REPLY_TIMEOUT)
            .era_wait(duration)
            .rest(duration)
            .build();
        let incarnation = draw_incarnation(shared);
        let start_at = clock::now() + duration / 2;
        let mut holder = Self {
            shared,
            client,
            lease: Lease::new(incarnation, settings, incarnation.0, start_at),
            margin,
            successors: Vec::new(),
            max_silence: duration / 2,
            departing_since: None,
            reason: "lapsed",
        };
        holder.draw_stagger();
        holder
    }

    /// Delays this VM's attempts by its rank among those that may take over. Before the first lease, they
    /// are named without regard to their memory.
    fn draw_stagger(&mut self) {
        let shared = self.shared;
        let local_ip = shared.core().membership.local_ip();
        let memory = shared.settings.memory.min(AMPLE_MEMORY);
        let place = self.successors.iter().position(|ip| *ip == local_ip);
        let place = place.filter(|_| memory == AMPLE_MEMORY || !self.awaits_first());
        let (stagger, max_silence) = if let Some(place) = place {
            (SUCCESSOR_DELAY * place as u32, self.max_silence)
        } else {
            let random = shared.random_number() % RANDOM_DELAY.as_micros() as u64;
            let lack = (AMPLE_MEMORY - memory) as f64 / AMPLE_MEMORY as f64;
            let rank = SUCCESSOR_DELAY * SUCCESSORS as u32 + MEMORY_DELAY.mul_f64(lack);
            (rank + Duration::from_micros(random), self.max_silence * 4)
        };
        self.lease.set_rank(stagger, max_silence);
    }

    /// Does what is due, and waits for the next event.
    async fn step(&mut self) {
        let now = clock::now();
        self.take_in(now);
        let is_candidate = self.lease.held(now).is_some() || self.can_hold(now);
        if is_candidate || self.lease.is_departing() {
            let idle = self
                .departing_since
                .is_some_and(|since| now >= since + CALL_TIMEOUT);
            let call = self.lease.poll(now, idle);
            self.publish(now);
            if let Some(call) = call {
                return self.converse(call).await;
            }
        }
        self.publish(now);
        self.wait(now, is_candidate).await;
    }

    async fn wait(&mut self, now: Time, is_candidate: bool) {
        let shared = self.shared;
        let due = self.lease.next_wake().unwrap_or(now);
        let is_held = self.lease.held(now).is_some();
        let is_watching = is_held || self.awaits_first();
        let wait = if is_watching || !is_candidate || self.lease.is_departing() {
            due.since(now).min(CHECK_INTERVAL)
        } else {
            due.since(now)
        };
        let wait = if is_candidate { wait } else { CHECK_INTERVAL };
        let mut outdated = shared.outdated_token.subscribe();
        tokio::select! {
            () = sleep(wait) => {}
            () = shared.duties.news.notified() => {}
            () = shared.duties.let_go.notified() => self.let_go(clock::now(), "no answer of the API"),
            _ = outdated.changed() => {}
        }
    }

    /// Whether this VM may hold the lease: it hears others, if there are any, and stays.
    fn can_hold(&self, now: Time) -> bool {
        let core = self.shared.core();
        let membership = &core.membership;
        let is_alone = membership.alive_count(now) == 1 && membership.known_count() > 0;
        !is_alone && !core.shutdown.has_started()
    }

    /// Takes in what has happened since the last step.
    fn take_in(&mut self, now: Time) {
        for (at, news) in self.shared.duties.take_heard() {
            self.successors = news.successors;
            self.draw_stagger();
            self.lease.hear(at, news.lease);
            if self.lease.held(now).is_none() {
                self.reason = "another VM holds the lease";
            }
        }
        if self.awaits_first() {
            let named = self.name_candidates(now);
            if named != self.successors {
                self.shared.usage.set_candidates(&named);
                self.successors = named;
                self.draw_stagger();
            }
        }
        let outdated = *self.shared.outdated_token.borrow();
        if let Some(held) = self.lease.held(now)
            && held.token <= outdated
        {
            self.reason = "the API has seen a higher token";
            self.lease.step_down(now);
        }
        if self.shared.core().shutdown.has_started() && self.departing_since.is_none() {
            self.reason = "this VM leaves";
            self.departing_since = Some(now);
            self.lease.leave();
        } else if self.lease.held(now).is_some() && !self.can_hold(now) {
            self.let_go(now, "no other VM is heard");
        }
        if !self.lease.is_departing() {
            self.departing_since = None;
        }
    }

    fn let_go(&mut self, now: Time, reason: &'static str) {
        if self.lease.is_departing() || self.lease.held(now).is_none() {
            return;
        }
        self.reason = reason;
        self.departing_since = Some(now);
        self.lease.let_go(now);
    }

    /// Makes a call to the platform and those that follow from it.
    async fn converse(&mut self, call: LeaseCall) {
        let mut next = Some(call);
        while let Some(LeaseCall { number, request }) = next {
            let reply = self.ask(request).await;
            let now = clock::now();
            next = self.lease.handle_reply(now, number, reply);
            self.publish(now);
            if let Some(lease) = self.lease.take_news() {
                self.tell(now, lease).await;
            }
        }
    }

    /// Tells the other VMs of this VM's last write.
    async fn tell(&mut self, now: Time, lease: LeaseNews) {
        self.successors = self.name_successors(now);
        let local_ip = self.shared.core().membership.local_ip();
        let (unix_ms, first_sure) = self.shared.usage.lead(now, local_ip, &self.successors);
        let news = HolderNews {
            lease,
            successors: self.successors.clone(),
            unix_ms,
            first_sure,
        };
        self.shared.duty_view.note_holder(local_ip, &news.lease);
        let receivers = self.other_vms(now);
        duties::send(self.shared, &receivers, &DutyMessage::Holder(news)).await;
    }

    fn other_vms(&self, now: Time) -> Vec<Ipv4Addr> {
        let core = self.shared.core();
        core.membership.alive(now).map(|member| member.ip).collect()
    }

    /// Whether no VM is known to have held the lease.
    fn awaits_first(&self) -> bool {
        !self.shared.usage.knows_holder()
    }

    /// VMs that should take the first lease and get the counts of all others before it: the same on all
    /// VMs that hear each other, in different data centres.
    fn name_candidates(&self, now: Time) -> Vec<Ipv4Addr> {
        let core = self.shared.core();
        let membership = &core.membership;
        let alive = membership.alive(now);
        let alive = alive.filter(|member| member.phase != Phase::Leaving);
        let own = (membership.local_ip(), membership.dc_index());
        let mut all: Vec<(Ipv4Addr, u8)> =
            alive.map(|member| (member.ip, member.dc_index)).collect();
        all.push(own);
        all.sort_by_key(|(ip, _)| hash_pair(0, ip.to_bits().into()));
        choose_spread(all)
    }

    /// VMs that should take the lease over: those with the most memory, from different data centres.
    fn name_successors(&self, now: Time) -> Vec<Ipv4Addr> {
        let mut others: Vec<(Ipv4Addr, u8)> = {
            let core = self.shared.core();
            let stays = |member: &&Member| member.phase != Phase::Leaving;
            let alive = core.membership.alive(now).filter(stays);
            alive.map(|member| (member.ip, member.dc_index)).collect()
        };
        others.sort_by_cached_key(|(ip, _)| {
            let memory = self.shared.usage.memory_mb(*ip).unwrap_or(0);
            let ample = (AMPLE_MEMORY >> 20) as u32;
            (
                Reverse(memory.min(ample)),
                hash_pair(0, ip.to_bits().into()),
            )
        });
        choose_spread(others)
    }

    /// Makes a call to the platform; a tenure that the API refuses meanwhile ends at once.
    async fn ask(&self, request: LeaseRequest) -> LeaseReply {
        let call = match request {
            LeaseRequest::Read => PlatformCall::ReadRecord(RecordName::DutyLease),
            LeaseRequest::Write { condition, record } => PlatformCall::WriteRecord {
                name: RecordName::DutyLease,
                condition: condition.map(|stamp| Revision {
                    era: stamp.era,
                    number: stamp.number,
                }),
                value: serde_json::to_string(&record).unwrap_or_default().into(),
            },
        };
        self.shared.metrics.platform_calls.inc();
        let mut outdated = self.shared.outdated_token.subscribe();
        let mut answer = pin!(timeout(REPLY_TIMEOUT, self.client.call(&call)));
        let answer = loop {
            tokio::select! {
                answer = &mut answer => break answer,
                _ = outdated.changed() => self.publish_outdated(),
            }
        };
        let answer = match answer {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => return self.failed(&error),
            Err(_elapsed) => {
                tracing::warn!(event = "failed", call = call.name(), "lease");
                return LeaseReply::Unknown;
            }
        };
        self.shared.record_era(answer.era, "platform");
        match answer.reply {
            PlatformReply::Written(revision) => LeaseReply::Written(stamp(revision)),
            PlatformReply::Record(current) => LeaseReply::Found {
                era: answer.era,
                current: current.map(|record| {
                    let lease: Option<LeaseRecord> = serde_json::from_str(&record.value).ok();
                    (stamp(record.revision), lease)
                }),
            },
            PlatformReply::Refused(status) => {
                tracing::warn!(event = "refused", call = call.name(), %status, "lease");
                LeaseReply::Unavailable {
                    retry_after: Duration::ZERO,
                }
            }
            _ => LeaseReply::Unknown,
        }
    }

    fn failed(&self, error: &PlatformError) -> LeaseReply {
        self.shared.metrics.platform_failures.inc();
        tracing::warn!(event = "failed", %error, "lease");
        match error {
            PlatformError::Unreached { .. } => LeaseReply::Unavailable {
                retry_after: Duration::ZERO,
            },
            _ => LeaseReply::Unknown,
        }
    }

    /// Ends the published tenure if the API has seen a higher token.
    fn publish_outdated(&self) {
        let outdated = *self.shared.outdated_token.borrow();
        self.shared.tenure.send_if_modified(|tenure| {
            let is_over = tenure.is_some_and(|tenure| tenure.token <= outdated);
            if is_over {
                *tenure = None;
            }
            is_over
        });
    }

    /// Publishes the tenure of this VM, and logs it if its term has changed.
    fn publish(&mut self, now: Time) {
        let held = self.lease.held(now);
        let outdated = *self.shared.outdated_token.borrow();
        let held = held.filter(|held| !self.lease.is_departing() && held.token > outdated);
        let tenure = held.map(|held| Tenure {
            token: held.token,
            expires_at: held.expires_at - self.margin,
            since: held.since,
        });
        let before = *self.shared.tenure.borrow();
        if tenure == before {
            return;
        }
        self.shared.tenure.send_replace(tenure);
        let token = |tenure: Option<Tenure>| tenure.map(|tenure| tenure.token);
        if token(before) == token(tenure) {
            return;
        }
        if let Some(ended) = before {
            let held_ms = now.since(ended.since).as_millis() as u64;
            let reason = self.reason;
            tracing::info!(
                event = "ended",
                token = ended.token,
                reason,
                held_ms,
                "lease"
            );
        }
        if let Some(tenure) = tenure {
            self.reason = "lapsed";
            tracing::info!(event = "acquired", token = tenure.token, "lease");
        }
        let is_held = i64::from(tenure.is_some());
        self.shared.metrics.tenure.set(is_held);
    }
}

/// Part of the lease at whose beginning its holder stops to begin calls.
fn margin(duty: &DutySettings) -> Duration {
    let pause = Duration::from_millis(if duty.fenced { 0 } else { duty.pause_ms });
    CALL_TIMEOUT + pause
}

/// Length of a lease.
pub(crate) fn duration(duty: &DutySettings) -> Duration {
    Duration::from_millis(duty.lease_ms).max(margin(duty) * RENEWALS)
}

/// The first of `others` that are in different data centres, or the first ones if there are too few.
fn choose_spread(mut others: Vec<(Ipv4Addr, u8)>) -> Vec<Ipv4Addr> {
    let mut named: Vec<(Ipv4Addr, u8)> = Vec::new();
    while named.len() < SUCCESSORS && !others.is_empty() {
        let is_new = |(_, dc): &(Ipv4Addr, u8)| named.iter().all(|(_, known)| known != dc);
        let next = others.iter().position(is_new).unwrap_or(0);
        named.push(others.remove(next));
    }
    named.into_iter().map(|(ip, _)| ip).collect()
}

/// Draws the number of this process, which no other process has: it is made of the name of the VM and the
/// time of its start. JSON readers may lose digits of numbers with more than 53 bits.
fn draw_incarnation(shared: &Shared) -> Incarnation {
    let vm = hash_text(shared.settings.vm.as_str());
    let start = hash_pair(clock::unix_millis(), shared.started.0);
    Incarnation(hash_pair(vm, start) >> 11)
}

const fn stamp(revision: Revision) -> Stamp {
    Stamp {
        era: revision.era,
        number: revision.number,
    }
}
