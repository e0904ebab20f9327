//! The tiered, fair, bounded queue of waiting calls.
