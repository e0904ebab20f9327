//! Leases, fencing numbers and desired-state orders to engines.
