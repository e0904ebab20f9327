//! The example sets of the two deployments, compiled into the tool.

use poplarswitch_objects::{ObjectSet, parse};
use std::path::Path;

/// A file of a set.
#[derive(Clone, Copy, Debug)]
struct File {
    name: &'static str,
    text: &'static str,
}

macro_rules! file {
    ($name:literal) => {
        File {
            name: $name,
            text: include_str!(concat!("../../../../../sets/", $name)),
        }
    };
}

const ATLAS: [File; 6] = [
    file!("atlas/classes.json"),
    file!("atlas/endpoints.json"),
    file!("atlas/models.json"),
    file!("atlas/services.json"),
    file!("atlas/tiers.json"),
    file!("atlas/workspaces.json"),
];

const ABAY: [File; 6] = [
    file!("abay/classes.json"),
    file!("abay/endpoints.json"),
    file!("abay/models.json"),
    file!("abay/services.json"),
    file!("abay/tiers.json"),
    file!("abay/workspaces.json"),
];

/// A deployment that the demo can run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub(super) enum Deployment {
    /// Nine replicas of models and three of a booking service
    Atlas,
    /// Eighteen replicas of models and three of a depot booking service
    Abay,
}

impl Deployment {
    /// Both deployments.
    pub(super) const ALL: [Self; 2] = [Self::Atlas, Self::Abay];

    /// Name of the deployment.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Atlas => "atlas",
            Self::Abay => "abay",
        }
    }

    /// Parses the set of the deployment.
    pub(super) fn set(self) -> ObjectSet {
        let files = match self {
            Self::Atlas => &ATLAS,
            Self::Abay => &ABAY,
        };
        files
            .iter()
            .flat_map(|file| parse(Path::new(file.name), file.text.as_bytes()).objects)
            .map(|(_, object)| object)
            .collect()
    }
}
