//! The port to the platform's object API, its rate budget, and the HTTP adapter.
