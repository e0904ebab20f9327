//! Checks that the addresses of endpoints are valid and unique, and that models have enough
//! endpoints for `min_ready`.

use crate::{Code, Findings, finding::Subject, index::Index};
use core::net::SocketAddr;
use poplarswitch_objects::{Kind, ObjectSet};
use std::collections::BTreeMap;

pub(crate) fn check(set: &ObjectSet, index: &Index<'_>, findings: &mut Findings) {
    let mut by_address: BTreeMap<SocketAddr, &str> = BTreeMap::new();
    for (position, endpoint) in set.endpoints.iter().enumerate() {
        let name = endpoint.name.as_str();
        let subject = Subject {
            kind: Kind::Endpoint,
            index: position,
            name,
        };
        let address = endpoint.address;
        if !can_connect_to(address) {
            let message = format!(
                "cannot connect to {address}, expected a unicast address and a port other than 0"
            );
            findings.add(subject, Code::BadAddress, "address", message);
        }
        match by_address.get(&address) {
            Some(other) => {
                let message =
                    format!("endpoint {other} also has address {address}, expected a unique one");
                findings.add(subject, Code::AddressTwice, "address", message);
            }
            None => {
                by_address.insert(address, name);
            }
        }
    }
    for (position, model) in set.models.iter().enumerate() {
        let endpoints = index.model_endpoints.get(model.name.as_str());
        if let Some(count) = endpoints.copied()
            && model.min_ready as usize > count
        {
            let subject = Subject {
                kind: Kind::Model,
                index: position,
                name: model.name.as_str(),
            };
            let message = format!(
                "requires {} ready replicas but has {count} endpoints, expected at most {count}",
                model.min_ready
            );
            findings.add(subject, Code::MinReadyTooHigh, "min_ready", message);
        }
    }
}

fn can_connect_to(address: SocketAddr) -> bool {
    let ip = address.ip();
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast()
}
