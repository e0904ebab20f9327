//! Names of declared objects and of places.

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
            /// Takes the text as it is.
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
    /// Names a request class.
    ClassName
}
name! {
    /// Names a tier.
    TierName
}
name! {
    /// Names a workspace.
    WorkspaceName
}
name! {
    /// Names a model.
    ModelName
}
name! {
    /// Names a version of a model.
    ModelVersion
}
name! {
    /// Names an adapter of a model.
    AdapterName
}
name! {
    /// Names an endpoint.
    EndpointName
}
name! {
    /// Names a plain service.
    ServiceName
}
name! {
    /// Names a data centre.
    DataCentre
}
name! {
    /// Names a VM; stays the same when the VM is replaced.
    VmName
}
name! {
    /// Names a group of VMs that share schedulers.
    CellName
}
