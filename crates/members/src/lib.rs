//! Membership of VMs by heartbeats, incarnations and shared suspicion.
