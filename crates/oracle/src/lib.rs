//! Stateful fuzzing of the cores against simple oracles.
