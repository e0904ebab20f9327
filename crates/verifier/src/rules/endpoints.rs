//! Endpoints can be reached, and models have the replicas that they ask for.

use crate::{Code, Findings, finding::Spot, index::Index};
use core::net::SocketAddr;
use poplarswitch_objects::{Kind, ObjectSet};
use std::collections::BTreeMap;

pub(crate) fn check(set: &ObjectSet, index: &Index<'_>, findings: &mut Findings) {
    let mut owners: BTreeMap<SocketAddr, &str> = BTreeMap::new();
    for (at, endpoint) in set.endpoints.iter().enumerate() {
        let name = endpoint.name.as_str();
        let spot = Spot {
            kind: Kind::Endpoint,
            index: at,
            name,
        };
        let address = endpoint.address;
        if !reachable(address) {
            let message = format!("nothing listens on {address}, expected an address and a port");
            findings.add(spot, Code::BadAddress, "address", message);
        }
        match owners.get(&address) {
            Some(other) => {
                let message = format!("endpoint {other} has {address} too, expected its own");
                findings.add(spot, Code::AddressTwice, "address", message);
            }
            None => {
                owners.insert(address, name);
            }
        }
    }
    for (at, model) in set.models.iter().enumerate() {
        let endpoints = index.model_endpoints.get(model.name.as_str());
        if let Some(count) = endpoints.copied()
            && model.min_ready as usize > count
        {
            let spot = Spot {
                kind: Kind::Model,
                index: at,
                name: model.name.as_str(),
            };
            let message = format!(
                "{} ready replicas can't stand on {count} endpoints, expected at most {count}",
                model.min_ready
            );
            findings.add(spot, Code::MinReadyTooHigh, "min_ready", message);
        }
    }
}

fn reachable(address: SocketAddr) -> bool {
    let ip = address.ip();
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast()
}
