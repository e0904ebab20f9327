//! The entry VMs of one deployment.

use core::{net::SocketAddr, time::Duration};
use poplarswitch_entity::DataCentre;
use poplarswitch_node::{Node, Setup, StartError};
use poplarswitch_settings::{Addresses, Secret, Secrets, Settings};
use poplarswitch_wire::Phase;
use std::{thread, time::Instant};

/// Number of entry VMs of one deployment.
const VM_COUNT: usize = 3;
/// Longest wait until all VMs are serving.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two checks of the VMs' phases.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Settings that all VMs of a deployment share.
#[derive(Clone, Debug)]
pub(super) struct FleetConfig {
    /// Name of the deployment.
    pub(super) name: String,
    /// URL of the platform.
    pub(super) platform: String,
    /// Data centres, to which the VMs are assigned in turn.
    pub(super) data_centres: Vec<DataCentre>,
}

/// The running VMs.
#[derive(Debug)]
pub(super) struct Fleet {
    config: FleetConfig,
    nodes: Vec<Node>,
    started: usize,
}

impl Fleet {
    /// Starts the VMs; each one has the earlier ones as its seeds.
    pub(super) fn start(config: FleetConfig) -> Result<Self, StartError> {
        let mut fleet = Self {
            config,
            nodes: Vec::new(),
            started: 0,
        };
        for _ in 0..VM_COUNT {
            fleet.add()?;
        }
        Ok(fleet)
    }

    /// Addresses for callers.
    pub(super) fn callers(&self) -> Vec<SocketAddr> {
        let addresses = self.nodes.iter().map(|node| node.addresses().callers);
        addresses.collect()
    }

    /// Waits until all VMs are serving; returns `false` if they are not within the timeout.
    pub(super) fn wait_ready(&self) -> bool {
        let deadline = Instant::now() + READY_TIMEOUT;
        while Instant::now() < deadline {
            let serving = |node: &Node| node.phase() == Phase::Serving;
            if self.nodes.iter().all(serving) {
                return true;
            }
            thread::sleep(POLL_INTERVAL);
        }
        false
    }

    /// Starts a new VM, then drains the oldest one and waits until it has stopped.
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
        let data_centres = &self.config.data_centres;
        let settings = Settings::builder()
            .vm(format!("{}-{index}", self.config.name).as_str())
            .data_centre(data_centres[index % data_centres.len()].as_str())
            .cell(self.config.name.as_str())
            .addresses(Addresses::loopback())
            .seeds(self.peers())
            .platform(self.config.platform.clone())
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
