//! Stand-ins for the platform, the model engine and the plain service, with injectable faults.
