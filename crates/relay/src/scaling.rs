//! Orders of engines by the VM that holds the duties; see [`poplarswitch_scaling`].
//!
//! The holder observes the load of all VMs and the endpoints, and sends absolute numbers. The API
//! answers in the same way whether a higher fencing token was seen or there are no more engines, so
//! after such an answer the number of lasting engines is repeated, which are always to be had: if
//! that is refused too, the term is over.

use crate::{
    DutyCall, DutyReply, clock,
    duty_client::DutyClient,
    shared::{Core, Shared},
};
use core::time::Duration;
use poplarswitch_duties::Duty;
use poplarswitch_entity::{DataCentre, ServiceName, Time};
use poplarswitch_ingress::{DEMAND_DECAY_TIME, EndpointState, service_part};
use poplarswitch_lease::Tenure;
use poplarswitch_scaling::{
    EngineKind, Input, LineKey, Load, Order, Outcome, Policy, Present, Scaler, ScalingSpec,
};
use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};
use tokio::time::sleep;

/// Interval between decisions.
const DECISION_INTERVAL: Duration = Duration::from_millis(300);
/// Age of the view of the endpoints up to which engines are taken away by it.
const MAX_VIEW_AGE: Duration = Duration::from_millis(2_500);
/// Share of the known VMs that must be heard for the load to count as that of the whole fleet.
const MIN_HEARD_SHARE: f64 = 0.7;
/// Share of the API's calls that orders take; usage needs the rest.
const CALL_SHARE: f64 = 0.5;
/// Wait after the API has accepted no more calls.
const LIMITED_WAIT: Duration = Duration::from_secs(1);
/// Interval between questions whether the term is over.
const FENCE_CHECK_INTERVAL: Duration = Duration::from_secs(3);

/// Orders engines while this VM holds the lease, until the process exits.
pub(crate) async fn run(shared: Arc<Shared>) {
    let Some(duty) = shared.settings.duty.as_ref() else {
        return;
    };
    let interval = Duration::from_secs_f64(1.0 / (duty.call_rate * CALL_SHARE).max(0.1));
    let client = DutyClient::new(
        duty.api,
        shared.settings.vm.clone(),
        Arc::clone(&shared.protocol),
    );
    let mut sender = OrderSender {
        shared: Arc::clone(&shared),
        client,
        interval,
        policy: duty.policy,
        fence_checked: None,
    };
    let mut scalers: HashMap<ServiceName, Scaler> = HashMap::new();
    let mut term = None;
    loop {
        sleep(DECISION_INTERVAL).await;
        let services = scaled_services(&shared);
        let divided = divides_load(&shared);
        let Some(tenure) = held(&shared) else {
            shared.metrics.clear_engines();
            let now = clock::now();
            for (service, _) in services {
                let mut core = shared.core();
                let ready = core.endpoints.available(&service).len() as u32;
                let load = core.engine_load(now, &service, divided);
                drop(core);
                scalers.entry(service).or_default().watch(now, load, ready);
            }
            continue;
        };
        if term != Some(tenure.token) {
            scalers.values_mut().for_each(Scaler::begin_term);
            term = Some(tenure.token);
        }
        for (service, spec) in services {
            let scaler = scalers.entry(service.clone()).or_default();
            if !sender.serve(scaler, &service, &spec).await {
                break;
            }
        }
    }
}

/// The lease, if this VM may act as the holder now.
fn held(shared: &Shared) -> Option<Tenure> {
    let tenure = *shared.tenure.borrow();
    let outdated = *shared.outdated_token.borrow();
    let now = clock::now();
    tenure.filter(|tenure| tenure.expires_at > now && tenure.token > outdated)
}

/// Services whose engines are ordered.
pub(crate) fn scaled_services(shared: &Shared) -> Vec<(ServiceName, ScalingSpec)> {
    let table = shared.table.load();
    let services = table.config().services.iter();
    services
        .filter_map(|service| Some((service.name.clone(), service.scaling.clone()?)))
        .collect()
}

/// Whether the settings declare that VMs order engines.
pub(crate) fn orders_engines(shared: &Shared) -> bool {
    let duty = shared.settings.duty.as_ref();
    duty.is_some_and(|duty| duty.duties.contains(&Duty::Scaling))
}

/// Whether the load of the engines has to be divided, since several services have engines and the
/// number of some is ordered.
pub(crate) fn divides_load(shared: &Shared) -> bool {
    if !orders_engines(shared) {
        return false;
    }
    let table = shared.table.load();
    let services = &table.config().services;
    let engines = services.iter().filter(|service| service.engine.is_some());
    engines.count() > 1 && services.iter().any(|service| service.scaling.is_some())
}

impl Core {
    /// Engines of a service that are there, by data centre and kind.
    pub(crate) fn present_engines(&self, service: &ServiceName) -> BTreeMap<LineKey, Present> {
        let mut present: BTreeMap<LineKey, Present> = BTreeMap::new();
        let endpoints = self.endpoints.iter().map(|(_, endpoint)| &endpoint.entry);
        for entry in endpoints.filter(|entry| entry.service == *service) {
            let kind = if entry.spot {
                EngineKind::Spot
            } else {
                EngineKind::Lasting
            };
            let line = present
                .entry((entry.data_centre.clone(), kind))
                .or_default();
            match entry.state {
                EndpointState::Ready => line.ready += 1,
                EndpointState::Draining => line.draining += 1,
            }
        }
        present
    }

    /// Load of all VMs' calls to a service; `divided` if the load is that of several services.
    fn engine_load(&mut self, now: Time, service: &ServiceName, divided: bool) -> Load {
        let own = self.demand.decayed_to(now);
        let alive = self.membership.alive(now);
        let mut demand = alive.fold(own, |demand, member| demand.plus(member.work));
        if divided {
            let own = self.service_demand.works(now);
            let told = self.helpers.reports().flat_map(|report| &report.works);
            demand = service_part(demand, told.chain(&own), service);
        }
        let busy = |work_ms: f64| work_ms / 1_000.0 / DEMAND_DECAY_TIME.as_secs_f64();
        Load {
            relaxed: busy(demand.relaxed),
            strict: busy(demand.strict),
        }
    }

    /// Whether the views of the endpoints and of the fleet are recent and complete.
    fn sees_all(&self, now: Time) -> bool {
        let heard = self.membership.alive_count(now) as f64;
        let known = heard + self.membership.silent_count(now) as f64;
        let confirmed = self.endpoints_confirmed;
        let is_fresh = confirmed.is_some_and(|at| now.since(at) < MAX_VIEW_AGE);
        is_fresh && !self.platform_failed && heard >= known * MIN_HEARD_SHARE
    }
}

/// Sends orders under the lease.
#[derive(Debug)]
struct OrderSender {
    shared: Arc<Shared>,
    client: DutyClient,
    /// Time between calls.
    interval: Duration,
    policy: Policy,
    fence_checked: Option<Time>,
}

impl OrderSender {
    /// Decides and sends what is due for a service; returns whether further calls may be made.
    async fn serve(
        &mut self,
        scaler: &mut Scaler,
        service: &ServiceName,
        spec: &ScalingSpec,
    ) -> bool {
        let Some(tenure) = held(&self.shared) else {
            return false;
        };
        let now = clock::now();
        let (load, present, complete) = {
            let mut core = self.shared.core();
            let present = core.present_engines(service);
            let load = core.engine_load(now, service, divides_load(&self.shared));
            (load, present, core.sees_all(now))
        };
        let orders = scaler.decide(&Input {
            now,
            load,
            present: &present,
            spec,
            policy: &self.policy,
            data_centres: &self.shared.settings.data_centres,
            held: now.since(tenure.since),
            complete,
        });
        self.record_numbers(service, &present, scaler, &orders);
        for order in orders {
            if !self.send(scaler, service, &order, load).await {
                return false;
            }
            sleep(self.interval).await;
        }
        true
    }

    /// Sends an order; returns whether further calls may be made.
    async fn send(
        &mut self,
        scaler: &mut Scaler,
        service: &ServiceName,
        order: &Order,
        load: Load,
    ) -> bool {
        let Some(tenure) = held(&self.shared) else {
            return false;
        };
        self.shared.metrics.engine_orders.inc();
        let call = to_call(service, &order.data_centre, order.kind, order.desired);
        let answer = self.client.call(&tenure, &call).await;
        let now = clock::now();
        let mut may_continue = true;
        let (outcome, answer) = match answer {
            Ok(DutyReply::Done) => (Outcome::Accepted, "accepted".to_owned()),
            Ok(DutyReply::Conflict) if order.may_lack_engines() => {
                if self.is_outdated(scaler, service, order, &tenure).await {
                    may_continue = false;
                }
                (Outcome::NoneLeft, "none_left".to_owned())
            }
            Ok(DutyReply::Conflict) => {
                self.end_term(&tenure);
                may_continue = false;
                (Outcome::Failed, "outdated".to_owned())
            }
            Ok(DutyReply::Limited) => (Outcome::Failed, "limited".to_owned()),
            Ok(DutyReply::Refused(status)) => (Outcome::Failed, format!("status {status}")),
            Err(error) if error.is_unsent() => (Outcome::Failed, error.to_string()),
            Err(error) => (Outcome::Unanswered, error.to_string()),
        };
        if outcome != Outcome::Accepted {
            self.shared.metrics.engine_orders_failed.inc();
        }
        scaler.record(now, order, outcome);
        let target = order.target;
        tracing::info!(
            event = "ordered",
            %service,
            data_centre = order.data_centre.as_str(),
            kind = kind_name(order.kind),
            desired = order.desired,
            before = order.before,
            reason = order.reason.as_str(),
            limit = order.limit.as_str(),
            answer,
            token = tenure.token,
            long = load.relaxed,
            short = load.strict,
            needed = target.remaining,
            current = target.current,
            lasting = target.lasting,
            spot = target.spot,
            load_known = target.load_known,
            "engines"
        );
        if answer == "limited" {
            sleep(LIMITED_WAIT).await;
            return false;
        }
        may_continue
    }

    /// Asks whether a higher fencing token than this term's was seen, by repeating an order that
    /// can't lack engines.
    async fn is_outdated(
        &mut self,
        scaler: &Scaler,
        service: &ServiceName,
        order: &Order,
        tenure: &Tenure,
    ) -> bool {
        let now = clock::now();
        let checked = self.fence_checked;
        if checked.is_some_and(|at| now.since(at) < FENCE_CHECK_INTERVAL) {
            return false;
        }
        let key = (order.data_centre.clone(), EngineKind::Lasting);
        let Some(desired) = scaler.ordered(&key) else {
            return false;
        };
        self.fence_checked = Some(now);
        let call = to_call(service, &order.data_centre, EngineKind::Lasting, desired);
        let is_outdated = matches!(
            self.client.call(tenure, &call).await,
            Ok(DutyReply::Conflict)
        );
        if is_outdated {
            self.end_term(tenure);
        }
        is_outdated
    }

    /// Ends the term, because another holder has a higher token.
    fn end_term(&self, tenure: &Tenure) {
        let token = tenure.token;
        tracing::warn!(event = "outdated", token, "engines");
        self.shared
            .outdated_token
            .send_modify(|outdated| *outdated = token.max(*outdated));
    }

    fn record_numbers(
        &self,
        service: &ServiceName,
        present: &BTreeMap<LineKey, Present>,
        scaler: &Scaler,
        orders: &[Order],
    ) {
        let target = scaler.target();
        let metrics = &self.shared.metrics;
        metrics.set_engines(service, target.lasting + target.spot, present);
        let desired = scaler.orders().collect();
        self.shared.duty_view.note_desired(service, desired);
        tracing::debug!(orders = orders.len(), ?target, "decided on engines");
    }
}

fn to_call(service: &ServiceName, dc: &DataCentre, kind: EngineKind, desired: u32) -> DutyCall {
    DutyCall::Scale {
        service: service.clone(),
        data_centre: dc.clone(),
        kind,
        desired,
    }
}

const fn kind_name(kind: EngineKind) -> &'static str {
    match kind {
        EngineKind::Lasting => "lasting",
        EngineKind::Spot => "spot",
    }
}
