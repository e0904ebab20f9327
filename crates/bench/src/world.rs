//! The two simulated deployments: their objects, classes and workloads.

use crate::scenario::Firm;
use core::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};
use poplarswitch_catalog::Route;
use poplarswitch_entity::{ClassName, DataCentre, WorkspaceName};
use poplarswitch_objects::{
    Class, ClassLimits, Endpoint, Limits, Model, ObjectSet, Serves, Service, Target, Tier,
    Workspace,
};

/// Number of slots of a model engine, that is, the size of its largest batch.
pub const ENGINE_SLOTS: u32 = 16;
/// Number of calls that a service replica runs at the same time.
const SERVICE_SLOTS: u32 = 4;
/// Workspaces, each with its name, its weight and its share of all calls.
const WORKSPACES: [(&str, u32, f64); 10] = [
    ("w0", 3, 0.30),
    ("w1", 2, 0.20),
    ("w2", 2, 0.12),
    ("w3", 1, 0.08),
    ("w4", 1, 0.07),
    ("w5", 1, 0.06),
    ("w6", 1, 0.06),
    ("w7", 1, 0.05),
    ("w8", 1, 0.04),
    ("w9", 1, 0.02),
];

/// Rate, size and target of the calls of one class.
#[derive(Clone, Debug)]
pub struct Workload {
    /// The class.
    pub class: ClassName,
    /// The model or service that the calls are for.
    pub route: Route,
    /// Latency target of the class.
    pub target: Target,
    /// Longest time that a call waits for a slot.
    pub max_wait: Duration,
    /// Arrivals per second outside the burst.
    pub rate: f64,
    /// Arrivals per second in the burst; not used in the crowd scenarios.
    pub burst_rate: f64,
    /// Median length of the prompt, in tokens.
    pub input_tokens: f64,
    /// Median length of the answer, in tokens; median run time of a service call, in milliseconds.
    pub output_median: f64,
    /// Standard deviation of the natural logarithm of the answer's length.
    pub output_sigma: f64,
    /// Share of the prompt that is a common prefix.
    pub prefix_share: f64,
    /// Number of common prefixes of each workspace.
    pub prefix_count: u64,
}

/// A simulated deployment.
#[derive(Clone, Debug)]
pub struct World {
    /// Declared objects of the deployment.
    pub set: ObjectSet,
    /// Workloads, one for each class.
    pub workloads: Vec<Workload>,
    /// Index of the workload that exceeds the engines' capacity in the crowd scenarios.
    pub overload_workload: usize,
    /// One-way delay between data centres.
    pub delay: Duration,
    /// Data centres of the VMs and endpoints.
    pub data_centres: [DataCentre; 3],
}

impl World {
    /// Creates the deployment of a firm.
    pub fn for_firm(firm: Firm) -> Self {
        match firm {
            Firm::Atlas => atlas(),
            Firm::Abay => abay(),
        }
    }

    /// Names of the workspaces, and the share of all calls that each sends.
    pub fn workspace_shares() -> impl Iterator<Item = (WorkspaceName, f64)> {
        WORKSPACES
            .iter()
            .map(|(name, _, share)| ((*name).into(), *share))
    }
}

fn atlas() -> World {
    let data_centres = ["ifrane", "azrou", "michlifen"].map(DataCentre::from);
    let tiers = vec![
        tier("bookings", 0, 0),
        tier("urgent", 1, 0),
        tier("chat", 2, 10),
    ];
    let booking = Class::builder()
        .name("booking")
        .tier("bookings")
        .target(Target::Answer { answer_ms: 1_500 })
        .repeatable(false)
        .services(vec!["seats".into()])
        .max_wait_ms(10_000)
        .build();
    let availability = Class::builder()
        .name("availability")
        .tier("urgent")
        .target(Target::Answer { answer_ms: 1_500 })
        .models(vec!["assistant".into()])
        .max_output_tokens(128)
        .max_wait_ms(3_000)
        .build();
    let briefing = Class::builder()
        .name("briefing")
        .tier("urgent")
        .target(stream(1_500, 60))
        .models(vec!["assistant".into()])
        .max_output_tokens(1_024)
        .max_wait_ms(15_000)
        .build();
    let chat = Class::builder()
        .name("chat")
        .tier("chat")
        .target(stream(4_000, 80))
        .models(vec!["assistant".into()])
        .limits(queue_limits(100))
        .max_wait_ms(30_000)
        .build();
    let classes = vec![booking, availability, briefing, chat];
    let shapes = [
        LoadShape::new(1.0, 2.0, 0.0, 120.0, 0.4),
        LoadShape::new(5.0, 10.0, 300.0, 20.0, 0.3),
        LoadShape::new(0.5, 8.0, 1_500.0, 250.0, 0.3),
        LoadShape::new(5.0, 9.0, 600.0, 350.0, 0.7),
    ];
    build_world(
        tiers,
        classes,
        shapes,
        data_centres,
        DeploymentSize {
            engines: 9,
            delay_us: 500,
        },
        "seats",
    )
}

fn abay() -> World {
    let data_centres = ["bole", "kality", "piassa"].map(DataCentre::from);
    let tiers = vec![
        tier("bookings", 0, 0),
        tier("urgent", 1, 0),
        tier("office", 2, 10),
    ];
    let charge = Class::builder()
        .name("charge")
        .tier("bookings")
        .target(Target::Answer { answer_ms: 2_000 })
        .repeatable(false)
        .services(vec!["depot".into()])
        .max_wait_ms(10_000)
        .build();
    let refill = Class::builder()
        .name("refill")
        .tier("urgent")
        .target(Target::Answer { answer_ms: 2_000 })
        .models(vec!["assistant".into()])
        .max_output_tokens(256)
        .max_wait_ms(4_000)
        .build();
    let notice = Class::builder()
        .name("notice")
        .tier("office")
        .target(stream(6_000, 80))
        .models(vec!["assistant".into()])
        .limits(queue_limits(95))
        .max_wait_ms(60_000)
        .build();
    let reconciliation = Class::builder()
        .name("reconciliation")
        .tier("office")
        .target(stream(15_000, 80))
        .models(vec!["assistant".into()])
        .limits(queue_limits(95))
        .max_wait_ms(120_000)
        .build();
    let classes = vec![charge, refill, notice, reconciliation];
    let shapes = [
        LoadShape::new(1.0, 3.0, 0.0, 150.0, 0.4),
        LoadShape::new(12.0, 16.0, 250.0, 30.0, 0.4),
        LoadShape::new(2.0, 4.0, 800.0, 300.0, 0.4),
        LoadShape::new(2.0, 8.0, 3_000.0, 1_200.0, 0.5),
    ];
    build_world(
        tiers,
        classes,
        shapes,
        data_centres,
        DeploymentSize {
            engines: 18,
            delay_us: 1_500,
        },
        "depot",
    )
}

/// Rates and sizes of the calls of one class, as in [`Workload`].
struct LoadShape {
    rate: f64,
    burst_rate: f64,
    input_tokens: f64,
    output_median: f64,
    output_sigma: f64,
}

impl LoadShape {
    const fn new(
        rate: f64,
        burst_rate: f64,
        input_tokens: f64,
        output_median: f64,
        output_sigma: f64,
    ) -> Self {
        Self {
            rate,
            burst_rate,
            input_tokens,
            output_median,
            output_sigma,
        }
    }
}

/// Number of engines of a deployment, and the one-way delay between its data centres.
#[derive(Clone, Copy)]
struct DeploymentSize {
    engines: u32,
    delay_us: u64,
}

fn build_world(
    tiers: Vec<Tier>,
    classes: Vec<Class>,
    shapes: [LoadShape; 4],
    data_centres: [DataCentre; 3],
    size: DeploymentSize,
    service: &str,
) -> World {
    let workloads = classes
        .iter()
        .zip(shapes)
        .map(|(class, shape)| workload(class, &shape));
    let workloads: Vec<Workload> = workloads.collect();
    let set = ObjectSet {
        tiers,
        workspaces: workspaces(),
        models: vec![model(&classes[3].name)],
        services: vec![Service {
            name: service.into(),
            default_class: classes[0].name.clone(),
        }],
        endpoints: endpoints(size.engines, service, &data_centres),
        classes,
    };
    World {
        set,
        overload_workload: workloads.len() - 1,
        workloads,
        delay: Duration::from_micros(size.delay_us),
        data_centres,
    }
}

fn workload(class: &Class, shape: &LoadShape) -> Workload {
    let route = match class.services.first() {
        Some(service) => Route::Service(service.clone()),
        None => Route::Model("assistant".into()),
    };
    Workload {
        class: class.name.clone(),
        route,
        target: class.target,
        max_wait: Duration::from_millis(u64::from(class.max_wait_ms)),
        rate: shape.rate,
        burst_rate: shape.burst_rate,
        input_tokens: shape.input_tokens,
        output_median: shape.output_median,
        output_sigma: shape.output_sigma,
        prefix_share: 0.6,
        prefix_count: 4,
    }
}

fn tier(name: &str, rank: u8, floor_percent: u8) -> Tier {
    Tier::builder()
        .name(name)
        .rank(rank)
        .floor_percent(floor_percent)
        .build()
}

const fn stream(first_token_ms: u32, inter_token_ms: u32) -> Target {
    Target::Stream {
        first_token_ms,
        inter_token_ms,
    }
}

const fn queue_limits(slot_percent: u8) -> ClassLimits {
    ClassLimits {
        slot_percent,
        queued: 2_000,
    }
}

fn workspaces() -> Vec<Workspace> {
    let workspace = |(name, weight, _): &(&str, u32, f64)| {
        let limits = Limits {
            rate: 1_000,
            in_flight: 1_000,
            queued: 2_000,
        };
        Workspace::builder()
            .name(*name)
            .weight(*weight)
            .limits(limits)
            .build()
    };
    WORKSPACES.iter().map(workspace).collect()
}

fn model(class: &ClassName) -> Model {
    Model::builder()
        .name("assistant")
        .versions(vec!["1".into()])
        .default_class(class.as_str())
        .build()
}

fn endpoints(engines: u32, service: &str, data_centres: &[DataCentre; 3]) -> Vec<Endpoint> {
    let model = Serves::Model {
        model: "assistant".into(),
        version: "1".into(),
        adapters: Vec::new(),
    };
    let service = Serves::Service {
        service: service.into(),
    };
    let engine = |i| {
        endpoint(
            &format!("engine{i:02}"),
            i,
            &model,
            ENGINE_SLOTS,
            data_centres,
        )
    };
    let replica = |i| {
        endpoint(
            &format!("replica{i:02}"),
            i,
            &service,
            SERVICE_SLOTS,
            data_centres,
        )
    };
    (0..engines)
        .map(engine)
        .chain((0..3).map(replica))
        .collect()
}

fn endpoint(
    name: &str,
    i: u32,
    serves: &Serves,
    slots: u32,
    data_centres: &[DataCentre; 3],
) -> Endpoint {
    let address = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 10_000 + i as u16);
    Endpoint::builder()
        .name(name)
        .address(address)
        .data_centre(data_centres[i as usize % data_centres.len()].as_str())
        .serves(serves.clone())
        .slots(slots)
        .build()
}
