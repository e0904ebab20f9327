//! Chooses the endpoint of a call: load, affinity, nearness and stragglers.
