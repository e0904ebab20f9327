//! Names of declared objects, data centres, VMs and cells.

use core::{borrow::Borrow, fmt};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name without validating the text.
            pub fn new(text: impl Into<Arc<str>>) -> Self {
                Self(text.into())
            }

            /// The text of the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name! {
    /// Name of a class.
    ClassName
}
name! {
    /// Name of a tier.
    TierName
}
name! {
    /// Name of a workspace.
    WorkspaceName
}
name! {
    /// Name of a model.
    ModelName
}
name! {
    /// Name of a version of a model.
    ModelVersion
}
name! {
    /// Name of an adapter of a model.
    AdapterName
}
name! {
    /// Name of an endpoint.
    EndpointName
}
name! {
    /// Name of a service.
    ServiceName
}
name! {
    /// Name of a data centre.
    DataCentre
}
name! {
    /// Name of a VM, which its replacement may keep.
    VmName
}
name! {
    /// Name of a cell, a group of VMs that share schedulers.
    CellName
}
