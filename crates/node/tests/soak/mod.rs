//! Plan and checks of the soak test.

pub mod checks;
pub mod endpoint_checks;
pub mod notice_checks;
pub mod plan;
pub mod routes;
