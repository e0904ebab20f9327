//! The entry VMs of one deployment.

use core::{net::SocketAddr, time::Duration};
use poplarswitch_entity::DataCentre;
use poplarswitch_node::{Node, Setup, StartError};
use poplarswitch_settings::{Addresses, Secret, Secrets, Settings};
use poplarswitch_wire::Phase;
use std::{thread, time::Instant};

/// Entry VMs of one deployment.
const VMS: usize = 3;
/// Longest wait for a VM to get its set.
const READY_WAIT: Duration = Duration::from_secs(20);
/// Wait between two looks at a VM.
const POLL: Duration = Duration::from_millis(20);

/// What every VM of the deployment is started with.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    /// The deployment.
    pub(super) user: String,
    /// The platform's address.
    pub(super) platform: String,
    /// The data centres, one VM in each.
    pub(super) data_centres: Vec<DataCentre>,
}

/// Running VMs.
#[derive(Debug)]
pub(super) struct Fleet {
    plan: Plan,
    nodes: Vec<Node>,
    started: usize,
}

impl Fleet {
    /// Starts the VMs; each one knows those before it.
    pub(super) fn start(plan: Plan) -> Result<Self, StartError> {
        let mut fleet = Self {
            plan,
            nodes: Vec::new(),
            started: 0,
        };
        for _ in 0..VMS {
            fleet.add()?;
        }
        Ok(fleet)
    }

    /// Addresses for callers.
    pub(super) fn callers(&self) -> Vec<SocketAddr> {
        let addresses = self.nodes.iter().map(|node| node.addresses().callers);
        addresses.collect()
    }

    /// Waits until every VM has its set; says whether all of them do.
    pub(super) fn wait_ready(&self) -> bool {
        let end = Instant::now() + READY_WAIT;
        while Instant::now() < end {
            let serving = |node: &Node| node.phase() == Phase::Serving;
            if self.nodes.iter().all(serving) {
                return true;
            }
            thread::sleep(POLL);
        }
        false
    }

    /// Starts a new VM and drains the oldest one.
    pub(super) fn replace(&mut self) -> Result<(), StartError> {
        self.add()?;
        self.wait_ready();
        let oldest = self.nodes.remove(0);
        oldest.drain();
        oldest.join();
        Ok(())
    }

    fn add(&mut self) -> Result<(), StartError> {
        let index = self.started;
        self.started += 1;
        let places = &self.plan.data_centres;
        let settings = Settings::builder()
            .vm(format!("{}-{index}", self.plan.user).as_str())
            .data_centre(places[index % places.len()].as_str())
            .cell(self.plan.user.as_str())
            .addresses(Addresses::loopback())
            .seeds(self.peers())
            .platform(self.plan.platform.clone())
            .build();
        let secrets = Secrets {
            operators: Secret::new("demo"),
            peers: Secret::new("demo"),
        };
        let setup = Setup::builder().settings(settings).secrets(secrets).build();
        self.nodes.push(Node::start(setup)?);
        Ok(())
    }

    fn peers(&self) -> Vec<SocketAddr> {
        self.nodes
            .iter()
            .map(|node| node.addresses().peers)
            .collect()
    }
}
