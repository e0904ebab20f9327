//! Policy benchmark in virtual time, its baselines, tables and plots.
