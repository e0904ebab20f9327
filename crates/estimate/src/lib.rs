//! Online, decaying quantiles of durations and lengths.
