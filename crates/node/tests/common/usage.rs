//! What a process uses of its machine, as the system counts it.

use std::fs;

/// Clock ticks of the system a second.
const TICKS: f64 = 100.0;

fn read(process: u32, file: &str) -> String {
    fs::read_to_string(format!("/proc/{process}/{file}")).expect("the process lives")
}

/// Resident memory of a process, in MB.
pub fn resident_mb(process: u32) -> f64 {
    let text = read(process, "status");
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kilobytes.expect("the system states resident memory in kB") / 1_024.0
}

/// Processor time that a process has used, in seconds.
pub fn processor_seconds(process: u32) -> f64 {
    let text = read(process, "stat");
    // The name, in parentheses, may hold spaces.
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |field: usize| fields[field].parse::<f64>().expect("a number of ticks");
    let (user, system) = (ticks(11), ticks(12));
    (user + system) / TICKS
}
