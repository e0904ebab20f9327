//! Typed messages between VMs, and the headers and bodies of the HTTP edge.
