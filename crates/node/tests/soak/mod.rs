//! The plan of a soak, and what it checks.

pub mod checks;
pub mod plan;
