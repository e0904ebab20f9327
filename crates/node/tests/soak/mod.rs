//! Plan and checks of the soak test.

pub mod checks;
pub mod plan;
