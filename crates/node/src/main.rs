//! The entry VM's process.

fn main() {}
