//! Links between VMs: WebSocket connections that carry typed messages.
