//! The entry VM's process: ports, adapters, threads, metrics and time line.
