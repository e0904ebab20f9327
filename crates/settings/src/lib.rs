//! A process's settings: parses, validates and prints itself.
