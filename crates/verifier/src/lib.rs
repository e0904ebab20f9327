//! Checks a whole set of objects and reports every error with its location.
